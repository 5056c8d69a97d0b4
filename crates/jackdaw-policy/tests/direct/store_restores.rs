//! A store that was restored from an older copy: its new era supersedes the earlier ones, and what
//! routers know about leaving targets still binds them.

use std::collections::BTreeMap;

use jackdaw_base::MonotonicTime;
use jackdaw_policy::direct::{
    ChangeEffect, StoreContact, StoreRevision, TargetChange, TargetEntry, TargetState, TargetTable,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, entry, random_contact};

const SEEDS: u64 = 40;
const STEPS: usize = 4000;

fn ready(name: &str, revision: StoreRevision) -> TargetEntry {
    TargetEntry { revision, ..entry(name, 0) }
}

fn draining(name: &str, revision: StoreRevision) -> TargetEntry {
    TargetEntry { state: TargetState::Draining, ..ready(name, revision) }
}

fn ready_names(table: &TargetTable) -> Vec<String> {
    let mut names: Vec<String> =
        table.ready_targets(SERVICE).map(|entry| entry.name.clone()).collect();
    names.sort();
    assert_eq!(table.ready(SERVICE).len(), names.len(), "the index differs from the entries");
    names
}

fn stable_table() -> TargetTable {
    let mut table = TargetTable::default();
    table.record_contact(at(0), StoreContact::Answered);
    table
}

#[test]
fn era_precedes_the_revision() {
    assert!(StoreRevision::new(1, 1) > StoreRevision::new(0, 900));
    assert!(StoreRevision::new(1, 2) > StoreRevision::new(1, 1));
    assert_eq!(StoreRevision::new(0, 7), 7.into());
    assert_eq!(StoreRevision::new(0, 7).packed(), 7, "builds without eras read plain revisions");
    let limit = StoreRevision::new(u64::MAX, u64::MAX);
    assert!(limit > StoreRevision::new(1, 1) && limit.era() > 0);
    let mut table = stable_table();
    table.replace(at(5000), vec![ready("a", limit)], limit);
    assert_eq!(ready_names(&table), ["a"]);
    assert_ne!(table.digest(), TargetTable::default().digest());
}

#[test]
fn lower_revision_of_a_newer_era_wins() {
    let mut table = stable_table();
    table.replace(at(5000), vec![ready("a", 50.into()), ready("b", 60.into())], 60.into());
    let era = |number| StoreRevision::new(1, number);
    table.replace(at(6000), vec![ready("a", era(10)), draining("b", era(12))], era(20));
    assert_eq!(ready_names(&table), ["a"]);
    // Changes of the earlier era arrive late, from whatever source.
    assert_eq!(
        table.apply(at(6100), TargetChange::Present(ready("b", 70.into()))),
        ChangeEffect::Ignored
    );
    assert_eq!(
        table.apply(at(6100), TargetChange::Present(ready("c", 71.into()))),
        ChangeEffect::Ignored
    );
    table.replace(at(6200), vec![ready("b", 72.into())], 80.into());
    let mut behind = stable_table();
    behind.replace(at(5000), vec![ready("b", 60.into()), ready("d", 61.into())], 90.into());
    table.merge(at(6300), behind.snapshot(true));
    assert_eq!(ready_names(&table), ["a"]);
    assert_eq!(table.era(), 1);
    behind.merge(at(6400), table.snapshot(false));
    assert_eq!(behind.era(), 1);
    assert!(behind.change_revision() >= table.change_revision());
    assert!(!ready_names(&behind).contains(&"b".to_owned()));
}

/// Targets that the copy lacks have two seconds to register again.
#[test]
fn targets_missing_from_the_copy_lapse() {
    let mut table = stable_table();
    let entries = vec![ready("a", 50.into()), ready("b", 60.into()), ready("c", 61.into())];
    table.replace(at(5000), entries, 61.into());
    let era = |number| StoreRevision::new(1, number);
    table.replace(at(9000), vec![ready("a", era(10))], era(20));
    assert_eq!(ready_names(&table), ["a", "b", "c"], "they may not have registered again yet");
    table.apply(at(9800), TargetChange::Present(ready("b", era(22))));
    assert!(table.expire(at(10_500)).is_empty());
    assert_eq!(table.expire(at(11_000)), ["c"]);
    assert_eq!(ready_names(&table), ["a", "b"]);
}

