//! Crash evidence identifies the request that crashes targets and clears concurrent requests.

use std::time::Duration;

use jackdaw_base::{CrashEvidence, MonotonicTime, VmId};
use jackdaw_policy::{CrashSuspects, SuspectStatus};

const CAUSE: u64 = 1;
const CONCURRENT: u64 = 2;

fn crash(fingerprint: u64, target: u64) -> CrashEvidence {
    CrashEvidence { fingerprint, target: Some(VmId(target)) }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
}

#[test]
fn second_crash_refuses() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.record(at(0), crash(CAUSE, 1)));
    assert!(suspects.record(at(1), crash(CONCURRENT, 1)));
    assert_eq!(suspects.status(at(2), CAUSE), SuspectStatus::Suspect);
    assert_eq!(suspects.status(at(2), CONCURRENT), SuspectStatus::Suspect);
    assert!(suspects.record(at(500), crash(CAUSE, 2)));
    assert_eq!(suspects.status(at(501), CAUSE), SuspectStatus::Refused);
    assert_eq!(suspects.status(at(501), CONCURRENT), SuspectStatus::Clear);
    // A late report of another request in flight at the second crash counts for nothing: the
    // crash is already attributed.
    assert!(!suspects.record(at(510), crash(3, 2)));
    assert_eq!(suspects.status(at(511), 3), SuspectStatus::Clear);
}

#[test]
fn one_crash_counts_once() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.record(at(0), crash(CAUSE, 1)));
    assert!(!suspects.record(at(20), crash(CAUSE, 1)));
    assert_eq!(suspects.status(at(30), CAUSE), SuspectStatus::Suspect);
}

#[test]
fn completed_run_clears() {
    let mut suspects = CrashSuspects::default();
    suspects.record(at(0), crash(CONCURRENT, 1));
    assert!(suspects.record(at(5), CrashEvidence { fingerprint: CONCURRENT, target: None }));
    assert_eq!(suspects.status(at(6), CONCURRENT), SuspectStatus::Clear);
    assert!(suspects.is_empty());
}

#[test]
fn evidence_expires() {
    let mut suspects = CrashSuspects::default();
    suspects.record(at(0), crash(CAUSE, 1));
    suspects.record(at(500), crash(CAUSE, 2));
    assert_eq!(suspects.status(at(59_000), CAUSE), SuspectStatus::Refused);
    assert_eq!(suspects.status(at(61_000), CAUSE), SuspectStatus::Clear);
}
