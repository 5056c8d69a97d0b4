//! Random releases, kills of all routers, standstills, and crashes of targets or restores of the store: no stream
//! is taken for one of another version.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use jackdaw_base::{CustomerId, ProcessIncarnation};
use jackdaw_policy::direct::{
    DirectPolicy, DirectRouter, KnownRecord, LookupResult, RecordAge, StoreContact, StoreRevision,
    StreamFinding, StreamKey, StreamLookup, TargetChange, TargetEntry, VersionId, VersionRecord,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, config, direct_policy, entry};

/// Seeds, and steps of each; a step is 200 ms.
const SEEDS: u64 = 60;
const STEPS: u64 = 600;
const STEP_MS: u64 = 200;

/// Routers of the fleet.
const ROUTERS: usize = 3;

/// Time for which callers come back to a stream, in milliseconds.
const CALLER_TIME_MS: u64 = 12_000;

/// Least time for which a target serves if the store may be restored, in milliseconds: more than a restore loses.
/// A version whose targets have come and gone within that time can't be known.
const TARGET_TIME_MS: u64 = 8_000;

/// Latest age of the copy from which the store is restored, in steps.
const COPY_STEPS: usize = 25;

/// The store: registered targets, the record, and the changes of targets in order.
#[derive(Clone, Default)]
struct ModelStore {
    era: u64,
    revision: u64,
    targets: BTreeMap<String, TargetEntry>,
    record: VersionRecord,
    record_revision: Option<u64>,
    changes: Vec<TargetChange>,
}

impl ModelStore {
    fn next_revision(&mut self) -> StoreRevision {
        self.revision += 1;
        self.current()
    }

    fn current(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }

    fn put(&mut self, mut target: TargetEntry) {
        target.revision = self.next_revision();
        self.targets.insert(target.name.clone(), target.clone());
        self.changes.push(TargetChange::Present(target));
    }

    fn remove(&mut self, name: &str) {
        let revision = self.next_revision();
        self.targets.remove(name);
        self.changes.push(TargetChange::Removed { name: name.to_owned(), revision });
    }

    /// Writes the record if it is the one of `replaced`.
    fn write(&mut self, record: VersionRecord, replaced: Option<u64>) {
        if replaced == self.record_revision {
            self.next_revision();
            self.record = record;
            self.record_revision = Some(self.revision);
        }
    }
}

/// A router with its position in the changes, and until which step it stands still.
struct ModelRouter {
    router: DirectRouter,
    era: u64,
    position: usize,
    still_until: u64,
    /// Until which step it does not reach the store.
    cut_until: u64,
    /// A write that the store has not carried out yet.
    pending: Option<(VersionRecord, Option<u64>)>,
}

impl ModelRouter {
    fn start(store: &ModelStore, step: u64, incarnation: u64, is_first_start: bool) -> ModelRouter {
        let policy = DirectPolicy { is_first_start, ..direct_policy() };
        let mut router = DirectRouter::new(policy, ProcessIncarnation(incarnation));
        router.install_config(config(1));
        router.record_store_contact(at(step * STEP_MS), StoreContact::Answered);
        let mut started = ModelRouter {
            router,
            era: u64::MAX,
            position: 0,
            still_until: 0,
            cut_until: 0,
            pending: None,
        };
        started.watch(store, step);
        started
    }

    /// Learns of the changes since the last time, or of everything if the store was restored.
    fn watch(&mut self, store: &ModelStore, step: u64) {
        let now = at(step * STEP_MS);
        let router = &mut self.router;
        if self.era != store.era {
            self.era = store.era;
            let entries = store.targets.values().cloned().collect();
            router.replace_targets(now, entries, store.current());
        } else {
            for change in &store.changes[self.position..] {
                router.apply_target_change(now, change.clone());
            }
        }
        self.position = store.changes.len();
        let known = KnownRecord { record: store.record.clone(), as_of: store.current() };
        router.apply_version_record(now, known, RecordAge::Latest);
        router.release_targets(now);
    }

    /// Plans a write, which may be carried out in a later step.
    fn plan(&mut self, store: &ModelStore, step: u64) {
        let has_record = store.record_revision.is_some();
        let record = self.router.plan_version_record(at(step * STEP_MS), has_record);
        if let Some(record) = record {
            self.pending = Some((record, store.record_revision));
        }
    }
}

/// Returns what a router concludes of a stream that nobody knows.
fn conclude(routers: &mut [ModelRouter], asker: usize, step: u64) -> LookupResult {
    let (now, key) = (at(step * STEP_MS), Some(StreamKey::new(Some(CustomerId(1)), "unknown")));
    let mut findings: Vec<Option<StreamFinding>> = Vec::new();
    for router in routers.iter_mut() {
        let answers = step >= router.still_until;
        findings.push(answers.then(|| router.router.find_stream(now, key, SERVICE)));
    }
    let address = |index: usize| Ipv4Addr::from(index as u32);
    let others: Vec<usize> = (0..routers.len()).filter(|index| *index != asker).collect();
    let own = findings[asker].expect("the asker runs");
    let mut lookup =
        StreamLookup::new(own, Some(others.iter().map(|index| address(*index)).collect()));
    for index in others {
        if let Some(finding) = findings[index] {
            lookup.record(address(index), finding);
        }
    }
    lookup.conclude(&routers[asker].router.present_versions(SERVICE))
}