/// The copy shows a target as ready that was draining or removed when the store was away.
#[test]
fn leaving_before_a_restore_still_binds() {
    let mut table = stable_table();
    let entries = vec![ready("drains", 50.into()), ready("leaves", 51.into())];
    table.replace(at(5000), entries, 51.into());
    table.apply(at(5100), TargetChange::Present(draining("drains", 60.into())));
    let removal = TargetChange::Removed { name: "leaves".to_owned(), revision: 61.into() };
    table.apply(at(5200), removal);
    let era = |number| StoreRevision::new(1, number);
    let copy = || vec![ready("drains", era(50)), ready("leaves", era(51))];
    table.replace(at(6000), copy(), era(55));
    assert!(ready_names(&table).is_empty());
    // A second listing of the same copy changes nothing.
    table.replace(at(6500), copy(), era(55));
    assert!(ready_names(&table).is_empty());
    // What the target writes after the restore counts again.
    table.apply(at(7000), TargetChange::Present(ready("leaves", era(57))));
    assert_eq!(ready_names(&table), ["leaves"]);
    table.apply(at(7100), TargetChange::Present(draining("drains", era(58))));
    assert_eq!(ready_names(&table), ["leaves"]);
}

/// A copy cannot exclude a live target for good.
#[test]
fn hold_after_a_restore_ends() {
    let mut table = stable_table();
    table.replace(at(5000), vec![ready("a", 50.into())], 50.into());
    table.apply(at(5100), TargetChange::Present(draining("a", 60.into())));
    let era = |number| StoreRevision::new(1, number);
    table.replace(at(6000), vec![ready("a", era(50))], era(55));
    table.expire(at(30_000));
    assert!(ready_names(&table).is_empty());
    table.expire(at(70_000));
    assert_eq!(ready_names(&table), ["a"]);
}

#[test]
fn announced_leaving_binds_until_another_start() {
    let mut table = stable_table();
    table.replace(at(5000), vec![ready("a", 50.into())], 50.into());
    let id = ready("a", 50.into()).id();
    assert!(table.record_leaving(at(5100), id));
    assert!(!table.record_leaving(at(5200), id));
    assert!(ready_names(&table).is_empty());
    // Neither a later entry of the same start, nor a restore, nor a lapse undoes it.
    table.apply(at(5300), TargetChange::Present(ready("a", 70.into())));
    table.replace(at(5400), vec![ready("a", StoreRevision::new(1, 9))], StoreRevision::new(1, 10));
    table.record_contact(at(5500), StoreContact::Failed);
    table.record_contact(at(5600), StoreContact::Answered);
    for millis in [120_000, 900_000] {
        table.expire(at(millis));
        assert!(ready_names(&table).is_empty(), "{millis}");
    }
    let mut restarted = ready("a", StoreRevision::new(1, 30));
    restarted.started_unix_ms += 1;
    table.apply(at(900_100), TargetChange::Present(restarted));
    assert_eq!(ready_names(&table), ["a"]);
}

#[test]
fn recent_announcements_are_passed_on() {
    let mut table = stable_table();
    let id = ready("a", 50.into()).id();
    table.record_leaving(at(5000), id);
    let age = std::time::Duration::from_secs(3);
    assert_eq!(table.announced_leaving(at(6000), age), [id]);
    // Learning of it again does not prolong the time.
    table.record_leaving(at(7000), id);
    assert!(table.announced_leaving(at(8500), age).is_empty());
    assert_eq!(table.announced_leaving(at(8500), std::time::Duration::MAX), [id]);
}

/// Guards against announcements that routers pass on to each other for good: their snapshots, which
/// contain all known ones, would grow with each release.
#[test]
fn copied_announcements_are_forgotten() {
    let mut tables = [stable_table(), stable_table(), stable_table()];
    let id = ready("a", 50.into()).id();
    for table in &mut tables {
        table.replace(at(5000), vec![ready("a", 50.into())], 50.into());
    }
    tables[0].record_leaving(at(5000), id);
    for step in 1..600 {
        let now = at(5000 + step * 7000);
        let (source, receiver) = (step as usize % 3, (step as usize + 1) % 3);
        for known in tables[source].announced_leaving(now, std::time::Duration::MAX) {
            tables[receiver].record_copied_leaving(now, known);
        }
        if step == 4 {
            assert!(tables.iter().all(|table| table.is_leaving(id)), "all learned of it");
            let removal = TargetChange::Removed { name: "a".to_owned(), revision: 60.into() };
            for table in &mut tables {
                assert_eq!(table.apply(now, removal.clone()), ChangeEffect::Applied);
            }
        }
        for table in &mut tables {
            table.expire(now);
        }
    }
    assert!(tables.iter().all(|table| !table.is_leaving(id)));
}

