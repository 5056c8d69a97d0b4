//! Placement in stages chooses the same target as a ranking of all targets.
//!
//! Pattern: a large fleet, in which weighing every target for every request would take most of a
//! weak router's processor time.

use std::cmp::Ordering;
use std::time::Duration;

use jackdaw_policy::direct::placement::{PlacementTarget, choose_target};
use jackdaw_policy::direct::{
    Placement, PlacementRequest, RefusalReason, ShareStatus, ShareTier, TargetId, TargetLoad,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{at, prompt, request, router};

const OBJECTIVE: Duration = Duration::from_millis(500);

/// Probability that a random target is a candidate of the request.
const CANDIDATE_PROBABILITY: f64 = 0.2;

fn random_target(random: &mut ChaCha8Rng, id: u64) -> PlacementTarget {
    let missing_ms = random.random_range(0..60);
    PlacementTarget {
        target: TargetId(id),
        slots: 16,
        memory_tokens: Some(20_000),
        load: TargetLoad {
            queued_tokens: 0,
            queued: random.random_range(0..4),
            running: random.random_range(0..14),
            memory_tokens: random.random_range(0..20_000),
        },
        queue_time: Duration::from_millis(random.random_range(0..400)),
        recent_time: Duration::ZERO,
        prefill_tokens: 600,
        prefill_time: Duration::from_millis(6 + missing_ms),
        repeated_prefill_time: Duration::from_millis(missing_ms),
        copy_time: Duration::ZERO,
        cache_source: None,
        base_time: Duration::from_millis(40),
        is_fast: false,
        failure_rate: random.random_range(0.0..0.5),
        is_same_domain: random.random_bool(0.3),
        is_candidate: random.random_bool(CANDIDATE_PROBABILITY),
    }
}

/// Returns the first target in the order of the whole ranking that accepts the request alone.
fn choose_from_ranking(
    request: &PlacementRequest<'_>,
    targets: &[PlacementTarget],
) -> Option<TargetId> {
    let accepts = |target: &PlacementTarget| {
        // A single candidate stands first in the ranking, so its home is added for the others.
        let blocked = PlacementTarget { is_candidate: true, slots: 0, ..target.clone() };
        let alone = match target.is_candidate {
            true => vec![target.clone()],
            false => vec![blocked, target.clone()],
        };
        matches!(choose_target(request, &alone), Placement::Send { .. })
    };
    let mut candidates: Vec<&PlacementTarget> =
        targets.iter().filter(|target| target.is_candidate).collect();
    candidates.sort_by(|a, b| compare(a, b));
    let is_pressed = request.mean_wait >= OBJECTIVE.mul_f64(0.2);
    if is_pressed && request.share.tier != ShareTier::Owed {
        candidates.truncate(1);
        return candidates.into_iter().find(|target| accepts(target)).map(|target| target.target);
    }
    let mut others: Vec<&PlacementTarget> =
        targets.iter().filter(|target| !target.is_candidate).collect();
    others.sort_by(|a, b| compare(a, b));
    let mut ranking = candidates.into_iter().chain(others);
    ranking.find(|target| accepts(target)).map(|target| target.target)
}

fn compare(a: &PlacementTarget, b: &PlacementTarget) -> Ordering {
    a.cost().total_cmp(&b.cost())
}

#[test]
fn stages_choose_as_the_whole_ranking() {
    let prompt = prompt(1, 5000, 600);
    let mut sent = 0;
    for seed in 1..=400 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..40);
        let targets: Vec<PlacementTarget> =
            (0..count).map(|id| random_target(&mut random, id)).collect();
        let tiers = [ShareTier::Owed, ShareTier::Surplus, ShareTier::Excess];
        let request = PlacementRequest {
            prompt: Some(&prompt),
            service_objective: OBJECTIVE,
            time_left: Duration::from_millis(random.random_range(50..2000)),
            share: ShareStatus {
                tier: *tiers.choose(&mut random).expect("a tier"),
                share_used: 1.0,
            },
            rank: 0,
            is_caller_retry: random.random_bool(0.2),
            mean_wait: *[Duration::ZERO, Duration::from_millis(200)]
                .choose(&mut random)
                .expect("a wait"),
            stream_pause_limit: None,
            shortest_target_pause: None,
            no_target_reason: RefusalReason::NoTarget,
        };
        let expected = choose_from_ranking(&request, &targets);
        let chosen = match choose_target(&request, &targets) {
            Placement::Send { target, .. } => Some(target),
            Placement::Refuse { .. } => None,
        };
        assert_eq!(chosen, expected, "seed {seed}");
        sent += usize::from(chosen.is_some());
    }
    assert!(sent > 100, "too few requests were sent: {sent}");
}

/// All routers prefer the same targets for a shared part, whatever the order of their entries.
#[test]
fn routers_agree_on_candidates() {
    let (mut first, mut second) = (router(1, 200), router(2, 200));
    let prompts: Vec<_> = (0..50).map(|part| prompt(part, 5000, 600)).collect();
    for prompt in &prompts {
        let request = request(Some(prompt), 7);
        let send = |router: &mut jackdaw_policy::direct::DirectRouter| match router.place(
            at(10),
            &request,
            &[],
        ) {
            Placement::Send { target, .. } => target,
            Placement::Refuse { reason, .. } => panic!("refused by an idle fleet: {reason:?}"),
        };
        assert_eq!(send(&mut first), send(&mut second));
    }
}

/// A target that was tried or fails is replaced by the next one of the shared part.
#[test]
fn tried_targets_are_passed_over() {
    let mut router = router(1, 30);
    let prompt = prompt(3, 5000, 600);
    let request = request(Some(&prompt), 7);
    let mut tried = Vec::new();
    for _ in 0..30 {
        let Placement::Send { target, .. } = router.place(at(10), &request, &tried) else {
            panic!("refused with idle targets left");
        };
        assert!(!tried.contains(&target));
        tried.push(target);
    }
    assert!(matches!(router.place(at(10), &request, &tried), Placement::Refuse { .. }));
}
