//! What the store keeps of software versions and streams outlasts all routers.
//!
//! Pattern: all routers end at the same moment, while one version serves or in the middle of a release.

use std::time::Duration;

use jackdaw_base::CustomerId;
use jackdaw_policy::direct::{
    BindingRing, ChangeEffect, DirectPolicy, DirectRouter, KnownRecord, REMOVAL_MARGIN, RecordAge,
    ServiceVersions, StoreContact, StoreRevision, StoreStatus, StreamBinding, StreamFinding,
    StreamKey, TargetChange, TargetEntry, VersionId, VersionRecord,
};

use crate::common::{SERVICE, at, config, direct_policy, entry, router};

fn version(name: &str) -> VersionId {
    VersionId::from_name(name)
}

fn record(complete_in: Option<u64>, names: &[&str]) -> VersionRecord {
    let versions = names.iter().map(|name| version(name)).collect();
    VersionRecord { complete_in, services: ServiceVersions::from([(SERVICE.to_owned(), versions)]) }
}

fn known(record: VersionRecord, as_of: impl Into<StoreRevision>) -> KnownRecord {
    KnownRecord { record, as_of: as_of.into() }
}

fn target(name: &str, version: &str, revision: u64) -> TargetEntry {
    TargetEntry { version: Some(version.to_owned()), ..entry(name, revision) }
}

fn present(name: &str, version: &str, revision: u64) -> TargetChange {
    TargetChange::Present(target(name, version, revision))
}

/// Returns the only version that streams of which nothing is known can have.
fn sole(router: &mut DirectRouter, millis: u64) -> Option<VersionId> {
    match router.find_stream(at(millis), Some(StreamKey(1)), SERVICE) {
        StreamFinding::Unknown { sole } => sole,
        StreamFinding::Version(_) => panic!("the stream is not known"),
    }
}

/// A router that knows what the store answers.
fn watching_router() -> DirectRouter {
    let mut router = router(1, 0);
    router.record_store_contact(at(0), StoreContact::Answered);
    router
}

/// A stream could begin at a version that nobody knew of after a loss of all routers.
#[test]
fn target_is_withheld_until_its_version_is_recorded() {
    let mut router = watching_router();
    assert_eq!(router.apply_target_change(at(10), present("t", "v1", 5)), ChangeEffect::Withheld);
    assert!(router.targets.is_empty());
    assert_eq!(router.withheld_targets(), ["t"]);
    router.apply_version_record(at(20), known(record(None, &["v2"]), 6), RecordAge::Latest);
    assert!(router.release_targets(at(20)).is_empty(), "the record names another version");
    router.apply_version_record(at(30), known(record(None, &["v1", "v2"]), 7), RecordAge::Latest);
    assert_eq!(router.release_targets(at(30)).len(), 1);
    assert_eq!((router.targets.len(), router.withheld_targets().len()), (1, 0));
    // Another target of a version that serves is used at once.
    let effect = router.apply_target_change(at(40), present("u", "v1", 50));
    assert_eq!(effect, ChangeEffect::Applied);
}

/// A version that left the record and came back was taken for one that is still in it.
#[test]
fn record_older_than_the_entry_releases_nothing() {
    let mut router = watching_router();
    router.apply_version_record(at(10), known(record(None, &["v1"]), 4), RecordAge::Latest);
    let effect = router.apply_target_change(at(10), present("t", "v1", 5));
    assert_eq!(effect, ChangeEffect::Withheld);
    assert!(router.needs_newer_record());
    router.apply_version_record(at(20), known(record(None, &[]), 5), RecordAge::Latest);
    assert!(!router.needs_newer_record() && router.release_targets(at(20)).is_empty());
    router.apply_version_record(at(30), known(record(None, &["v1"]), 6), RecordAge::Latest);
    assert_eq!(router.release_targets(at(30)).len(), 1);
}

