//! Who may wait how long at a target.

use std::time::Duration;

use jackdaw_policy::direct::placement::{PlacementTarget, choose_target};
use jackdaw_policy::direct::{
    Placement, PlacementRequest, PromptShape, RefusalReason, ShareStatus, ShareTier, TargetId,
    TargetLoad,
};

use crate::common::prompt;

const OBJECTIVE: Duration = Duration::from_millis(500);
const CALM: Duration = Duration::ZERO;
const BUSY: Duration = Duration::from_millis(200);

fn request(prompt: &PromptShape, tier: ShareTier, mean_wait: Duration) -> PlacementRequest<'_> {
    PlacementRequest {
        prompt: Some(prompt),
        service_objective: OBJECTIVE,
        time_left: Duration::from_secs(15),
        share: ShareStatus { tier, share_used: 1.0 },
        rank: 0,
        is_caller_retry: false,
        mean_wait,
    }
}

fn target(id: u64, queue_ms: u64) -> PlacementTarget {
    PlacementTarget {
        target: TargetId(id),
        slots: 64,
        memory_tokens: Some(800_000),
        load: TargetLoad { queued_tokens: 1, queued: 1, running: 5, memory_tokens: 50_000 },
        queue_time: Duration::from_millis(queue_ms),
        prefill_tokens: 600,
        prefill_time: Duration::from_millis(6),
        repeated_prefill_time: Duration::ZERO,
        base_time: Duration::from_millis(40),
        failure_rate: 0.0,
        is_same_domain: true,
        is_candidate: true,
    }
}

fn is_sent(request: &PlacementRequest<'_>, targets: &[PlacementTarget]) -> bool {
    matches!(choose_target(request, targets), Placement::Send { .. })
}

#[test]
fn calm_fleet_knows_no_tiers() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(is_sent(&request(&prompt, tier, CALM), &[target(1, 100)]), "{tier:?}");
    }
}

#[test]
fn pressure_turns_excess_away_first() {
    let prompt = prompt(1, 5000, 600);
    let longest = |tier| {
        let waits = (0..500).rev();
        waits.into_iter().find(|wait| is_sent(&request(&prompt, tier, BUSY), &[target(1, *wait)]))
    };
    let (owed, surplus) = (longest(ShareTier::Owed), longest(ShareTier::Surplus));
    let excess = longest(ShareTier::Excess);
    assert!(owed > surplus && surplus > excess, "{owed:?} {surplus:?} {excess:?}");
    assert!(excess.is_some(), "an idle target takes everybody's requests");
}

/// A customer that asks for many times its share finds, with so many tries, every short queue
/// before the customers whose surplus it would take; under pressure it gets idle targets only.
#[test]
fn excess_gets_idle_targets_only_under_pressure() {
    let prompt = prompt(1, 5000, 600);
    let excess = request(&prompt, ShareTier::Excess, BUSY);
    assert!(!is_sent(&excess, &[target(1, 10)]));
    assert!(is_sent(&request(&prompt, ShareTier::Surplus, BUSY), &[target(1, 10)]));
    assert!(is_sent(&excess, &[target(1, 0)]));
}

#[test]
fn no_wait_reaches_the_objective() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(!is_sent(&request(&prompt, tier, CALM), &[target(1, 500)]), "{tier:?}");
    }
}

#[test]
fn refusal_names_its_reason_and_a_time() {
    let prompt = prompt(1, 5000, 600);
    let refusal = |tier| match choose_target(&request(&prompt, tier, BUSY), &[target(1, 400)]) {
        Placement::Refuse { reason, retry_after } => (reason, retry_after),
        Placement::Send { .. } => panic!("sent into a queue of 400 ms"),
    };
    let (reason, retry_after) = refusal(ShareTier::Owed);
    assert_eq!(reason, RefusalReason::Overloaded);
    assert!(retry_after > Duration::ZERO);
    assert_eq!(refusal(ShareTier::Excess).0, RefusalReason::OverShare);
}

/// A request that comes back after a refusal is late already; beyond its customer's share it
/// does not go before those that can still be on time.
#[test]
fn return_beyond_the_share_waits_for_an_idle_target() {
    let prompt = prompt(1, 5000, 600);
    for tier in [ShareTier::Surplus, ShareTier::Excess] {
        let fresh = request(&prompt, tier, BUSY);
        let back = PlacementRequest { is_caller_retry: true, ..fresh.clone() };
        // Excess waits for an idle target from the first.
        assert_eq!(is_sent(&fresh, &[target(1, 20)]), tier == ShareTier::Surplus, "{tier:?}");
        assert!(!is_sent(&back, &[target(1, 20)]), "{tier:?}");
        assert!(is_sent(&back, &[target(1, 0)]), "{tier:?}");
    }
    let owed =
        PlacementRequest { is_caller_retry: true, ..request(&prompt, ShareTier::Owed, BUSY) };
    assert!(is_sent(&owed, &[target(1, 100)]));
}

/// A request that would be served only after its caller has left is refused at once.
#[test]
fn hopeless_request_is_refused_at_once() {
    let prompt = prompt(1, 5000, 600);
    let mut request = request(&prompt, ShareTier::Owed, CALM);
    request.time_left = Duration::from_millis(100);
    assert!(!is_sent(&request, &[target(1, 90)]));
}

#[test]
fn full_memory_takes_no_more() {
    let prompt = prompt(1, 5000, 600);
    let mut full = target(1, 0);
    full.load.memory_tokens = 790_000;
    assert!(!is_sent(&request(&prompt, ShareTier::Owed, CALM), &[full]));
}

/// A part is read once more rather than refuse a request: for everybody in a calm fleet, and
/// under pressure only for what is owed.
#[test]
fn idle_target_takes_what_the_home_cannot() {
    let prompt = prompt(1, 5000, 600);
    let home = target(1, 400);
    let mut idle = target(2, 0);
    idle.is_candidate = false;
    idle.repeated_prefill_time = Duration::from_millis(50);
    let targets = [home, idle];
    for tier in [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess] {
        assert!(is_sent(&request(&prompt, tier, CALM), &targets), "{tier:?}");
    }
    assert!(is_sent(&request(&prompt, ShareTier::Owed, BUSY), &targets));
    assert!(!is_sent(&request(&prompt, ShareTier::Surplus, BUSY), &targets));
    assert!(!is_sent(&request(&prompt, ShareTier::Excess, BUSY), &targets));
}

#[test]
fn busy_target_reads_no_part_again() {
    let prompt = prompt(1, 5000, 600);
    let mut other = target(2, 100);
    other.is_candidate = false;
    assert!(!is_sent(&request(&prompt, ShareTier::Owed, CALM), &[target(1, 400), other]));
}
