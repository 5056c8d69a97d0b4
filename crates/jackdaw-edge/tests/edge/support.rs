//! Helpers shared by several tests.

use std::path::PathBuf;

use jackdaw_settings::EdgeSettings;

/// Runs a future on a single-threaded runtime, as the router does.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

/// Returns the settings of the example file.
pub(crate) fn example_settings() -> EdgeSettings {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "../../examples/edge.ini"].iter().collect();
    EdgeSettings::open(&path).expect("valid example")
}
