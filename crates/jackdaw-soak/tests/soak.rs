//! Short runs of the soak test, and regression tests for seeds that failed before.

use std::time::Duration;

use jackdaw_soak::{SoakSize, run_soak};
use tokio::task::LocalSet;

/// Seeds of the short runs; with up to four kinds of faults each, they cover most kinds.
const SHORT_SEEDS: [u64; 3] = [1, 2, 3];

/// Seeds that failed before, at the default size of the program:
/// - 773001: streams went on at targets of another software version.
/// - 113: SIGTERM killed a router that had logged its start but not installed its signal handlers.
const FAILED_SEEDS: [u64; 2] = [113, 773001];

/// Returns the size of a short run.
fn short_size() -> SoakSize {
    SoakSize { routers: 3, targets: 3, callers: 6, fault_window: Duration::from_secs(4) }
}

/// Returns the default size of the program.
fn default_size() -> SoakSize {
    SoakSize { routers: 4, targets: 4, callers: 12, fault_window: Duration::from_secs(8) }
}

fn assert_guarantees(seed: u64, size: &SoakSize) {
    let directory = tempfile::tempdir().expect("temporary directory can be created");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let run = run_soak(seed, size, directory.path());
    let report = LocalSet::new().block_on(&runtime.expect("runtime can be built"), run);
    assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    assert!(report.outcomes.contains_key("200"), "seed {seed}: {:?}", report.outcomes);
}

#[test]
fn short_runs_keep_all_guarantees() {
    for seed in SHORT_SEEDS {
        assert_guarantees(seed, &short_size());
    }
}

#[test]
fn seeds_that_failed_before_keep_all_guarantees() {
    for seed in FAILED_SEEDS {
        assert_guarantees(seed, &default_size());
    }
}
