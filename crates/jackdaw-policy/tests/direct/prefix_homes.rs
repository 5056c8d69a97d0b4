//! Requests with one shared part come together, at every router.

use jackdaw_policy::direct::{Placement, RunOutcome, TargetId};

use crate::common::{at, call, prompt, router};

fn placed(placement: Placement) -> TargetId {
    match placement {
        Placement::Send { target, .. } => target,
        Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
    }
}

#[test]
fn routers_agree_without_a_message() {
    let mut first = router(1, 12);
    let mut second = router(2, 12);
    for part in 0..200 {
        let prompt = prompt(part, 5000, 600);
        let call = call(Some(&prompt), part);
        let targets =
            (placed(first.place(at(0), &call, &[])), placed(second.place(at(0), &call, &[])));
        assert_eq!(targets.0, targets.1, "part {part}");
    }
}

#[test]
fn parts_spread_over_targets() {
    let mut router = router(1, 12);
    let mut counts = std::collections::HashMap::new();
    for part in 0..1200 {
        let prompt = prompt(part, 5000, 600);
        let target = placed(router.place(at(0), &call(Some(&prompt), part), &[]));
        *counts.entry(target).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 12);
    // Five standard deviations of a binomial distribution around 100.
    assert!(counts.values().all(|count| (52..=148).contains(count)), "{counts:?}");
}

/// A queue of some milliseconds is waited for; reading the part once more costs the others more.
#[test]
fn short_queue_does_not_tear_a_part_apart() {
    let mut router = router(1, 12);
    let prompt = prompt(7, 5000, 600);
    let first = call(Some(&prompt), 1);
    let home = placed(router.place(at(0), &first, &[]));
    router.start_run(at(0), &first, home, 5600);
    let next = placed(router.place(at(1), &call(Some(&prompt), 2), &[]));
    assert_eq!(home, next);
}

/// A home target with a queue as long as it may get gives its owed requests to the second place.
#[test]
fn second_place_takes_over_from_a_full_home() {
    let mut router = router(1, 12);
    let prompt = prompt(7, 5000, 600);
    let first = call(Some(&prompt), 1);
    let home = placed(router.place(at(0), &first, &[]));
    let run = router.start_run(at(0), &first, home, 60_000);
    let second = placed(router.place(at(1), &call(Some(&prompt), 2), &[]));
    assert_ne!(home, second);
    router.end_run(at(2), run, RunOutcome::Whole);
    assert_eq!(placed(router.place(at(3), &call(Some(&prompt), 3), &[])), home);
}

#[test]
fn tried_targets_are_left_out() {
    let mut router = router(1, 2);
    let prompt = prompt(7, 5000, 600);
    let call = call(Some(&prompt), 1);
    let home = placed(router.place(at(0), &call, &[]));
    let other = placed(router.place(at(0), &call, &[home]));
    assert_ne!(home, other);
    assert!(matches!(router.place(at(0), &call, &[home, other]), Placement::Refuse { .. }));
}
