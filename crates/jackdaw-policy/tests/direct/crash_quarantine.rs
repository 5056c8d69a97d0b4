//! A request that crashes targets is refused by the whole fleet.

use jackdaw_policy::direct::{DirectRouter, Placement, RefusalReason, RunOutcome, TargetId};

use crate::common::{at, call, router};

const FINGERPRINT: u64 = 77;

/// Sends the request; the target breaks off and then refuses connections.
fn crash(router: &mut DirectRouter, millis: u64, tried: &[TargetId]) -> TargetId {
    let call = call(None, FINGERPRINT);
    let Placement::Send { target, prefill_tokens, .. } = router.place(at(millis), &call, tried)
    else {
        panic!("refused at {millis} ms");
    };
    let run = router.start_run(at(millis), &call, target, prefill_tokens);
    router.end_run(at(millis + 10), run, RunOutcome::Broken);
    let other = self::call(None, 1);
    let run = router.start_run(at(millis + 20), &other, target, 0);
    router.end_run(at(millis + 30), run, RunOutcome::Unreachable);
    target
}

fn refusal(router: &mut DirectRouter, millis: u64) -> Option<RefusalReason> {
    match router.place(at(millis), &call(None, FINGERPRINT), &[]) {
        Placement::Refuse { reason, .. } => Some(reason),
        Placement::Send { .. } => None,
    }
}

#[test]
fn two_crashed_targets_are_enough() {
    let mut router = router(1, 6);
    let first = crash(&mut router, 1000, &[]);
    assert_eq!(refusal(&mut router, 2000), None);
    crash(&mut router, 2000, &[first]);
    assert_eq!(refusal(&mut router, 3000), Some(RefusalReason::Quarantined));
}

#[test]
fn other_routers_refuse_it_too() {
    let mut first = router(1, 6);
    let mut second = router(2, 6);
    let target = crash(&mut first, 1000, &[]);
    second.apply_report(at(1100), &first.report(at(1100)));
    crash(&mut second, 2000, &[target]);
    first.apply_report(at(2100), &second.report(at(2100)));
    assert_eq!(refusal(&mut first, 3000), Some(RefusalReason::Quarantined));
    assert_eq!(refusal(&mut second, 3000), Some(RefusalReason::Quarantined));
}

/// A broken connection alone is no crash: answers are lost and connections reset as well.
#[test]
fn lost_answers_are_no_evidence() {
    let mut router = router(1, 6);
    for time in [1000, 2000, 3000, 4000] {
        let call = call(None, FINGERPRINT);
        let run = router.start_run(at(time), &call, TargetId(time), 0);
        router.end_run(at(time + 10), run, RunOutcome::Broken);
    }
    assert_eq!(refusal(&mut router, 5000), None);
}
