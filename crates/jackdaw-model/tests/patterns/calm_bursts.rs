//! Load below capacity that arrives in bursts: every customer is served on time.

use crate::{SEEDS, draw, simulate};

/// Required on-time fraction of all requests, as stated in the first letter of the users.
const ON_TIME_TARGET: f64 = 0.95;

#[test]
fn bursts_are_served_on_time() {
    for seed in SEEDS {
        let report = simulate(draw(200.0, vec![1.0; 16], seed), seed);
        let share = report.all.on_time_share();
        assert!(share >= ON_TIME_TARGET, "seed {seed}: {share:.3} on time, {:?}", report.all);
    }
}

#[test]
fn each_customer_and_class_is_on_time() {
    for seed in SEEDS {
        let report = simulate(draw(200.0, vec![1.0; 16], seed), seed);
        let worst = report.lowest_on_time_share();
        assert!(worst >= ON_TIME_TARGET - 0.05, "seed {seed}: customer {worst:.3}");
        for (class, result) in &report.classes {
            let share = result.on_time_share();
            assert!(share >= ON_TIME_TARGET - 0.05, "seed {seed}: class {class}: {share:.3}");
        }
    }
}
