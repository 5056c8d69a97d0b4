//! Quarantine: a request that crashes targets is refused by all routers of the fleet.

use jackdaw_policy::direct::{
    DirectRouter, FindingSource, Placement, RefusalReason, RunOutcome, TargetId,
};

use crate::common::{at, prompt, request, router};

const FINGERPRINT: u64 = 77;

const REPORT: FindingSource = FindingSource::Report;

/// Sends the request to a target that breaks the connection and then refuses a new one.
fn crash(router: &mut DirectRouter, millis: u64, tried: &[TargetId]) -> TargetId {
    let request = request(None, FINGERPRINT);
    let Placement::Send { target, prefill_tokens, .. } = router.place(at(millis), &request, tried)
    else {
        panic!("refused at {millis} ms");
    };
    let run = router.start_run(at(millis), &request, target, prefill_tokens);
    router.end_run(at(millis + 10), run, RunOutcome::Broken);
    let other = self::request(None, 1);
    let run = router.start_run(at(millis + 20), &other, target, 0);
    router.end_run(at(millis + 30), run, RunOutcome::Unreachable);
    target
}

fn refusal(router: &mut DirectRouter, millis: u64) -> Option<RefusalReason> {
    match router.place(at(millis), &request(None, FINGERPRINT), &[]) {
        Placement::Refuse { reason, .. } => Some(reason),
        Placement::Send { .. } => None,
    }
}

#[test]
fn request_is_quarantined_after_two_crashes() {
    let mut router = router(1, 6);
    let first = crash(&mut router, 1000, &[]);
    assert_eq!(refusal(&mut router, 2000), None);
    crash(&mut router, 2000, &[first]);
    assert_eq!(refusal(&mut router, 3000), Some(RefusalReason::Quarantined));
}

#[test]
fn routers_share_crash_evidence() {
    let mut first = router(1, 6);
    let mut second = router(2, 6);
    let target = crash(&mut first, 1000, &[]);
    second.apply_crash_findings(at(1100), &first.crash_findings(at(1100)), REPORT);
    crash(&mut second, 2000, &[target]);
    first.apply_crash_findings(at(2100), &second.crash_findings(at(2100)), REPORT);
    assert_eq!(refusal(&mut first, 3000), Some(RefusalReason::Quarantined));
    assert_eq!(refusal(&mut second, 3000), Some(RefusalReason::Quarantined));
}

/// A broken connection alone does not prove a crash; responses are also lost by connection resets.
#[test]
fn broken_connections_alone_are_no_evidence() {
    let mut router = router(1, 6);
    for time in [1000, 2000, 3000, 4000] {
        let request = request(None, FINGERPRINT);
        let run = router.start_run(at(time), &request, TargetId(time), 0);
        router.end_run(at(time + 10), run, RunOutcome::Broken);
    }
    assert_eq!(refusal(&mut router, 5000), None);
}

/// Requests that share only a prompt part have different fingerprints, whose crashes never add up.
#[test]
fn shared_part_that_crashes_targets_is_quarantined() {
    let mut router = router(1, 8);
    let mut crashes = 0;
    for number in 0..8 {
        let prompt = prompt(0xdead, 500, 100);
        let request = request(Some(&prompt), 1000 + number);
        let time = 1000 + 500 * number;
        let Placement::Send { target, prefill_tokens, .. } = router.place(at(time), &request, &[])
        else {
            continue;
        };
        let run = router.start_run(at(time), &request, target, prefill_tokens);
        router.end_run(at(time + 100), run, RunOutcome::Broken);
        let next = self::request(None, 1);
        let run = router.start_run(at(time + 101), &next, target, 0);
        router.end_run(at(time + 102), run, RunOutcome::Unreachable);
        crashes += 1;
    }
    assert!(crashes <= 5, "{crashes} targets crashed");
    let sound = prompt(0x50, 500, 100);
    let sound = request(Some(&sound), 2000);
    assert!(matches!(router.place(at(6000), &sound, &[]), Placement::Send { .. }));
}
