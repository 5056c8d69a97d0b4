//! Routers that take the watch of the store over for a while, and targets that leave meanwhile.

use std::collections::BTreeMap;

use jackdaw_base::{MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{
    ChangeEffect, DirectRouter, FetchUrgency, StoreContact, StoreStatus, TargetChange, TargetEntry,
    WatchPeer,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, config, entry, router};

const SEEDS: u64 = 60;

/// Duration of one step of the simulation, in milliseconds.
const STEP: u64 = 50;

/// Routers that watch the store, and those that fetch its changes from them.
const WATCHERS: usize = 2;
const FOLLOWERS: usize = 5;

/// Time from the removal of a target's entry until no router may send requests to it, in
/// milliseconds: the shortest that a known deployment allows.
const DRAIN_LIMIT: u64 = 2000;

/// Time that a fetch takes to fail, in milliseconds.
const FETCH_TIMEOUT: u64 = 800;

/// Time for which another router must be ahead before a router that watches the store fetches from
/// it, in milliseconds.
const AHEAD_TOLERANCE: u64 = 350;

/// Age of the oldest state that a listing may show, in milliseconds.
const STALENESS: u64 = 1000;

/// The platform's store with all of its changes.
#[derive(Default)]
struct SimulatedStore {
    /// Changes with their times; the index of a change is its revision less one.
    changes: Vec<(u64, TargetChange)>,
    is_away: bool,
}

impl SimulatedStore {
    fn put(&mut self, millis: u64, name: &str) {
        let entry = entry(name, self.changes.len() as u64 + 1);
        self.changes.push((millis, TargetChange::Present(entry)));
    }

    fn remove(&mut self, millis: u64, name: &str) {
        let revision = (self.changes.len() as u64 + 1).into();
        self.changes.push((millis, TargetChange::Removed { name: name.to_owned(), revision }));
    }

    /// Returns the entries as of a time, and the number of changes up to it.
    fn list(&self, millis: u64) -> (Vec<TargetEntry>, usize) {
        let count = self.changes.iter().take_while(|(time, _)| *time <= millis).count();
        let mut entries = BTreeMap::new();
        for (_, change) in &self.changes[..count] {
            match change {
                TargetChange::Present(entry) => {
                    entries.insert(entry.name.clone(), entry.clone());
                }
                TargetChange::Removed { name, .. } => {
                    entries.remove(name);
                }
            }
        }
        (entries.into_values().collect(), count)
    }
}

/// A router and the state of its watch and of its fetches.
struct SimulatedRouter {
    router: DirectRouter,
    /// Number of changes that the watch has delivered; `None` while the router does not watch.
    watched: Option<usize>,
    /// Since when each other router has been ahead.
    ahead_since: BTreeMap<usize, u64>,
    /// Time at which the fetch in progress fails.
    fetch_fails_at: Option<u64>,
    /// Whether other routers can fetch from this one.
    serves_snapshots: bool,
    /// Probability that the router's call of one step fails though the store is not away.
    failure_rate: f64,
}

struct SimulatedFleet {
    store: SimulatedStore,
    routers: Vec<SimulatedRouter>,
    random: ChaCha8Rng,
    millis: u64,
}

impl SimulatedFleet {
    /// Starts a fleet that knows the targets `names`, and lets it settle.
    fn start(seed: u64, names: &[&str]) -> SimulatedFleet {
        let routers = (0..WATCHERS + FOLLOWERS).map(|index| SimulatedRouter {
            router: router(1 + index as u64, 0),
            watched: None,
            ahead_since: BTreeMap::new(),
            fetch_fails_at: None,
            serves_snapshots: true,
            failure_rate: 0.0,
        });
        let routers = routers.collect();
        let random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet =
            SimulatedFleet { store: SimulatedStore::default(), routers, random, millis: 0 };
        for name in names {
            fleet.store.put(0, name);
        }
        // Each router reads the store once before it receives reports.
        for index in 0..fleet.routers.len() {
            fleet.watch_store(index);
        }
        fleet.advance(5000);
        assert!(names.iter().all(|name| fleet.users(name) == WATCHERS + FOLLOWERS));
        let watching = fleet.routers.iter().filter(|member| member.watched.is_some()).count();
        assert_eq!(watching, WATCHERS);
        fleet
    }

    /// Returns the number of routers that send requests to a target.
    fn users(&self, name: &str) -> usize {
        let uses = |member: &&SimulatedRouter| {
            member.router.targets.ready_targets(SERVICE).any(|entry| entry.name == name)
        };
        self.routers.iter().filter(uses).count()
    }

    /// Advances the time to `millis`.
    fn advance(&mut self, millis: u64) {
        while self.millis < millis {
            self.millis += STEP;
            for index in 0..self.routers.len() {
                self.review_watch(index);
                self.watch_store(index);
                self.fetch_snapshot(index);
                self.routers[index].router.expire(at(self.millis));
            }
        }
    }

    fn review_watch(&mut self, index: usize) {
        let now = at(self.millis);
        let peers: Vec<WatchPeer> = self.others(index).map(|peer| watch_peer(peer, now)).collect();
        let router = &mut self.routers[index].router;
        let own = router.incarnation();
        router.watch.update(now, own, peers.into_iter());
    }

    fn others(&self, index: usize) -> impl Iterator<Item = &SimulatedRouter> {
        let others = self.routers.iter().enumerate();
        others.filter(move |(other, _)| *other != index).map(|(_, member)| member)
    }

    fn watch_store(&mut self, index: usize) {
        let (millis, store) = (self.millis, &self.store);
        let now = at(millis);
        let SimulatedRouter { router, watched, failure_rate, .. } = &mut self.routers[index];
        if !router.watch.is_watching() {
            router.record_store_contact(now, StoreContact::Ended);
            *watched = None;
            return;
        }
        if store.is_away || self.random.random_bool(*failure_rate) {
            router.record_store_contact(now, StoreContact::Failed);
            return;
        }
        router.record_store_contact(now, StoreContact::Answered);
        let Some(delivered) = *watched else {
            let age = self.random.random_range(0..STALENESS);
            let (entries, count) = store.list(millis.saturating_sub(age));
            router.targets.replace(now, entries, (count as u64).into());
            *watched = Some(count);
            return;
        };
        for (_, change) in &store.changes[delivered..] {
            router.targets.apply(now, change.clone());
        }
        *watched = Some(store.changes.len());
    }

    fn fetch_snapshot(&mut self, index: usize) {
        let millis = self.millis;
        if let Some(end) = self.routers[index].fetch_fails_at {
            if millis >= end {
                self.routers[index].router.watch.record_failed_fetch(at(millis));
                self.routers[index].fetch_fails_at = None;
            }
            return;
        }
        let Some(source) = self.choose_source(index) else {
            return;
        };
        if !self.routers[source].serves_snapshots {
            self.routers[index].fetch_fails_at = Some(millis + FETCH_TIMEOUT);
            return;
        }
        let peer = &self.routers[source].router;
        let is_complete = peer.store_status(at(millis)) == StoreStatus::Stable;
        let snapshot = peer.targets.snapshot(is_complete);
        let version = peer.config_version();
        let router = &mut self.routers[index].router;
        router.install_config(config(version));
        router.targets.merge(at(millis), snapshot);
    }

    /// Chooses a router to fetch from, as routers do.
    fn choose_source(&mut self, index: usize) -> Option<usize> {
        let now = at(self.millis);
        let mut sources = Vec::new();
        for other in (0..self.routers.len()).filter(|other| *other != index) {
            let (own, peer) = (&self.routers[index].router, &self.routers[other].router);
            let peer_state = (&peer.versions(), peer.store_status(now));
            let urgency = own.fetch_urgency(now, &own.versions(), peer_state);
            let ahead_since = &mut self.routers[index].ahead_since;
            if urgency == FetchUrgency::None {
                ahead_since.remove(&other);
                continue;
            }
            let since = *ahead_since.entry(other).or_insert(self.millis);
            if urgency == FetchUrgency::Immediate || self.millis - since >= AHEAD_TOLERANCE {
                sources.push(other);
            }
        }
        sources.choose(&mut self.random).copied()
    }
}

fn watch_peer(member: &SimulatedRouter, now: MonotonicTime) -> WatchPeer {
    WatchPeer {
        incarnation: member.router.incarnation(),
        store_status: member.router.store_status(now),
    }
}

/// Guards against requests to a target whose entry was removed while routers took the watch over.
///
/// Pattern: a large configuration keeps the watching routers from serving their snapshots, so all
/// others of the failure domain watch the store for five seconds. They read the configuration at
/// different times and fetch it from each other.
#[test]
fn removed_target_is_dropped_during_a_takeover() {
    for seed in 0..SEEDS {
        let mut fleet = SimulatedFleet::start(seed, &["stays", "leaves"]);
        for watcher in &mut fleet.routers[..WATCHERS] {
            watcher.serves_snapshots = false;
            watcher.router.install_config(config(2));
        }
        let removed = 5000 + fleet.random.random_range(0..40) * STEP;
        fleet.advance(removed);
        fleet.store.remove(removed, "leaves");
        // A later change raises the revision that all routers know.
        fleet.store.put(removed, "joins");
        // One of the routers has read the new configuration.
        fleet.advance(removed + 1000);
        fleet.routers[WATCHERS].router.install_config(config(2));
        fleet.advance(removed + DRAIN_LIMIT);
        assert_eq!(fleet.users("leaves"), 0, "seed {seed}: routers that still use the target");
        fleet.advance(20_000);
        assert_eq!(fleet.users("leaves"), 0, "seed {seed}: routers that use the target again");
        assert_eq!(fleet.users("stays"), WATCHERS + FOLLOWERS, "seed {seed}");
    }
}

/// Guards against requests to a removed target because failed calls prolong the grace period.
///
/// Pattern: routers that took the watch over for a while reach the store only now and then, while the
/// two that always watch reach it all the time.
#[test]
fn removed_target_is_dropped_despite_failed_calls() {
    for seed in 0..SEEDS {
        let mut fleet = SimulatedFleet::start(seed, &["stays", "leaves"]);
        let removed = 6000 + fleet.random.random_range(0..20) * STEP;
        for millis in (5000..removed + DRAIN_LIMIT).step_by(1000) {
            for follower in &mut fleet.routers[WATCHERS..] {
                follower.failure_rate = 0.05;
                follower.router.watch.record_failed_fetch(at(millis));
            }
            fleet.advance(millis.min(removed));
        }
        fleet.store.remove(removed, "leaves");
        // A later change raises the revision that all routers know.
        fleet.store.put(removed, "joins");
        fleet.advance(removed + DRAIN_LIMIT);
        assert_eq!(fleet.users("leaves"), 0, "seed {seed}: routers that still use the target");
        assert_eq!(fleet.users("stays"), WATCHERS + FOLLOWERS, "seed {seed}");
    }
}

/// Targets whose entries expire while the store is away are kept by all routers, whichever watch
/// the store after its return.
#[test]
fn lapsed_targets_are_kept_after_an_outage() {
    for seed in 0..SEEDS {
        let names = ["a", "b", "c"];
        let mut fleet = SimulatedFleet::start(seed, &names);
        fleet.store.is_away = true;
        fleet.advance(8000);
        for name in names {
            fleet.store.remove(8000, name);
        }
        fleet.advance(11_000);
        fleet.store.is_away = false;
        let mut registrations: Vec<(u64, &str)> =
            names.iter().map(|name| (fleet.random.random_range(1..36) * STEP, *name)).collect();
        registrations.sort_unstable();
        for (after, name) in registrations {
            fleet.advance(11_000 + after);
            for name in names {
                assert_eq!(fleet.users(name), WATCHERS + FOLLOWERS, "seed {seed}: {name}");
            }
            fleet.store.put(11_000 + after, name);
        }
        fleet.advance(20_000);
        for name in names {
            assert_eq!(fleet.users(name), WATCHERS + FOLLOWERS, "seed {seed}: {name}");
        }
    }
}

/// A router that begins to watch just after an outage keeps targets whose entries expired in it,
/// though no call of its own failed. If one router reached the store all the time, there was no outage.
#[test]
fn outage_reported_by_others_starts_the_grace_period() {
    let outcomes = [
        (StoreStatus::Unreachable, 6000, ChangeEffect::Deferred),
        (StoreStatus::Stable, 6000, ChangeEffect::Applied),
        (StoreStatus::Unreachable, 60_000, ChangeEffect::Applied),
    ];
    for (status, contact, effect) in outcomes {
        let mut router = router(9, 0);
        router.record_store_contact(at(0), StoreContact::Answered);
        router.targets.apply(at(0), TargetChange::Present(entry("t", 1)));
        router.record_store_contact(at(1000), StoreContact::Ended);
        let peer = |number, store_status| WatchPeer {
            incarnation: ProcessIncarnation(number),
            store_status,
        };
        let peers = [peer(1, StoreStatus::Unreachable), peer(2, status)];
        router.watch.update(at(5900), router.incarnation(), peers.into_iter());
        router.record_store_contact(at(contact), StoreContact::Answered);
        let removed = TargetChange::Removed { name: "t".to_owned(), revision: 2.into() };
        assert_eq!(router.targets.apply(at(contact), removed), effect, "{status:?} at {contact}");
    }
}