/// A store with its history and copies of its past states.
#[derive(Default)]
struct RestorableStore {
    era: u64,
    number: u64,
    entries: BTreeMap<&'static str, TargetEntry>,
    copies: Vec<(u64, BTreeMap<&'static str, TargetEntry>)>,
    /// All changes ever made, for late delivery.
    changes: Vec<TargetChange>,
}

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

impl RestorableStore {
    fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.number)
    }

    fn change(&mut self, random: &mut ChaCha8Rng) -> TargetChange {
        self.copies.push((self.number, self.entries.clone()));
        self.number += 1;
        let name = *NAMES.choose(random).expect("a name");
        let revision = self.revision();
        let change = match random.random_range(0..4) {
            0 => {
                self.entries.remove(name);
                TargetChange::Removed { name: name.to_owned(), revision }
            }
            1 => self.put(name, draining(name, revision)),
            _ => self.put(name, ready(name, revision)),
        };
        self.changes.push(change.clone());
        change
    }

    fn put(&mut self, name: &'static str, entry: TargetEntry) -> TargetChange {
        self.entries.insert(name, entry.clone());
        TargetChange::Present(entry)
    }

    /// Restores one of the last copies; revisions go back, and the entries keep theirs.
    fn restore(&mut self, random: &mut ChaCha8Rng) {
        let recent = self.copies.len().saturating_sub(8)..self.copies.len();
        let Some((number, entries)) = self.copies[recent].choose(random).cloned() else {
            return;
        };
        self.era += 1;
        self.number = number;
        self.entries = entries;
        for entry in self.entries.values_mut() {
            entry.revision = StoreRevision::new(self.era, entry.revision.number());
        }
        self.copies.clear();
    }

    fn list(&self) -> Vec<TargetEntry> {
        self.entries.values().cloned().collect()
    }
}

/// Two routers of which one watches, with late changes, restores, snapshots and announcements in
/// random order: eras never go back, and a target that announced its leaving gets no request.
#[test]
fn eras_never_go_back() {
    for seed in 1..=SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut store = RestorableStore { number: 1, ..RestorableStore::default() };
        let mut watching = stable_table();
        let mut idle = TargetTable::default();
        let mut announced = Vec::new();
        let mut millis = 5000;
        for step in 0..STEPS {
            millis += random.random_range(0..30);
            let now = at(millis);
            let eras = (watching.era(), idle.era());
            run_step(&mut random, now, &mut store, &mut watching, &mut idle, &mut announced);
            assert!(watching.era() >= eras.0 && idle.era() >= eras.1, "seed {seed}, step {step}");
            for table in [&watching, &idle] {
                let leaving = table
                    .ready_targets(SERVICE)
                    .find(|entry| announced.contains(&entry.id()) && table.is_leaving(entry.id()));
                assert_eq!(leaving, None, "seed {seed}, step {step}");
                ready_names(table);
            }
        }
        settle(&mut store, &mut watching, &mut idle, millis);
        let expected: Vec<String> = store
            .list()
            .into_iter()
            .filter(|entry| entry.state == TargetState::Ready && !watching.is_leaving(entry.id()))
            .map(|entry| entry.name)
            .collect();
        assert_eq!(ready_names(&watching), expected, "seed {seed}");
        assert_eq!(watching.digest(), idle.digest(), "seed {seed}");
    }
}

fn run_step(
    random: &mut ChaCha8Rng,
    now: MonotonicTime,
    store: &mut RestorableStore,
    watching: &mut TargetTable,
    idle: &mut TargetTable,
    announced: &mut Vec<jackdaw_policy::direct::TargetId>,
) {
    match random.random_range(0..100) {
        0..40 => {
            let change = store.change(random);
            // A watch of an era that is over ends; the next listing brings the change.
            if watching.era() == store.era {
                watching.apply(now, change);
            }
        }
        40..42 => store.restore(random),
        42..55 => {
            watching.replace(now, store.list(), store.revision());
        }
        55..65 => {
            if let Some(change) = store.changes.choose(random).cloned() {
                let era = watching.era();
                watching.apply(now, change);
                assert_eq!(watching.era(), era, "a late change opens no era");
            }
        }
        65..85 => {
            idle.merge(now, watching.snapshot(random.random_bool(0.5)));
        }
        85..90 => {
            watching.merge(now, idle.snapshot(false));
        }
        90..92 => {
            let mut restarted = ready(NAMES[0], store.revision());
            restarted.started_unix_ms = u64::from(random.random::<u32>());
            let id = restarted.id();
            watching.record_leaving(now, id);
            announced.push(id);
        }
        92..96 => {
            watching.record_contact(now, random_contact(random, 0.7));
        }
        _ => {
            watching.expire(now);
            idle.expire(now);
        }
    }
}

/// Lists the store once it is calm, and waits until all evidence of earlier eras has expired.
fn settle(
    store: &mut RestorableStore,
    watching: &mut TargetTable,
    idle: &mut TargetTable,
    millis: u64,
) {
    watching.record_contact(at(millis), StoreContact::Answered);
    watching.replace(at(millis), store.list(), store.revision());
    for after in [3000, 90_000] {
        watching.expire(at(millis + after));
        idle.expire(at(millis + after));
        watching.replace(at(millis + after), store.list(), store.revision());
        idle.merge(at(millis + after), watching.snapshot(true));
    }
}
