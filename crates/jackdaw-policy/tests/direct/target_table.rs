//! Updates of a router's target table from the store and from other routers.

use jackdaw_policy::direct::{
    ChangeEffect, StoreContact, StoreRevision, TargetChange, TargetEntry, TargetState, TargetTable,
    UpdateEffect,
};

use crate::common::{SERVICE, at, entry};

fn present(name: &str, revision: u64) -> TargetChange {
    TargetChange::Present(entry(name, revision))
}

fn removed(name: &str, revision: u64) -> TargetChange {
    TargetChange::Removed { name: name.to_owned(), revision: revision.into() }
}

fn draining(name: &str, revision: u64) -> TargetChange {
    let mut entry = entry(name, revision);
    entry.state = TargetState::Draining;
    TargetChange::Present(entry)
}

fn ready_count(table: &TargetTable) -> usize {
    table.ready_targets(SERVICE).count()
}

/// Returns a table whose store has been reachable for longer than the grace period.
fn stable_table() -> TargetTable {
    let mut table = TargetTable::default();
    table.record_contact(at(0), StoreContact::Answered);
    table
}

#[test]
fn latest_revision_wins() {
    let mut table = stable_table();
    table.apply(at(5000), draining("t", 7));
    assert_eq!(table.apply(at(5001), present("t", 6)), ChangeEffect::Ignored);
    assert_eq!(ready_count(&table), 0);
    assert_eq!(table.apply(at(5002), present("t", 8)), ChangeEffect::Applied);
    assert_eq!(ready_count(&table), 1);
}

#[test]
fn older_changes_after_a_removal_are_ignored() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.apply(at(5001), removed("t", 5));
    assert_eq!(table.apply(at(5002), present("t", 4)), ChangeEffect::Ignored);
    assert!(table.is_empty());
}

/// A watch that continues from a stale listing delivers changes that this table has already learned
/// of from another router.
#[test]
fn older_removal_does_not_replace_a_newer_one() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.apply(at(5001), removed("t", 9));
    assert_eq!(table.apply(at(5002), removed("t", 5)), ChangeEffect::Ignored);
    assert_eq!(
        table.apply(at(5003), present("t", 7)),
        ChangeEffect::Ignored,
        "the entry is older than the last removal"
    );
    assert!(table.is_empty());
    assert_eq!(table.apply(at(5004), present("t", 10)), ChangeEffect::Applied);
}

#[test]
fn removal_takes_effect_immediately() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.apply(at(5001), removed("t", 5));
    assert_eq!(ready_count(&table), 0);
}

#[test]
fn target_of_an_expired_entry_is_kept_for_the_grace_period() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.record_contact(at(6000), StoreContact::Failed);
    table.record_contact(at(9000), StoreContact::Answered);
    table.replace(at(9000), Vec::new(), 20.into());
    assert_eq!(ready_count(&table), 1, "the entry may have expired during the outage");
    assert!(table.expire(at(10_000)).is_empty());
    table.apply(at(10_500), present("t", 21));
    assert!(table.expire(at(12_000)).is_empty());
    assert_eq!(ready_count(&table), 1);
}

#[test]
fn target_that_does_not_register_again_is_removed() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.record_contact(at(6000), StoreContact::Failed);
    table.record_contact(at(9000), StoreContact::Answered);
    table.replace(at(9000), Vec::new(), 20.into());
    assert_eq!(table.expire(at(11_000)), vec!["t".to_owned()]);
    assert_eq!(ready_count(&table), 0);
}

/// Returns a table with a target whose entry is gone after an outage and may only have expired.
fn table_with_missing_target() -> TargetTable {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.record_contact(at(6000), StoreContact::Failed);
    table.record_contact(at(9000), StoreContact::Answered);
    assert_eq!(table.apply(at(9100), removed("t", 5)), ChangeEffect::Deferred);
    table
}

/// Guards against requests to a removed target because the store is restored again before the grace
/// period of the first restore ends.
#[test]
fn second_restore_does_not_prolong_the_deferral() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.apply(at(5000), present("other", 4));
    table.record_contact(at(5000), StoreContact::Answered);
    let entries = |era| {
        let other = entry("other", 0);
        vec![TargetEntry { revision: StoreRevision::new(era, 4), ..other }]
    };
    table.replace(at(8000), entries(1), StoreRevision::new(1, 5));
    assert_eq!(ready_count(&table), 2, "the entry may have been lost with the restore");
    table.replace(at(9800), entries(2), StoreRevision::new(2, 5));
    assert!(table.expire(at(9800)).is_empty());
    assert_eq!(table.expire(at(10_000)), ["t"], "1.9 s after it was missed first");
    assert_eq!(ready_count(&table), 1);
}

/// While the store does not answer, targets cannot register again.
#[test]
fn outage_does_not_count_as_time_to_register() {
    let mut table = table_with_missing_target();
    table.record_contact(at(9600), StoreContact::Failed);
    table.record_contact(at(20_000), StoreContact::Answered);
    assert!(table.expire(at(20_100)).is_empty());
    table.record_contact(at(20_200), StoreContact::Failed);
    table.record_contact(at(30_000), StoreContact::Answered);
    assert!(table.expire(at(31_100)).is_empty());
    // Answered for 0.5, 0.2 and 1.2 s since it was missed.
    assert_eq!(table.expire(at(31_300)), ["t"]);
}

