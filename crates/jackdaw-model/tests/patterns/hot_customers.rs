//! Two customers send many times their usual load while all others send as much as before.

use jackdaw_model::ModelReport;

use crate::{SEEDS, draw, simulate};

/// Returns customer weights: two customers send nine and seven times the load of each of the
/// fourteen others.
fn hot_customer_weights() -> Vec<f64> {
    let mut customers = vec![1.0; 16];
    customers[0] = 9.0;
    customers[1] = 7.0;
    customers
}

/// Returns the requested and the served tokens of each customer.
fn served(report: &ModelReport) -> Vec<(u64, u64)> {
    report
        .customers
        .values()
        .map(|result| (result.requested_tokens, result.served_tokens))
        .collect()
}

/// Fairness rule of the users: each customer gets at least half of its demand or of what the
/// best-served customer gets, whichever is less.
#[test]
fn each_customer_gets_half_of_demand_or_best() {
    for seed in SEEDS {
        let report = simulate(draw(420.0, hot_customer_weights(), seed), seed);
        let customers = served(&report);
        let best = customers.iter().map(|(_, served)| *served).max().unwrap_or(0);
        for (customer, (asked, served)) in customers.iter().enumerate() {
            let owed = *asked.min(&best);
            assert!(2 * served >= owed, "seed {seed}, customer {customer}: {served} of {owed}");
        }
    }
}

/// Under overload, the hot customers are refused more than twice as often as the others.
#[test]
fn hot_customers_are_refused_first() {
    for seed in SEEDS {
        let report = simulate(draw(420.0, hot_customer_weights(), seed), seed);
        let refused: Vec<f64> =
            report.customers.values().map(|result| result.refused_share()).collect();
        let (hot, others) = refused.split_at(2);
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        assert!(hot.iter().all(|share| *share > 2.0 * mean), "seed {seed}: {hot:?}, {mean:.3}");
    }
}
