//! Two customers ask for many times their usual while all others go on as before.

use jackdaw_model::ModelReport;

use crate::{SEEDS, draw, play};

/// Customers' parts: two ask for nine and seven times what each of the fourteen others does.
fn hot() -> Vec<f64> {
    let mut customers = vec![1.0; 16];
    customers[0] = 9.0;
    customers[1] = 7.0;
    customers
}

fn served(report: &ModelReport) -> Vec<(u64, u64)> {
    report
        .customers
        .values()
        .map(|result| (result.requested_tokens, result.served_tokens))
        .collect()
}

/// The users' rule: nobody gets less than half of what it asked for, or of what the best served
/// customer got, whichever is less.
#[test]
fn everybody_gets_half_of_the_best_or_of_its_demand() {
    for seed in SEEDS {
        let report = play(draw(420.0, hot(), seed), seed);
        let customers = served(&report);
        let best = customers.iter().map(|(_, served)| *served).max().unwrap_or(0);
        for (customer, (asked, served)) in customers.iter().enumerate() {
            let owed = *asked.min(&best);
            assert!(2 * served >= owed, "seed {seed}, customer {customer}: {served} of {owed}");
        }
    }
}

/// Under overload the ordinary customers lose less than the hot ones.
#[test]
fn flood_is_turned_away_before_the_others() {
    for seed in SEEDS {
        let report = play(draw(420.0, hot(), seed), seed);
        let refused: Vec<f64> =
            report.customers.values().map(|result| result.refused_share()).collect();
        let (hot, others) = refused.split_at(2);
        let mean = others.iter().sum::<f64>() / others.len() as f64;
        assert!(hot.iter().all(|share| *share > 2.0 * mean), "seed {seed}: {hot:?}, {mean:.3}");
    }
}
