//! Quarantine: a request that crashes targets is refused by all routers of the fleet.

use jackdaw_policy::direct::{
    DirectRequest, DirectRouter, EARLY_EVENTS, FindingSource, Placement, RefusalReason, RunId,
    RunOutcome, TargetId,
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

/// Sends a request whose response gets `events` events; returns its run.
fn answer(
    router: &mut DirectRouter,
    millis: u64,
    request: &DirectRequest<'_>,
    target: TargetId,
    events: u32,
) -> RunId {
    let run = router.start_run(at(millis), request, target, 0);
    router.record_head(run);
    for _ in 0..events {
        router.record_events(at(millis + 10), run);
    }
    run
}

/// Breaks a run and has its target refuse a new connection.
fn break_off(router: &mut DirectRouter, millis: u64, run: RunId, target: TargetId) {
    router.end_run(at(millis), run, RunOutcome::Broken);
    router.record_unreachable(at(millis + 5), target);
}

fn is_refused(router: &mut DirectRouter, millis: u64, request: &DirectRequest<'_>) -> bool {
    let placement = router.place(at(millis), request, &[]);
    matches!(placement, Placement::Refuse { reason: RefusalReason::Quarantined, .. })
}

/// A request that crashed its targets only after some events was taken for sound at the second one, and
/// was never refused.
#[test]
fn request_that_crashes_targets_midway_is_quarantined() {
    for events in [0, 1, 2, 3, EARLY_EVENTS, EARLY_EVENTS + 1, 100] {
        let mut router = router(1, 12);
        let deadly = request(None, FINGERPRINT);
        let mut crashes = 0;
        for number in 0..12 {
            let millis = 1000 * (number + 1);
            if is_refused(&mut router, millis, &deadly) {
                break;
            }
            let target = TargetId(number);
            let run = answer(&mut router, millis, &deadly, target, events);
            break_off(&mut router, millis + 60, run, target);
            crashes += 1;
        }
        // The platform allows three more attempts after the third crash.
        assert!(crashes <= 4, "{events} events: {crashes} targets crashed");
        assert!(is_refused(&mut router, 20_000, &deadly), "{events} events");
    }
}

/// The same for a prompt part: each of its requests was taken for the proof that it is sound. Requests
/// with the other part that all of them share are served.
#[test]
fn part_that_crashes_targets_after_some_events_is_quarantined() {
    let mut router = router(1, 12);
    let (deadly_part, sound) = (prompt(0xdead, 500, 100), prompt(0x50, 500, 100));
    let mut crashes = 0;
    for number in 0..12 {
        let millis = 1000 * (number + 1);
        let deadly = request(Some(&deadly_part), 1000 + number);
        if is_refused(&mut router, millis, &deadly) {
            break;
        }
        let target = TargetId(number);
        let beside = request(Some(&sound), 2000 + number);
        let beside = answer(&mut router, millis - 500, &beside, target, 20);
        let run = answer(&mut router, millis, &deadly, target, 3);
        router.end_run(at(millis + 60), beside, RunOutcome::Broken);
        break_off(&mut router, millis + 60, run, target);
        crashes += 1;
    }
    assert!(crashes <= 5, "{crashes} targets crashed");
    assert!(is_refused(&mut router, 20_000, &request(Some(&deadly_part), 5000)));
    assert!(!is_refused(&mut router, 20_000, &request(Some(&sound), 5001)));
}

/// A long stream may run at two targets that crash for reasons of their own, and is served again.
#[test]
fn stream_that_two_crashes_interrupt_is_not_quarantined() {
    let mut router = router(1, 6);
    let sound = request(None, FINGERPRINT);
    for number in 0..2 {
        let (millis, target) = (1000 * (number + 1), TargetId(number));
        let run = answer(&mut router, millis, &sound, target, EARLY_EVENTS + 20);
        break_off(&mut router, millis + 900, run, target);
    }
    assert!(!is_refused(&mut router, 4000, &sound));
}
