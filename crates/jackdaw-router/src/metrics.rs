//! Prometheus metrics of a router.

use std::sync::Arc;

use jackdaw_base::ErrorKind;
use jackdaw_telemetry::{CounterFamily, GaugeFamily, MetricRegistry};

/// Handles to the registered metrics.
pub struct RouterMetrics {
    /// Registry of the metrics.
    registry: Arc<MetricRegistry>,
    /// Responses to callers by outcome.
    answers: CounterFamily,
    /// Offers sent to agents.
    offers: CounterFamily,
    /// Runs started at agents.
    runs: CounterFamily,
    /// Invariant violations.
    violations: CounterFamily,
    /// Requests in progress.
    open_requests: GaugeFamily,
}

impl RouterMetrics {
    /// Registers the metrics in a new registry.
    pub fn new() -> RouterMetrics {
        let registry = Arc::new(MetricRegistry::new());
        let violations = registry.counter("jackdaw_violations", "Invariants found broken");
        // Exported from startup, so that a missing series means that the process does not run.
        violations.add(&[], 0);
        RouterMetrics {
            answers: registry.counter("jackdaw_answers", "Answers to callers by outcome"),
            offers: registry.counter("jackdaw_offers", "Offers sent to agents"),
            runs: registry.counter("jackdaw_runs", "Runs started at agents"),
            violations,
            open_requests: registry
                .gauge("jackdaw_open_requests", "Requests without a final answer"),
            registry,
        }
    }

    /// Returns the registry of the metrics.
    pub fn registry(&self) -> Arc<MetricRegistry> {
        self.registry.clone()
    }

    /// Counts a complete response.
    pub fn count_completed(&self) {
        self.answers.add(&[("outcome", "whole")], 1);
    }

    /// Counts a request that failed with an error of the given kind.
    pub fn count_failed(&self, kind: ErrorKind) {
        self.answers.add(&[("outcome", kind.slug())], 1);
    }

    /// Counts an offer sent to an agent.
    pub fn count_offer(&self) {
        self.offers.add(&[], 1);
    }

    /// Counts a run started at an agent.
    pub fn count_run_start(&self) {
        self.runs.add(&[], 1);
    }

    /// Counts an invariant violation.
    pub fn count_violation(&self) {
        self.violations.add(&[], 1);
    }

    /// Sets the number of requests in progress.
    pub fn set_open_requests(&self, requests: usize) {
        self.open_requests.set(&[], requests as i64);
    }
}

impl Default for RouterMetrics {
    fn default() -> RouterMetrics {
        RouterMetrics::new()
    }
}
