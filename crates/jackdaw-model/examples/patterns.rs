//! Simulates load patterns with the production placement and with the random baseline.
//!
//! Usage: `cargo run --release -p jackdaw-model --example patterns -- [SEED] [product]`
//!
//! With `product`, the baseline is skipped.

use std::time::Duration;

use jackdaw_model::load_pattern::assistant_classes;
use jackdaw_model::{FleetProfile, LoadPattern, ModelFleet, PlacementRule};

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}; fractions of requests; prefilled tokens in thousands");
    println!(
        "pattern          rule     on time  late  refused  worst customer  prefill  shared prefill"
    );
    for (name, requests_per_second, customer_weights, burst_size) in patterns() {
        let classes = assistant_classes();
        let duration = Duration::from_secs(20);
        let pattern =
            LoadPattern { duration, requests_per_second, classes, customer_weights, burst_size };
        let rules = match std::env::args().nth(2).as_deref() {
            Some("product") => vec![PlacementRule::Product],
            _ => vec![PlacementRule::Product, PlacementRule::Random],
        };
        for rule in rules {
            let profile = FleetProfile { rule, ..FleetProfile::default() };
            let report = ModelFleet::simulate(profile, pattern.draw(seed), seed);
            let all = report.all;
            println!(
                "{name:16} {:8} {:7.3} {:5.3} {:8.3} {:15.3} {:8} {:15}",
                format!("{rule:?}").to_lowercase(),
                all.on_time_share(),
                all.late as f64 / all.requests.max(1) as f64,
                all.refused_share(),
                report.lowest_on_time_share(),
                report.prefill_tokens / 1000,
                report.shared_prefill_tokens / 1000,
            );
        }
    }
}

/// Returns the name, requests per second, customer weights and burst size of each pattern.
fn patterns() -> Vec<(&'static str, f64, Vec<f64>, u32)> {
    let even = vec![1.0; 16];
    let mut hot = even.clone();
    hot[0] = 9.0;
    hot[1] = 7.0;
    vec![
        ("calm", 200.0, even.clone(), 3),
        ("busy", 280.0, even.clone(), 3),
        ("overload", 420.0, even, 3),
        ("hot customers", 420.0, hot, 3),
    ]
}