/// What goes wrong besides kills and standstills.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// Targets end soon after they began.
    Crashes,
    /// As `Crashes`, and routers do not reach the store for some time.
    Cuts,
    /// The store comes back from an older copy.
    Restores,
}

/// Plays one seed; returns how often the only version was concluded.
fn play(seed: u64, trouble: Trouble) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = ModelStore::default();
    let mut copies: Vec<ModelStore> = Vec::new();
    let mut live: BTreeMap<String, (TargetEntry, u64)> = BTreeMap::new();
    let mut streams: Vec<(u64, VersionId)> = Vec::new();
    let mut routers: Vec<ModelRouter> = Vec::new();
    let mut starts_at = Some(0);
    let (mut release, mut concluded) = (1, 0);
    for step in 0..STEPS {
        // Targets of one or two versions come and go; a release takes a while.
        if random.random_ratio(1, 150) {
            release += 1;
        }
        if live.len() < 6 && random.random_ratio(1, 3) {
            let name = format!("t-{step}");
            let version = Some(format!("v{release}"));
            let target = TargetEntry { version, ..entry(&name, 1) };
            live.insert(name, (target.clone(), step));
            store.put(target);
        }
        let old = live.iter().find(|(_, (target, begun))| {
            let is_old = target.version != Some(format!("v{release}"));
            let may_end = (step - begun) * STEP_MS >= TARGET_TIME_MS;
            (is_old && may_end) || trouble != Trouble::Restores
        });
        if let Some(name) = old.map(|(name, _)| name.clone())
            && random.random_ratio(1, 5)
        {
            live.remove(&name);
            store.remove(&name);
        }
        // The store comes back older, and targets register again.
        copies.push(store.clone());
        if trouble == Trouble::Restores && random.random_ratio(1, 200) {
            let age = random.random_range(1..=COPY_STEPS.min(copies.len()));
            let era = store.era + 1;
            let changes = std::mem::take(&mut store.changes);
            store = ModelStore { era, changes, ..copies[copies.len() - age].clone() };
            copies.clear();
            store.targets.clear();
            for (target, _) in live.values() {
                store.put(target.clone());
            }
        }
        // All routers end and start again.
        if random.random_ratio(1, 80) && !routers.is_empty() {
            routers.clear();
            starts_at = Some(step + random.random_range(1..8));
        }
        if starts_at == Some(step) {
            for _ in 0..ROUTERS {
                let incarnation = random.random();
                routers.push(ModelRouter::start(&store, step, incarnation, step == 0));
            }
        }
        if routers.is_empty() {
            continue;
        }
        // At most one router lags, since a lookup rests on two.
        let lagging = random.random_range(0..2 * ROUTERS);
        if random.random_ratio(1, 40) {
            let index = random.random_range(0..ROUTERS);
            routers[index].still_until = step + random.random_range(3..30);
        }
        if trouble == Trouble::Cuts && random.random_ratio(1, 40) {
            let index = random.random_range(0..ROUTERS);
            routers[index].cut_until = step + random.random_range(3..150);
        }
        for (index, router) in routers.iter_mut().enumerate() {
            if step < router.still_until {
                continue;
            }
            let is_cut = step < router.cut_until;
            let contact = if is_cut { StoreContact::Failed } else { StoreContact::Answered };
            router.router.record_store_contact(at(step * STEP_MS), contact);
            if is_cut {
                router.pending = None;
            } else if index != lagging {
                router.watch(&store, step);
            }
            router.router.expire(at(step * STEP_MS));
            if let Some((record, replaced)) = router.pending.take() {
                store.write(record, replaced);
            }
            if !is_cut && random.random_ratio(2, 3) {
                router.plan(&store, step);
            }
            let ready = router.router.targets.ready(SERVICE);
            let Some(target) = ready.choose(&mut random) else {
                continue;
            };
            let entry = router.router.targets.find(target.id).expect("known target");
            if live.contains_key(&entry.name) {
                streams.push((step, entry.version_id().expect("known version")));
            }
        }
        for asker in 0..ROUTERS {
            if step < routers[asker].still_until {
                continue;
            }
            if let LookupResult::Sole(sole) = conclude(&mut routers, asker, step) {
                concluded += 1;
                // A caller needs some time to come back, in which routers that run see changes.
                let since = step.saturating_sub(CALLER_TIME_MS / STEP_MS);
                let mut held = streams.iter().filter(|(begun, _)| (since..step).contains(begun));
                let mixed = held.find(|(_, version)| *version != sole);
                assert_eq!(mixed, None, "{trouble:?}, seed {seed}, step {step}: {sole:?}");
            }
        }
    }
    concluded
}

/// Pattern: releases while all routers end, routers stand still and the store comes back older.
#[test]
fn no_stream_is_taken_for_one_of_another_version() {
    for trouble in [Trouble::Crashes, Trouble::Cuts, Trouble::Restores] {
        let concluded: usize = (0..SEEDS).map(|seed| play(seed, trouble)).sum();
        println!("{trouble:?}: the only version was concluded {concluded} times");
        assert!(concluded > 0);
    }
}
