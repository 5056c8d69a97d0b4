//! What several tests need.

/// Runs a test on one thread, as the router does.
pub(crate) fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}
