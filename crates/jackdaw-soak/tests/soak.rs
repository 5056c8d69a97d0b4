//! Short runs of the soak, and the seeds that failed before.

use std::time::Duration;

use jackdaw_soak::{SoakSize, run_soak};
use tokio::task::LocalSet;

/// Seeds of the short runs; with four kinds of faults each they cover most kinds.
const SHORT_SEEDS: [u64; 3] = [1, 2, 3];

/// Seeds that failed once, at the size of runs by hand:
/// - 113: SIGTERM ended a router that had started but did not receive signals yet.
const FAILED_SEEDS: [u64; 1] = [113];

/// The size of short runs.
fn short_size() -> SoakSize {
    SoakSize { routers: 3, targets: 3, callers: 6, fault_window: Duration::from_secs(4) }
}

/// The size of runs by hand.
fn usual_size() -> SoakSize {
    SoakSize { routers: 4, targets: 4, callers: 12, fault_window: Duration::from_secs(8) }
}

fn play(seed: u64, size: &SoakSize) {
    let directory = tempfile::tempdir().expect("a directory");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = run_soak(seed, size, directory.path());
    let report = LocalSet::new().block_on(&runtime.expect("a runtime"), run);
    assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    assert!(report.outcomes.contains_key("200"), "seed {seed}: {:?}", report.outcomes);
}

#[test]
fn short_runs_keep_all_promises() {
    for seed in SHORT_SEEDS {
        play(seed, &short_size());
    }
}

#[test]
fn seeds_that_failed_before_keep_all_promises() {
    for seed in FAILED_SEEDS {
        play(seed, &usual_size());
    }
}
