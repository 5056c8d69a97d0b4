//! Placement of streams while targets of several software versions serve.
//!
//! Pattern: a release, during which half of the targets run a newer version and streams break off.

use std::time::Duration;

use jackdaw_base::CustomerId;
use jackdaw_policy::direct::{
    DirectRequest, DirectRouter, Placement, PromptShape, RefusalReason, SendFailure, TargetChange,
    TargetEntry, TargetHealth, TargetId, VersionId, VersionRule,
};

use crate::common::{at, entry, prompt, request, router};

/// Number of targets of each of the versions `v1` and `v2`.
const TARGETS_PER_VERSION: usize = 6;

fn versioned(name: &str, version: Option<&str>) -> TargetEntry {
    TargetEntry { version: version.map(str::to_owned), ..entry(name, 1) }
}

fn fleet() -> DirectRouter {
    let mut router = router(1, 0);
    for index in 0..TARGETS_PER_VERSION {
        for version in ["v1", "v2"] {
            let target = versioned(&format!("{version}-{index}"), Some(version));
            router.targets.apply(at(0), TargetChange::Present(target));
        }
    }
    router
}

fn place(
    router: &mut DirectRouter,
    prompt: &PromptShape,
    rule: VersionRule,
    tried: &[TargetId],
) -> Placement {
    let request = DirectRequest { version_rule: rule, ..request(Some(prompt), 7) };
    router.place(at(10), &request, tried)
}

fn only(version: &str) -> VersionRule {
    VersionRule::Only(VersionId::from_name(version))
}

/// Callers of a customer far above its share lost the events they held: streams that had been admitted
/// before were refused like new ones while the targets were busy.
#[test]
fn begun_stream_goes_on_above_the_share() {
    let mut router = router(1, 2);
    let large = prompt(1, 0, 30_000);
    for (customer, count) in [(1, 30), (2, 2)] {
        let request = DirectRequest {
            customer: Some(CustomerId(customer)),
            ..request(Some(&large), customer)
        };
        for _ in 0..count {
            router.record_arrival(at(0), &request);
            let target = entry(&format!("target-{}", router.run_count() % 2), 1).id();
            router.start_run(at(0), &request, target, 1000);
        }
    }
    let small = prompt(5, 50, 50);
    let begins = request(Some(&small), 7);
    let goes_on = DirectRequest { version_rule: only("v1"), ..begins.clone() };
    // The moving average of the wait rises with the time for which the targets are busy.
    for millis in (100..3000).step_by(100) {
        router.place(at(millis), &begins, &[]);
    }
    let placement = router.place(at(3000), &begins, &[]);
    let is_over_share =
        matches!(placement, Placement::Refuse { reason: RefusalReason::OverShare, .. });
    assert!(is_over_share, "{placement:?}");
    let placement = router.place(at(3000), &goes_on, &[]);
    assert!(matches!(placement, Placement::Send { .. }), "{placement:?}");
}

/// Streams went on at any target of the service, also at another version than the one that began them.
#[test]
fn stream_goes_on_only_at_its_version() {
    let mut router = fleet();
    for part in 0..200 {
        let prompt = prompt(part, 500, 100);
        for version in ["v1", "v2"] {
            let placement = place(&mut router, &prompt, only(version), &[]);
            let Placement::Send { target, .. } = placement else {
                panic!("part {part}: {placement:?}");
            };
            let chosen = router.targets.find(target).expect("known target");
            assert_eq!(chosen.version.as_deref(), Some(version), "part {part}");
        }
    }
}

/// Requests that begin a stream are placed as if there were one version, so that prompt parts stay where
/// they were read.
#[test]
fn new_streams_ignore_versions() {
    let mut mixed = fleet();
    let mut uniform = router(1, 0);
    for target in mixed.targets.entries().cloned().collect::<Vec<_>>() {
        let target = TargetEntry { version: Some("v1".to_owned()), ..target };
        uniform.targets.apply(at(0), TargetChange::Present(target));
    }
    for part in 0..200 {
        let prompt = prompt(part, 500, 100);
        let expected = place(&mut uniform, &prompt, VersionRule::Any, &[]);
        assert_eq!(place(&mut mixed, &prompt, VersionRule::Any, &[]), expected);
    }
}

/// A stream whose version has no target is refused at once, and no time of return is promised.
#[test]
fn version_without_targets_is_refused_without_delay() {
    let mut router = fleet();
    let prompt = prompt(1, 500, 100);
    for (rule, expected) in [
        (only("v3"), RefusalReason::VersionGone),
        (VersionRule::Unknown, RefusalReason::VersionUnknown),
        (VersionRule::begun_at(None), RefusalReason::VersionUnknown),
    ] {
        let placement = place(&mut router, &prompt, rule, &[]);
        let refusal = Placement::Refuse { reason: expected, retry_after: Duration::ZERO };
        assert_eq!(placement, refusal, "{rule:?}");
    }
}

/// Targets that are excluded for moments come back, so a caller is told when to try again.
#[test]
fn version_that_is_only_unavailable_states_a_retry_delay() {
    let mut router = fleet();
    let prompt = prompt(1, 500, 100);
    let entries = router.targets.entries().filter(|entry| entry.version.as_deref() == Some("v1"));
    let tried: Vec<TargetId> = entries.map(TargetEntry::id).collect();
    let placement = place(&mut router, &prompt, only("v1"), &tried);
    let Placement::Refuse { reason, retry_after } = placement else {
        panic!("{placement:?}");
    };
    assert_eq!(reason, RefusalReason::NoTarget);
    assert!(!retry_after.is_zero());
    let mut health = TargetHealth::default();
    health.record_failure(at(10), tried[0], SendFailure::Unreachable);
    assert!(!health.is_usable(at(11), tried[0]) && health.is_usable(at(11 + 2500), tried[0]));
}

/// A target of which no version is known, since an older build passed it on, takes no streams that go on.
#[test]
fn target_without_a_known_version_takes_new_streams_only() {
    let mut router = router(1, 0);
    router.targets.apply(at(0), TargetChange::Present(versioned("older", None)));
    let prompt = prompt(1, 500, 100);
    let placement = place(&mut router, &prompt, VersionRule::Any, &[]);
    assert!(matches!(placement, Placement::Send { .. }), "{placement:?}");
    let placement = place(&mut router, &prompt, only("v1"), &[]);
    assert!(matches!(placement, Placement::Refuse { .. }), "{placement:?}");
}
