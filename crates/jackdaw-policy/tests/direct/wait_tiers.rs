//! Wait limits at targets by share tier, pressure and retry status.

use std::time::Duration;

use jackdaw_policy::direct::placement::{PlacementTarget, choose_target};
use jackdaw_policy::direct::{
    Placement, PlacementRequest, PromptShape, RefusalReason, ShareStatus, ShareTier, TargetId,
    TargetLoad,
};

use crate::common::prompt;

const OBJECTIVE: Duration = Duration::from_millis(500);
const NO_PRESSURE: Duration = Duration::ZERO;
const FULL_PRESSURE: Duration = Duration::from_millis(200);

fn request(prompt: &PromptShape, tier: ShareTier, mean_wait: Duration) -> PlacementRequest<'_> {
    PlacementRequest {
        prompt: Some(prompt),
        service_objective: OBJECTIVE,
        time_left: Duration::from_secs(15),
        share: ShareStatus { tier, share_used: 1.0 },
        rank: 0,
        is_caller_retry: false,
        mean_wait,
        stream_pause_limit: None,
        shortest_target_pause: None,
        no_target_reason: RefusalReason::NoTarget,
    }
}

fn target(id: u64, queue_ms: u64) -> PlacementTarget {
    PlacementTarget {
        target: TargetId(id),
        slots: 64,
        memory_tokens: Some(800_000),
        load: TargetLoad { queued_tokens: 1, queued: 1, running: 5, memory_tokens: 50_000 },
        queue_time: Duration::from_millis(queue_ms),
        recent_time: Duration::ZERO,
        prefill_tokens: 600,
        prefill_time: Duration::from_millis(6),
        repeated_prefill_time: Duration::ZERO,
        copy_time: Duration::ZERO,
        cache_source: None,
        base_time: Duration::from_millis(40),
        is_fast: false,
        failure_rate: 0.0,
        is_same_domain: true,
        is_candidate: true,
    }
}

fn is_sent(request: &PlacementRequest<'_>, targets: &[PlacementTarget]) -> bool {
    matches!(choose_target(request, targets), Placement::Send { .. })
}

#[test]
fn tiers_are_equal_without_pressure() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(is_sent(&request(&prompt, tier, NO_PRESSURE), &[target(1, 100)]), "{tier:?}");
    }
}

#[test]
fn pressure_refuses_excess_first() {
    let prompt = prompt(1, 5000, 600);
    let longest = |tier| {
        let waits = (0..500).rev();
        waits
            .into_iter()
            .find(|wait| is_sent(&request(&prompt, tier, FULL_PRESSURE), &[target(1, *wait)]))
    };
    let (owed, surplus) = (longest(ShareTier::Owed), longest(ShareTier::Surplus));
    let excess = longest(ShareTier::Excess);
    assert!(owed > surplus && surplus > excess, "{owed:?} {surplus:?} {excess:?}");
    assert!(excess.is_some(), "an idle target accepts requests of all tiers");
}

/// Guards against a customer that requests many times its share: with that many requests it would
/// occupy every short queue before customers with a small surplus.
#[test]
fn excess_gets_idle_targets_only_under_pressure() {
    let prompt = prompt(1, 5000, 600);
    let excess = request(&prompt, ShareTier::Excess, FULL_PRESSURE);
    assert!(!is_sent(&excess, &[target(1, 10)]));
    assert!(is_sent(&request(&prompt, ShareTier::Surplus, FULL_PRESSURE), &[target(1, 10)]));
    assert!(is_sent(&excess, &[target(1, 0)]));
}

#[test]
fn wait_as_long_as_the_objective_is_refused() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(!is_sent(&request(&prompt, tier, NO_PRESSURE), &[target(1, 500)]), "{tier:?}");
    }
}

#[test]
fn refusal_states_reason_and_retry_delay() {
    let prompt = prompt(1, 5000, 600);
    let refusal =
        |tier| match choose_target(&request(&prompt, tier, FULL_PRESSURE), &[target(1, 400)]) {
            Placement::Refuse { reason, retry_after } => (reason, retry_after),
            Placement::Send { .. } => panic!("sent into a queue of 400 ms"),
        };
    let (reason, retry_after) = refusal(ShareTier::Owed);
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after > Duration::ZERO);
    assert_eq!(refusal(ShareTier::Excess).0, RefusalReason::OverShare);
}

/// A retry after a refusal is already late. If its customer is above its share, it must not take
/// precedence over requests that can still be on time.
#[test]
fn retry_above_the_share_is_sent_to_idle_targets_only() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Surplus, ShareTier::Excess] {
        let fresh = request(&prompt, tier, FULL_PRESSURE);
        let retry = PlacementRequest { is_caller_retry: true, ..fresh.clone() };
        // Requests in excess need an idle target at the first attempt already.
        assert_eq!(is_sent(&fresh, &[target(1, 20)]), tier == ShareTier::Surplus, "{tier:?}");
        assert!(!is_sent(&retry, &[target(1, 20)]), "{tier:?}");
        assert!(is_sent(&retry, &[target(1, 0)]), "{tier:?}");
    }
    let owed = PlacementRequest {
        is_caller_retry: true,
        ..request(&prompt, ShareTier::Owed, FULL_PRESSURE)
    };
    assert!(is_sent(&owed, &[target(1, 100)]));
}

/// A request that cannot be served before its deadline is refused immediately.
#[test]
fn request_that_misses_its_deadline_is_refused() {
    let prompt = prompt(1, 5000, 600);
    let mut request = request(&prompt, ShareTier::Owed, NO_PRESSURE);
    request.time_left = Duration::from_millis(100);
    assert!(!is_sent(&request, &[target(1, 90)]));
}

#[test]
fn target_with_full_memory_is_not_used() {
    let prompt = prompt(1, 5000, 600);
    let mut full = target(1, 0);
    full.load.memory_tokens = 790_000;
    assert!(!is_sent(&request(&prompt, ShareTier::Owed, NO_PRESSURE), &[full]));
}

/// An idle target repeats the prefill of a shared part if the home target is busy: for all tiers
/// without pressure, and only for customers within their share under pressure.
#[test]
fn idle_target_relieves_a_busy_home() {
    let prompt = prompt(1, 5000, 600);
    let home = target(1, 400);
    let mut idle = target(2, 0);
    idle.is_candidate = false;
    idle.repeated_prefill_time = Duration::from_millis(50);
    let targets = [home, idle];
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(is_sent(&request(&prompt, tier, NO_PRESSURE), &targets), "{tier:?}");
    }
    assert!(is_sent(&request(&prompt, ShareTier::Owed, FULL_PRESSURE), &targets));
    assert!(!is_sent(&request(&prompt, ShareTier::Surplus, FULL_PRESSURE), &targets));
    assert!(!is_sent(&request(&prompt, ShareTier::Excess, FULL_PRESSURE), &targets));
}

#[test]
fn busy_target_does_not_repeat_prefill() {
    let prompt = prompt(1, 5000, 600);
    let mut other = target(2, 100);
    other.is_candidate = false;
    assert!(!is_sent(&request(&prompt, ShareTier::Owed, NO_PRESSURE), &[target(1, 400), other]));
}
