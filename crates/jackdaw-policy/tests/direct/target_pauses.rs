//! Targets that turn requests away and ask for a pause.

use std::time::Duration;

use jackdaw_policy::direct::{
    DirectRouter, Placement, RefusalReason, RunId, RunOutcome, SendFailure, TargetHealth, TargetId,
};

use crate::common::{at, prompt, request, router};

const TARGET: TargetId = TargetId(3);

/// Places a request and starts a run; panics if it is refused.
fn send(router: &mut DirectRouter, millis: u64, part: u64) -> (RunId, TargetId) {
    let prompt = prompt(part, 500, 100);
    let request = request(Some(&prompt), part);
    match router.place(at(millis), &request, &[]) {
        Placement::Send { target, prefill_tokens, .. } => {
            (router.start_run(at(millis), &request, target, prefill_tokens), target)
        }
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

#[test]
fn pausing_target_gets_no_requests() {
    let mut router = router(1, 6);
    let (run, target) = send(&mut router, 1000, 5);
    router.end_run(at(1010), run, RunOutcome::Paused(Duration::from_millis(1500)));
    for millis in (1011..2510).step_by(20) {
        let (run, other) = send(&mut router, millis, 5);
        assert_ne!(other, target, "{millis}");
        router.end_run(at(millis + 5), run, RunOutcome::Whole);
    }
    assert_eq!(send(&mut router, 2511, 5).1, target, "the home takes its part back");
}

/// The first request after a pause is a probe; others wait for its outcome.
#[test]
fn one_request_probes_after_a_pause() {
    let mut router = router(1, 6);
    let (run, target) = send(&mut router, 1000, 5);
    router.end_run(at(1010), run, RunOutcome::Paused(Duration::from_millis(500)));
    let (probe, probed) = send(&mut router, 1600, 5);
    assert_eq!(probed, target);
    for millis in [1601, 1650, 2000] {
        assert_ne!(send(&mut router, millis, 5).1, target, "{millis}");
    }
    router.record_response(at(2010), probe);
    assert_eq!(send(&mut router, 2020, 5).1, target);
}

#[test]
fn probe_that_is_turned_away_pauses_again() {
    let mut router = router(1, 6);
    let (run, target) = send(&mut router, 1000, 5);
    router.end_run(at(1010), run, RunOutcome::Paused(Duration::from_millis(500)));
    let (probe, _) = send(&mut router, 1600, 5);
    router.end_run(at(1610), probe, RunOutcome::Paused(Duration::from_millis(800)));
    for millis in (1620..2400).step_by(50) {
        assert_ne!(send(&mut router, millis, 5).1, target, "{millis}");
    }
    assert_eq!(send(&mut router, 2420, 5).1, target);
}

#[test]
fn probe_without_an_outcome_does_not_exclude_for_good() {
    let mut health = TargetHealth::default();
    health.record_pause(at(0), TARGET, Duration::from_millis(300));
    assert!(!health.is_usable(at(299), TARGET));
    assert!(health.is_usable(at(300), TARGET));
    health.record_send(at(310), TARGET);
    // The caller of the probe leaves.
    health.end_wait(at(400), TARGET);
    assert!(!health.is_usable(at(700), TARGET));
    assert!(health.is_usable(at(1310), TARGET));
}

/// A service whose targets all pause refuses at once, with the shortest pause as retry delay.
#[test]
fn service_that_pauses_refuses_until_the_shortest_pause_ends() {
    let mut router = router(1, 3);
    let mut pauses = [2600, 1800, 2200].into_iter();
    for millis in [1000, 1001, 1002] {
        let (run, _) = send(&mut router, millis, 5);
        let pause = Duration::from_millis(pauses.next().expect("one per target"));
        router.end_run(at(millis), run, RunOutcome::Paused(pause));
    }
    let prompt = prompt(5, 500, 100);
    let request = request(Some(&prompt), 5);
    match router.place(at(1500), &request, &[]) {
        Placement::Refuse { reason, retry_after } => {
            assert_eq!(reason, RefusalReason::NoTarget);
            // The second target paused at 1001 ms for 1800 ms.
            assert_eq!(retry_after, Duration::from_millis(1301));
        }
        Placement::Send { .. } => panic!("sent to a pausing target"),
    }
    assert!(matches!(router.place(at(2801), &request, &[]), Placement::Send { .. }));
}

#[test]
fn pauses_are_bounded_and_never_shortened() {
    let mut health = TargetHealth::default();
    let day = Duration::from_secs(86_400);
    assert!(health.record_pause(at(0), TARGET, day) <= Duration::from_secs(60));
    health.record_pause(at(10), TARGET, Duration::from_millis(5));
    assert!(!health.is_usable(at(30_000), TARGET));
    assert!(health.is_usable(at(60_000), TARGET));
    health.record_failure(at(60_001), TARGET, SendFailure::Full);
    assert_eq!(health.pause_left(at(60_001), TARGET), Some(Duration::ZERO));
}

/// A request that was placed before the pause began is withheld.
#[test]
fn request_under_way_is_withheld() {
    let mut router = router(1, 6);
    let (run, target) = send(&mut router, 1000, 5);
    let (_, same) = send(&mut router, 1001, 5);
    assert_eq!(target, same);
    assert!(router.accepts_placed(at(1005), same));
    router.end_run(at(1010), run, RunOutcome::Paused(Duration::from_secs(1)));
    assert!(!router.accepts_placed(at(1020), same));
    assert!(router.accepts_placed(at(2020), same));
    router.record_leaving(at(2030), same);
    assert!(!router.accepts_placed(at(2040), same));
}

/// A pause outlasts the entry of the target, which may lapse and return.
#[test]
fn pause_outlasts_a_lapse() {
    let mut health = TargetHealth::default();
    health.record_pause(at(0), TARGET, Duration::from_secs(2));
    health.retain(at(100), |_| false);
    assert!(!health.is_usable(at(1500), TARGET));
    health.retain(at(2100), |_| false);
    assert!(health.is_usable(at(2100), TARGET));
}
