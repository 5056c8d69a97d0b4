//! Which targets a router believes in, from the store and from other routers.

use jackdaw_policy::direct::{TargetChange, TargetState, TargetTable};

use crate::common::{SERVICE, at, entry};

fn present(name: &str, revision: u64) -> TargetChange {
    TargetChange::Present(entry(name, revision))
}

fn removed(name: &str, revision: u64) -> TargetChange {
    TargetChange::Removed { name: name.to_owned(), revision }
}

fn draining(name: &str, revision: u64) -> TargetChange {
    let mut entry = entry(name, revision);
    entry.state = TargetState::Draining;
    TargetChange::Present(entry)
}

fn ready(book: &TargetTable) -> usize {
    book.ready_targets(SERVICE).count()
}

/// A book whose store has answered for long.
fn settled() -> TargetTable {
    let mut book = TargetTable::new(at(0));
    book.record_contact(at(0), true);
    book
}

#[test]
fn newest_statement_wins() {
    let mut book = settled();
    book.apply(at(5000), draining("t", 7));
    assert!(!book.apply(at(5001), present("t", 6)));
    assert_eq!(ready(&book), 0);
    assert!(book.apply(at(5002), present("t", 8)));
    assert_eq!(ready(&book), 1);
}

#[test]
fn removal_outlives_older_statements() {
    let mut book = settled();
    book.apply(at(5000), present("t", 3));
    book.apply(at(5001), removed("t", 5));
    assert!(!book.apply(at(5002), present("t", 4)));
    assert!(book.is_empty());
}

#[test]
fn removal_without_notice_ends_sending_at_once() {
    let mut book = settled();
    book.apply(at(5000), present("t", 3));
    book.apply(at(5001), removed("t", 5));
    assert_eq!(ready(&book), 0);
}

#[test]
fn lapsed_entry_keeps_its_target_for_a_while() {
    let mut book = settled();
    book.apply(at(5000), present("t", 3));
    book.record_contact(at(6000), false);
    book.record_contact(at(9000), true);
    book.replace(at(9000), Vec::new(), 20);
    assert_eq!(ready(&book), 1, "the entry may have lapsed during the outage");
    assert!(book.expire(at(10_000)).is_empty());
    book.apply(at(10_500), present("t", 21));
    assert!(book.expire(at(12_000)).is_empty());
    assert_eq!(ready(&book), 1);
}

#[test]
fn entry_that_stays_away_is_gone() {
    let mut book = settled();
    book.apply(at(5000), present("t", 3));
    book.record_contact(at(6000), false);
    book.record_contact(at(9000), true);
    book.replace(at(9000), Vec::new(), 20);
    assert_eq!(book.expire(at(11_000)), vec!["t".to_owned()]);
    assert_eq!(ready(&book), 0);
}

#[test]
fn draining_target_that_disappears_is_gone() {
    let mut book = settled();
    book.apply(at(5000), draining("t", 3));
    book.record_contact(at(6000), false);
    book.record_contact(at(9000), true);
    book.replace(at(9000), Vec::new(), 20);
    assert!(book.is_empty());
}

#[test]
fn another_router_brings_what_the_store_cannot() {
    let mut knowing = settled();
    knowing.apply(at(5000), present("stays", 3));
    knowing.apply(at(5000), present("drains", 4));
    knowing.apply(at(5000), present("leaves", 5));
    let mut cut_off = settled();
    cut_off.merge(at(5000), knowing.snapshot(false));
    assert_eq!(ready(&cut_off), 3);
    cut_off.record_contact(at(6000), false);
    knowing.apply(at(6500), draining("drains", 8));
    knowing.apply(at(6500), removed("leaves", 9));
    assert!(knowing.change_revision() > cut_off.change_revision());
    cut_off.merge(at(7000), knowing.snapshot(false));
    assert_eq!(ready(&cut_off), 1);
    assert_eq!(knowing.change_revision(), cut_off.change_revision());
}

/// A router that does not watch itself drops what a watching router no longer lists.
#[test]
fn complete_snapshot_ends_what_it_lacks() {
    let mut watching = settled();
    watching.apply(at(5000), present("stays", 3));
    let mut idle = settled();
    idle.merge(at(5000), watching.snapshot(true));
    idle.apply(at(5000), present("missed", 2));
    idle.apply(at(5000), present("newer", 9));
    assert_ne!(idle.digest(), watching.digest());
    idle.merge(at(5500), watching.snapshot(false));
    assert_eq!(ready(&idle), 3, "a list during the return of entries ends nothing");
    idle.merge(at(6000), watching.snapshot(true));
    assert_eq!(ready(&idle), 2, "an entry newer than the snapshot stays");
    assert!(!idle.apply(at(6500), present("missed", 2)));
}

/// An entry that lapsed for good leaves the routers that do not watch as well.
#[test]
fn lapse_for_good_spreads_by_snapshots() {
    let mut watching = settled();
    watching.apply(at(5000), present("t", 3));
    let mut idle = TargetTable::new(at(0));
    idle.merge(at(5000), watching.snapshot(true));
    assert_eq!(idle.digest(), watching.digest());
    watching.record_contact(at(6000), false);
    watching.record_contact(at(9000), true);
    watching.replace(at(9000), Vec::new(), 20);
    assert_eq!(watching.expire(at(11_000)).len(), 1);
    assert_ne!(idle.digest(), watching.digest());
    idle.merge(at(11_100), watching.snapshot(false));
    assert!(idle.is_empty());
}

#[test]
fn start_under_the_same_name_is_another_target() {
    let before = entry("t", 3);
    let mut after = entry("t", 4);
    after.started_unix_ms = 2;
    assert_ne!(before.id(), after.id());
}
