//! Helpers shared by several tests.

/// Runs a future on a single-threaded runtime, as the router does.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}
