//! A calm day whose requests come in clumps: everybody is served on time.

use crate::{SEEDS, draw, play};

/// The part of requests that is to be on time, as the users' first letter states it.
const ON_TIME_TARGET: f64 = 0.95;

#[test]
fn clumps_are_served_on_time() {
    for seed in SEEDS {
        let report = play(draw(200.0, vec![1.0; 16], seed), seed);
        let share = report.all.on_time_share();
        assert!(share >= ON_TIME_TARGET, "seed {seed}: {share:.3} on time, {:?}", report.all);
    }
}

#[test]
fn no_customer_and_no_kind_waits() {
    for seed in SEEDS {
        let report = play(draw(200.0, vec![1.0; 16], seed), seed);
        let worst = report.lowest_on_time_share();
        assert!(worst >= ON_TIME_TARGET - 0.05, "seed {seed}: customer {worst:.3}");
        for (class, result) in &report.classes {
            let share = result.on_time_share();
            assert!(share >= ON_TIME_TARGET - 0.05, "seed {seed}: class {class}: {share:.3}");
        }
    }
}
