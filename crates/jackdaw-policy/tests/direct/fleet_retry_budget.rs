//! The fleet-wide retry budget is kept by all routers together.

use std::time::Duration;

use jackdaw_policy::direct::{DirectRouter, FleetRetryBudget};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, request, router};

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

/// Returns eight routers that have heard each other.
fn connected_routers() -> Vec<DirectRouter> {
    let mut routers: Vec<DirectRouter> = (0..8).map(|number| router(1 + number, 1)).collect();
    let reports: Vec<_> = routers.iter_mut().map(|router| router.report(at(100))).collect();
    for router in &mut routers {
        for report in &reports {
            router.apply_report(at(110), report);
        }
        router.expire(at(200));
    }
    routers
}

/// Returns how many retries the routers grant that each hear no other one any more.
fn retries_apart(routers: &mut [DirectRouter], millis: u64) -> usize {
    let mut granted = 0;
    for router in routers {
        router.expire(at(millis));
        assert_eq!(router.peer_count(), 0);
        router.record_arrival(at(millis), &request(None, 1));
        granted += (0..200).filter(|_| router.take_retry(at(millis), SERVICE)).count();
    }
    granted
}

/// When routers were cut off from each other, each took the whole fleet's allowance for its own.
#[test]
fn cut_does_not_multiply_the_allowance() {
    let mut routers = connected_routers();
    let budget = ALLOWANCE + RATIO * routers.len() as f64;
    let granted = retries_apart(&mut routers, 12_000);
    assert!(granted > 0 && granted as f64 <= budget, "{granted} of {budget}");
}

/// Routers that have gone for good leave their part of the allowance to the others.
#[test]
fn allowance_follows_a_fleet_that_shrinks() {
    let mut routers = connected_routers();
    let last = &mut routers[..1];
    assert!(retries_apart(last, 12_000) < 20);
    assert!(retries_apart(last, 120_000) > 40);
}
