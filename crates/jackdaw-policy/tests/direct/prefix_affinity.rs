//! Requests with the same shared prompt part are placed on the same target by all routers.

use jackdaw_policy::direct::{Placement, RunOutcome, TargetId};

use crate::common::{at, prompt, request, router};

fn placed(placement: Placement) -> TargetId {
    match placement {
        Placement::Send { target, .. } => target,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

#[test]
fn routers_choose_the_same_home_without_communication() {
    let mut first = router(1, 12);
    let mut second = router(2, 12);
    for part in 0..200 {
        let prompt = prompt(part, 5000, 600);
        let request = request(Some(&prompt), part);
        let targets =
            (placed(first.place(at(0), &request, &[])), placed(second.place(at(0), &request, &[])));
        assert_eq!(targets.0, targets.1, "part {part}");
    }
}

#[test]
fn home_targets_are_evenly_distributed() {
    let mut router = router(1, 12);
    let mut counts = std::collections::HashMap::new();
    for part in 0..1200 {
        let prompt = prompt(part, 5000, 600);
        let target = placed(router.place(at(0), &request(Some(&prompt), part), &[]));
        *counts.entry(target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 12);
    // Five standard deviations of a binomial distribution around 100.
    assert!(counts.values().all(|count| (52..=148).contains(count)), "{counts:?}");
}

/// Waiting in a short queue costs less than a repeated prefill of the shared part.
#[test]
fn short_queue_does_not_move_requests_off_the_home() {
    let mut router = router(1, 12);
    let prompt = prompt(7, 5000, 600);
    let first = request(Some(&prompt), 1);
    let home = placed(router.place(at(0), &first, &[]));
    router.start_run(at(0), &first, home, 5600);
    let next = placed(router.place(at(1), &request(Some(&prompt), 2), &[]));
    assert_eq!(home, next);
}

/// If the wait at the home target exceeds the limit, requests go to the second candidate until the
/// queue of the home target has drained.
#[test]
fn second_candidate_takes_over_from_a_full_home() {
    let mut router = router(1, 12);
    let prompt = prompt(7, 5000, 600);
    let first = request(Some(&prompt), 1);
    let home = placed(router.place(at(0), &first, &[]));
    let run = router.start_run(at(0), &first, home, 60_000);
    let second = placed(router.place(at(1), &request(Some(&prompt), 2), &[]));
    assert_ne!(home, second);
    router.end_run(at(2), run, RunOutcome::Whole);
    assert_eq!(placed(router.place(at(3), &request(Some(&prompt), 3), &[])), home);
}

#[test]
fn tried_targets_are_excluded() {
    let mut router = router(1, 2);
    let prompt = prompt(7, 5000, 600);
    let request = request(Some(&prompt), 1);
    let home = placed(router.place(at(0), &request, &[]));
    let other = placed(router.place(at(0), &request, &[home]));
    assert_ne!(home, other);
    assert!(matches!(router.place(at(0), &request, &[home, other]), Placement::Refuse { .. }));
}
