//! Evidence tells the request that crashes targets from those that ran beside it.

use std::time::Duration;

use jackdaw_base::{CrashEvidence, MonotonicTime, VmId};
use jackdaw_policy::{CrashSuspects, SuspectStanding};

const CAUSE: u64 = 1;
const BYSTANDER: u64 = 2;

fn crash(fingerprint: u64, target: u64) -> CrashEvidence {
    CrashEvidence { fingerprint, target: Some(VmId(target)) }
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::default().after(Duration::from_millis(millis))
}

#[test]
fn second_crash_refuses() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.learn(at(0), crash(CAUSE, 1)));
    assert!(suspects.learn(at(1), crash(BYSTANDER, 1)));
    assert_eq!(suspects.standing(at(2), CAUSE), SuspectStanding::Suspect);
    assert_eq!(suspects.standing(at(2), BYSTANDER), SuspectStanding::Suspect);
    assert!(suspects.learn(at(500), crash(CAUSE, 2)));
    assert_eq!(suspects.standing(at(501), CAUSE), SuspectStanding::Refused);
    assert_eq!(suspects.standing(at(501), BYSTANDER), SuspectStanding::Clear);
    // The report of one that ran beside the cause at its second crash comes late.
    assert!(!suspects.learn(at(510), crash(3, 2)));
    assert_eq!(suspects.standing(at(511), 3), SuspectStanding::Clear);
}

#[test]
fn one_crash_counts_once() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.learn(at(0), crash(CAUSE, 1)));
    assert!(!suspects.learn(at(20), crash(CAUSE, 1)));
    assert_eq!(suspects.standing(at(30), CAUSE), SuspectStanding::Suspect);
}

#[test]
fn whole_run_clears() {
    let mut suspects = CrashSuspects::default();
    suspects.learn(at(0), crash(BYSTANDER, 1));
    assert!(suspects.learn(at(5), CrashEvidence { fingerprint: BYSTANDER, target: None }));
    assert_eq!(suspects.standing(at(6), BYSTANDER), SuspectStanding::Clear);
    assert!(suspects.is_empty());
}

#[test]
fn evidence_grows_old() {
    let mut suspects = CrashSuspects::default();
    suspects.learn(at(0), crash(CAUSE, 1));
    suspects.learn(at(500), crash(CAUSE, 2));
    assert_eq!(suspects.standing(at(59_000), CAUSE), SuspectStanding::Refused);
    assert_eq!(suspects.standing(at(61_000), CAUSE), SuspectStanding::Clear);
}