/// A target that starts again at a new version under its old name was used as one of the old version.
#[test]
fn restarted_target_is_not_used_as_what_it_was() {
    for is_listed in [false, true] {
        let mut router = watching_router();
        router.apply_version_record(at(10), known(record(None, &["v1"]), 4), RecordAge::Latest);
        router.apply_target_change(at(10), present("t", "v1", 3));
        router.apply_target_change(at(10), present("u", "v1", 3));
        match is_listed {
            true => {
                let entries = vec![target("t", "v2", 5), target("u", "v1", 3)];
                router.replace_targets(at(20), entries, 9.into());
            }
            false => {
                router.apply_target_change(at(20), present("t", "v2", 5));
            }
        }
        let names: Vec<&str> = router.targets.entries().map(|entry| entry.name.as_str()).collect();
        assert_eq!(names, ["u"], "listed: {is_listed}");
        router.apply_version_record(
            at(30),
            known(record(None, &["v1", "v2"]), 10),
            RecordAge::Latest,
        );
        router.release_targets(at(30));
        assert_eq!(router.targets.len(), 2, "listed: {is_listed}");
    }
}

/// Other routers must not take the targets that one withholds for removed.
#[test]
fn withheld_targets_make_the_view_incomplete() {
    let mut router = watching_router();
    router.record_store_contact(at(5000), StoreContact::Answered);
    assert_eq!(router.store_status(at(5000)), StoreStatus::Stable);
    router.apply_target_change(at(5000), present("t", "v1", 5));
    assert_eq!(router.store_status(at(5000)), StoreStatus::Recovering);
    router.apply_version_record(at(5010), known(record(None, &["v1"]), 6), RecordAge::Latest);
    router.release_targets(at(5010));
    assert_eq!(router.store_status(at(5010)), StoreStatus::Stable);
}

/// After a kill of all routers every stream was refused, though its service had had one version all the
/// time.
#[test]
fn started_router_knows_the_only_version() {
    let cases = [
        (record(Some(0), &["v1"]), RecordAge::Latest, Some("v1")),
        (record(Some(0), &["v1"]), RecordAge::MayBeStale, None),
        (record(None, &["v1"]), RecordAge::Latest, None),
        (record(Some(0), &["v1", "v2"]), RecordAge::Latest, None),
        (record(Some(0), &["v2"]), RecordAge::Latest, None),
    ];
    for (record, age, expected) in cases {
        let mut router = watching_router();
        router.apply_version_record(at(10), known(record.clone(), 4), age);
        router.targets.apply(at(10), present("t", "v1", 3));
        assert_eq!(sole(&mut router, 20), expected.map(version), "{record:?}, {age:?}");
    }
}

/// A stale record names versions that have left, and lacks others; the next state of the record counts.
#[test]
fn stale_record_informs_once_it_is_confirmed() {
    let mut router = watching_router();
    router.apply_version_record(at(10), known(record(Some(0), &["v1"]), 4), RecordAge::MayBeStale);
    router.targets.apply(at(10), present("t", "v1", 3));
    assert_eq!(sole(&mut router, 20), None);
    router.apply_version_record(at(30), known(record(Some(0), &["v1"]), 8), RecordAge::Latest);
    assert_eq!(sole(&mut router, 40), Some(version("v1")));
}

/// A copy of the store may lack a version that appeared later; its targets register again.
#[test]
fn record_of_an_older_copy_is_trusted_late() {
    let restored = |revision| StoreRevision::new(1, revision);
    for registers_again in [false, true] {
        let mut router = watching_router();
        let record = known(record(Some(0), &["v1"]), restored(4));
        router.apply_version_record(at(10), record, RecordAge::Latest);
        router.targets.apply(at(10), present("t", "v1", 3));
        for millis in (200..1800).step_by(200) {
            router.expire(at(millis));
            assert_eq!(sole(&mut router, millis), None, "{millis} ms");
        }
        if registers_again {
            router.targets.apply(at(1800), present("u", "v2", 5));
        }
        for millis in (1800..4000).step_by(200) {
            router.expire(at(millis));
        }
        let expected = (!registers_again).then(|| version("v1"));
        assert_eq!(sole(&mut router, 4000), expected, "registers again: {registers_again}");
    }
}

/// A target that this router withholds may be used by others, also after a restore from a copy whose record lacks
/// its version.
#[test]
fn withheld_targets_count_as_seen() {
    let mut router = watching_router();
    router.apply_version_record(at(10), known(record(Some(0), &["v1"]), 4), RecordAge::Latest);
    router.apply_target_change(at(10), present("t", "v1", 3));
    assert_eq!(sole(&mut router, 20), Some(version("v1")));
    router.apply_target_change(at(30), present("u", "v2", 5));
    assert_eq!(router.withheld_targets(), ["u"]);
    assert_eq!(sole(&mut router, 40), None);
    assert!(router.present_versions(SERVICE).contains(&Some(version("v2"))));
}

