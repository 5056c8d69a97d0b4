//! All customers ask together for half as much again as the engines can do.

use jackdaw_model::{FleetProfile, ModelFleet, PlacementRule};

use crate::{SEEDS, draw, play};

/// The part of admitted requests that is to be on time, as the users' first letter states it.
const ON_TIME_TARGET: f64 = 0.95;

#[test]
fn what_is_admitted_is_on_time() {
    for seed in SEEDS {
        let all = play(draw(420.0, vec![1.0; 16], seed), seed).all;
        let admitted = all.requests - all.refused;
        let share = all.on_time as f64 / admitted as f64;
        assert!(share >= ON_TIME_TARGET, "seed {seed}: {share:.3} of {admitted} admitted");
    }
}

/// Refusing is no excuse for idle engines: they do at least what the fleet is stated to do.
#[test]
fn engines_do_what_the_fleet_promises() {
    let seconds = 12.0;
    for seed in SEEDS {
        let all = play(draw(420.0, vec![1.0; 16], seed), seed).all;
        let rate = all.served_tokens as f64 / seconds;
        let promised = FleetProfile::default().tokens_per_second as f64;
        assert!(rate >= promised, "seed {seed}: {rate:.0} of {promised:.0} tokens a second");
    }
}

/// Against the baseline that sends every request to a random target.
#[test]
fn more_are_on_time_than_without_admission() {
    for seed in SEEDS {
        let requests = draw(420.0, vec![1.0; 16], seed);
        let product = play(requests.clone(), seed).all.on_time_share();
        let profile = FleetProfile { rule: PlacementRule::Random, ..FleetProfile::default() };
        let random = ModelFleet::simulate(profile, requests, seed).all.on_time_share();
        assert!(product > 2.0 * random, "seed {seed}: {product:.3} against {random:.3}");
    }
}