/// Guards against requests to a removed target because another router's copy still lists it.
#[test]
fn copied_entry_is_no_registration() {
    let mut table = table_with_missing_target();
    let effect = table.merge(at(9200), table_with_missing_target().snapshot(false));
    assert_eq!(effect, UpdateEffect::default());
    assert_eq!(table.expire(at(11_000)), ["t"]);
    assert_eq!(ready_count(&table), 0);
}

/// Guards against requests to a removed target because the router stopped watching the store before
/// the grace period ended.
#[test]
fn missing_target_is_removed_without_a_watch() {
    let mut table = table_with_missing_target();
    table.record_contact(at(9500), StoreContact::Ended);
    assert!(table.expire(at(10_000)).is_empty());
    assert_eq!(table.expire(at(11_100)), ["t"]);
    assert_eq!(ready_count(&table), 0);
}

/// Guards against requests to a removed target because the router has just begun to watch a store
/// that was not away.
#[test]
fn removal_after_the_start_of_a_watch_takes_effect_immediately() {
    let mut table = stable_table();
    table.apply(at(5000), present("t", 3));
    table.record_contact(at(6000), StoreContact::Ended);
    table.record_contact(at(9000), StoreContact::Answered);
    assert_eq!(table.apply(at(9100), removed("t", 5)), ChangeEffect::Applied);
    assert_eq!(ready_count(&table), 0);
}

#[test]
fn missing_draining_target_is_removed_immediately() {
    let mut table = stable_table();
    table.apply(at(5000), draining("t", 3));
    table.record_contact(at(6000), StoreContact::Failed);
    table.record_contact(at(9000), StoreContact::Answered);
    table.replace(at(9000), Vec::new(), 20.into());
    assert!(table.is_empty());
}

#[test]
fn snapshot_replaces_an_unreachable_store() {
    let mut connected = stable_table();
    connected.apply(at(5000), present("stays", 3));
    connected.apply(at(5000), present("drains", 4));
    connected.apply(at(5000), present("leaves", 5));
    let mut disconnected = stable_table();
    disconnected.merge(at(5000), connected.snapshot(false));
    assert_eq!(ready_count(&disconnected), 3);
    disconnected.record_contact(at(6000), StoreContact::Failed);
    connected.apply(at(6500), draining("drains", 8));
    connected.apply(at(6500), removed("leaves", 9));
    assert!(connected.change_revision() > disconnected.change_revision());
    disconnected.merge(at(7000), connected.snapshot(false));
    assert_eq!(ready_count(&disconnected), 1);
    assert_eq!(connected.change_revision(), disconnected.change_revision());
}

/// A router that does not watch the store drops targets that a watching router no longer lists.
#[test]
fn complete_snapshot_removes_unlisted_targets() {
    let mut watching = stable_table();
    watching.apply(at(5000), present("stays", 3));
    let mut idle = stable_table();
    idle.merge(at(5000), watching.snapshot(true));
    idle.apply(at(5000), present("missed", 2));
    idle.apply(at(5000), present("newer", 9));
    assert_ne!(idle.digest(), watching.digest());
    idle.merge(at(5500), watching.snapshot(false));
    assert_eq!(ready_count(&idle), 3, "an incomplete snapshot removes no unlisted targets");
    idle.merge(at(6000), watching.snapshot(true));
    assert_eq!(ready_count(&idle), 2, "an entry newer than the snapshot stays");
    assert_eq!(idle.apply(at(6500), present("missed", 2)), ChangeEffect::Ignored);
}

/// The removal of a target whose entry expired also reaches routers that do not watch the store.
#[test]
fn expiry_spreads_by_snapshots() {
    let mut watching = stable_table();
    watching.apply(at(5000), present("t", 3));
    let mut idle = TargetTable::default();
    idle.merge(at(5000), watching.snapshot(true));
    assert_eq!(idle.digest(), watching.digest());
    watching.record_contact(at(6000), StoreContact::Failed);
    watching.record_contact(at(9000), StoreContact::Answered);
    watching.replace(at(9000), Vec::new(), 20.into());
    assert_eq!(watching.expire(at(11_000)).len(), 1);
    assert_ne!(idle.digest(), watching.digest());
    idle.merge(at(11_100), watching.snapshot(false));
    assert!(idle.is_empty());
}

/// Logs and metrics name the targets that a snapshot changed.
#[test]
fn merge_names_the_changed_targets() {
    let mut watching = stable_table();
    for (name, revision) in [("stays", 3), ("drains", 4), ("leaves", 5), ("lapses", 6)] {
        watching.apply(at(5000), present(name, revision));
    }
    let mut idle = stable_table();
    assert_eq!(idle.merge(at(5000), watching.snapshot(true)), UpdateEffect::default());
    watching.apply(at(5100), draining("drains", 8));
    watching.apply(at(5100), removed("leaves", 9));
    watching.apply(at(5200), present("lapses", 10));
    idle.record_contact(at(5100), StoreContact::Failed);
    assert_eq!(idle.apply(at(5100), removed("lapses", 7)), ChangeEffect::Deferred);
    assert_eq!(idle.missing_count(), 1);
    let effect = idle.merge(at(5300), watching.snapshot(true));
    assert_eq!(effect.withdrawn, ["leaves", "drains"]);
    assert_eq!(effect.registered, ["lapses"]);
    assert_eq!(idle.missing_count(), 0);
}

#[test]
fn restart_with_the_same_name_is_another_target() {
    let before = entry("t", 3);
    let mut after = entry("t", 4);
    after.started_unix_ms = 2;
    assert_ne!(before.id(), after.id());
}