/// Another router uses a version of which this one has seen no target.
#[test]
fn recorded_version_that_was_not_seen_contradicts() {
    let mut router = watching_router();
    router.apply_version_record(at(10), known(record(Some(0), &["v1"]), 4), RecordAge::Latest);
    router.targets.apply(at(10), present("t", "v1", 3));
    assert_eq!(sole(&mut router, 20), Some(version("v1")));
    let added = known(record(Some(0), &["v1", "v2"]), 5);
    router.apply_version_record(at(30), added, RecordAge::Latest);
    assert_eq!(sole(&mut router, 40), None);
}

/// Lets a router with a target of `v2` run; the record names `v1` as well.
fn run_release(router: &mut DirectRouter, from: u64, to: u64) -> Option<VersionRecord> {
    for millis in (from..to).step_by(200) {
        router.expire(at(millis));
    }
    router.plan_version_record(at(to), true)
}

#[test]
fn versions_leave_the_record_after_their_streams() {
    let mut router = watching_router();
    router.apply_version_record(at(0), known(record(None, &["v1", "v2"]), 4), RecordAge::Latest);
    router.apply_target_change(at(0), present("t", "v2", 3));
    let span = router.return_span().as_millis() as u64;
    let kept = span + REMOVAL_MARGIN.as_millis() as u64;
    assert_eq!(run_release(&mut router, 0, span - 200), None, "the router vouches for nothing");
    let vouched = record(Some(0), &["v1", "v2"]);
    assert_eq!(run_release(&mut router, span - 200, kept - 200), Some(vouched));
    assert_eq!(run_release(&mut router, kept - 200, kept + 200), Some(record(Some(0), &["v2"])));
    // A router that stood still may have missed targets of the other version.
    assert_eq!(run_release(&mut router, kept + 5000, kept + 6000), None);
}

/// A router that had not reached the store took a version that came and went meanwhile for one without streams.
#[test]
fn router_without_the_store_removes_nothing() {
    let mut router = watching_router();
    router.apply_version_record(at(0), known(record(Some(0), &["v1"]), 4), RecordAge::Latest);
    router.apply_target_change(at(0), present("t", "v1", 3));
    assert_eq!(run_release(&mut router, 0, 30_000), None);
    router.record_store_contact(at(30_000), StoreContact::Failed);
    run_release(&mut router, 30_000, 31_000);
    router.record_store_contact(at(31_000), StoreContact::Answered);
    // Targets of `v2` have come and gone.
    router.apply_version_record(
        at(31_000),
        known(record(Some(0), &["v1", "v2"]), 9),
        RecordAge::Latest,
    );
    assert_eq!(run_release(&mut router, 31_000, 40_000), None);
    assert_eq!(sole(&mut router, 40_000), None);
}

/// A router that stood still while there were no targets did not notice that, and removed a version that came
/// and went meanwhile.
#[test]
fn standstill_without_targets_is_noticed() {
    let mut router = watching_router();
    let before = known(record(Some(0), &["v1"]), 4);
    router.apply_version_record(at(0), before, RecordAge::Latest);
    router.replace_targets(at(0), vec![target("t", "v1", 3)], 4.into());
    assert_eq!(run_release(&mut router, 0, 30_000), None);
    let removal = TargetChange::Removed { name: "t".to_owned(), revision: 5.into() };
    router.apply_target_change(at(30_000), removal);
    assert!(router.targets.is_empty());
    let after = known(record(Some(0), &["v1", "v2"]), 9);
    router.apply_version_record(at(38_000), after, RecordAge::Latest);
    assert_eq!(run_release(&mut router, 38_000, 39_000), None);
}

/// Streams of a version that returns within the time are the same as before.
#[test]
fn served_versions_stay_in_the_record() {
    let mut router = watching_router();
    router.apply_version_record(at(0), known(record(Some(0), &["v1", "v2"]), 4), RecordAge::Latest);
    for name in ["v1", "v2"] {
        router.apply_target_change(at(0), present(name, name, 3));
    }
    assert_eq!(run_release(&mut router, 0, 60_000), None);
}

