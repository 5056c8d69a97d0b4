//! The fleet-wide retry budget is kept by all routers together.

use std::time::Duration;

use jackdaw_policy::direct::FleetRetryBudget;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::at;

const RATIO: f64 = 0.2;
const ALLOWANCE: f64 = 100.0;
const WINDOW_MS: u64 = 10_000;

/// Simulates routers that try to retry every request. Returns the times of requests and of
/// granted retries, in milliseconds.
fn simulate(seed: u64, routers: usize) -> (Vec<u64>, Vec<u64>) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let window = Duration::from_millis(WINDOW_MS);
    let mut budgets = vec![FleetRetryBudget::new(window, RATIO, ALLOWANCE); routers];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for time in 0..60_000 {
        // The load alternates, so that windows differ.
        let rate = if (time / 7_000) % 2 == 0 { 0.4 } else { 0.02 };
        if !random.random_bool(rate) {
            continue;
        }
        let budget = &mut budgets[random.random_range(0..routers)];
        budget.record_request(at(time));
        requests.push(time);
        if budget.take_retry(at(time), routers) {
            retries.push(time);
        }
    }
    (requests, retries)
}

fn count_between(times: &[u64], from: u64, to: u64) -> usize {
    times.iter().filter(|time| (from..to).contains(*time)).count()
}

#[test]
fn retries_stay_within_the_fleets_budget() {
    for seed in 1..=20 {
        let (requests, retries) = simulate(seed, 8);
        assert!(!retries.is_empty(), "seed {seed}: no retry was granted");
        for start in (0..50_000).step_by(500) {
            let spent = count_between(&retries, start, start + WINDOW_MS);
            let windows = [0, WINDOW_MS / 2, WINDOW_MS];
            let counts = windows.map(|shift| {
                let from = start.saturating_sub(shift);
                count_between(&requests, from, from + WINDOW_MS)
            });
            let most = counts.into_iter().max().unwrap_or(0);
            let budget = RATIO * most as f64 + ALLOWANCE;
            assert!(spent as f64 <= budget, "seed {seed}, from {start}: {spent} of {budget}");
        }
    }
}

#[test]
fn allowance_is_divided_among_routers() {
    let window = Duration::from_millis(WINDOW_MS);
    let mut budget = FleetRetryBudget::new(window, 0.0, ALLOWANCE);
    let granted = (0..200).filter(|_| budget.take_retry(at(0), 10)).count();
    assert!(granted > 0 && granted <= 10, "{granted}");
}
