//! Sustained load of one and a half times the capacity of the engines.

use jackdaw_model::{FleetProfile, ModelFleet, PlacementRule};

use crate::{SEEDS, draw, simulate};

/// Required on-time fraction of admitted requests, as stated in the first letter of the users.
const ON_TIME_TARGET: f64 = 0.95;

#[test]
fn admitted_requests_are_on_time() {
    for seed in SEEDS {
        let all = simulate(draw(420.0, vec![1.0; 16], seed), seed).all;
        let admitted = all.requests - all.refused;
        let share = all.on_time as f64 / admitted as f64;
        assert!(share >= ON_TIME_TARGET, "seed {seed}: {share:.3} of {admitted} admitted");
    }
}

/// Guards against refusing requests while engines are idle: the fleet must reach its configured
/// capacity.
#[test]
fn engines_reach_configured_capacity() {
    let seconds = 12.0;
    for seed in SEEDS {
        let all = simulate(draw(420.0, vec![1.0; 16], seed), seed).all;
        let rate = all.served_tokens as f64 / seconds;
        let capacity = FleetProfile::default().tokens_per_second as f64;
        assert!(rate >= capacity, "seed {seed}: {rate:.0} of {capacity:.0} tokens per second");
    }
}

/// Compares with the baseline that sends every request to a random target.
#[test]
fn more_on_time_than_without_admission() {
    for seed in SEEDS {
        let requests = draw(420.0, vec![1.0; 16], seed);
        let product = simulate(requests.clone(), seed).all.on_time_share();
        let profile = FleetProfile { rule: PlacementRule::Random, ..FleetProfile::default() };
        let random = ModelFleet::simulate(profile, requests, seed).all.on_time_share();
        assert!(product > 2.0 * random, "seed {seed}: {product:.3} against {random:.3}");
    }
}