/// Before the very first start there were no streams.
#[test]
fn first_start_vouches_for_the_record() {
    for is_first_start in [false, true] {
        let policy = DirectPolicy { is_first_start, ..direct_policy() };
        let mut router = DirectRouter::new(policy, jackdaw_base::ProcessIncarnation(1));
        router.install_config(config(1));
        let none = known(VersionRecord::default(), 1);
        router.apply_version_record(at(0), none, RecordAge::Latest);
        assert_eq!(router.plan_version_record(at(0), false), None, "nothing to record");
        router.apply_target_change(at(0), present("t", "v1", 3));
        let planned = router.plan_version_record(at(0), false);
        assert_eq!(planned, Some(record(is_first_start.then_some(0), &["v1"])));
        // A store that has a record was used before.
        assert_eq!(router.plan_version_record(at(0), true), Some(record(None, &["v1"])));
    }
}

/// A store that was restored from a copy lacks what was written since.
#[test]
fn restored_record_gets_what_routers_know() {
    let mut router = watching_router();
    let before = known(record(Some(0), &["v1", "v2"]), 4);
    router.apply_version_record(at(0), before, RecordAge::Latest);
    router.apply_target_change(at(0), present("t", "v1", 3));
    router.apply_target_change(at(0), present("u", "v2", 3));
    let copy = known(record(Some(0), &["v1"]), StoreRevision::new(1, 2));
    router.apply_version_record(at(200), copy, RecordAge::Latest);
    let planned = router.plan_version_record(at(200), true);
    assert_eq!(planned, Some(record(Some(1), &["v1", "v2"])));
}

fn binding(number: u64, name: &str) -> StreamBinding {
    let key = StreamKey::new(Some(CustomerId(1)), &number.to_string());
    StreamBinding::new(key, version(name), Duration::from_secs(10))
}

#[test]
fn streams_are_saved_once() {
    let mut router = watching_router();
    let bindings: Vec<StreamBinding> = (0..10).map(|number| binding(number, "v1")).collect();
    for binding in &bindings {
        router.bind_stream(at(0), binding);
    }
    assert_eq!(router.unsaved_streams(at(0), 4).len(), 4);
    router.mark_streams_saved(&bindings[..6]);
    assert_eq!(router.unsaved_streams(at(0), 100).len(), 4);
    // Hearing of a stream again changes nothing, unless its version does.
    router.bind_stream(at(0), &bindings[0]);
    router.bind_stream(at(0), &binding(1, "v2"));
    assert_eq!(router.unsaved_streams(at(0), 100).len(), 5);
    router.mark_streams_unsaved();
    assert_eq!(router.unsaved_streams(at(0), 100).len(), 10);
    assert!(router.unsaved_streams(at(13_000), 100).is_empty(), "nobody comes back to them");
}

/// A stream was replaced in the store while its caller could still come back.
#[test]
fn ring_keeps_streams_for_as_long_as_callers_come_back() {
    for seconds in [1, 15, 17, 62, 300] {
        let span = Duration::from_secs(seconds);
        let period = BindingRing::write_period(span);
        let mut ring = BindingRing::default();
        let first = ring.next_write();
        let mut writes = 0;
        loop {
            let write = ring.next_write();
            if writes > 0 && write.number == first.number {
                assert_eq!(write.replaced, Some(100), "its revision is known");
                break;
            }
            ring.record_write(write, Some(100 + writes));
            writes += 1;
        }
        assert!(period * writes as u32 >= span, "{seconds} s: {writes} writes");
        assert!(period <= Duration::from_secs(6), "{seconds} s: {period:?}");
    }
}

/// A write whose answer was lost must not undo a later one, and two keepers must not replace each other's
/// streams.
#[test]
fn ring_goes_on_after_conflicts() {
    let listed = [(3, 3, Some(30)), (4, 4, Some(40)), (5, 101, None)];
    let mut ring = BindingRing::new(listed.into_iter());
    let write = ring.next_write();
    assert_eq!((write.number, write.sequence, write.replaced), (6, 102, None));
    ring.record_write(write, Some(60));
    let next = ring.next_write();
    assert_eq!((next.number, next.replaced), (7, None));
    ring.record_missing(next);
    assert_eq!(ring.next_write(), next, "it is created in the next write");
}
