//! Metrics of a router.

use std::sync::Arc;

use jackdaw_base::ErrorKind;
use jackdaw_telemetry::{CounterFamily, GaugeFamily, MetricRegistry};

/// The metrics that the decisions feed.
pub struct RouterMetrics {
    /// Where they are registered.
    registry: Arc<MetricRegistry>,
    /// The answers to callers, by outcome.
    answers: CounterFamily,
    /// The offers sent to agents.
    offers: CounterFamily,
    /// The runs started.
    runs: CounterFamily,
    /// The invariants found broken.
    violations: CounterFamily,
    /// The requests without a final answer.
    open: GaugeFamily,
}

impl RouterMetrics {
    /// Registers the metrics.
    pub fn new() -> RouterMetrics {
        let registry = Arc::new(MetricRegistry::new());
        let violations = registry.counter("jackdaw_violations", "Invariants found broken");
        // Shown from the start, so that its absence tells of a process that is not there.
        violations.add(&[], 0);
        RouterMetrics {
            answers: registry.counter("jackdaw_answers", "Answers to callers by outcome"),
            offers: registry.counter("jackdaw_offers", "Offers sent to agents"),
            runs: registry.counter("jackdaw_runs", "Runs started at agents"),
            violations,
            open: registry.gauge("jackdaw_open_requests", "Requests without a final answer"),
            registry,
        }
    }

    /// Returns where the metrics are registered.
    pub fn registry(&self) -> Arc<MetricRegistry> {
        self.registry.clone()
    }

    /// Counts a whole answer.
    pub fn count_completed(&self) {
        self.answers.add(&[("outcome", "whole")], 1);
    }

    /// Counts an answer that is an error.
    pub fn count_failed(&self, kind: ErrorKind) {
        self.answers.add(&[("outcome", kind.slug())], 1);
    }

    /// Counts an offer.
    pub fn count_offer(&self) {
        self.offers.add(&[], 1);
    }

    /// Counts the start of a run.
    pub fn count_run_start(&self) {
        self.runs.add(&[], 1);
    }

    /// Counts a broken invariant.
    pub fn count_violation(&self) {
        self.violations.add(&[], 1);
    }

    /// Sets the number of requests without a final answer.
    pub fn set_open_requests(&self, requests: usize) {
        self.open.set(&[], requests as i64);
    }
}

impl Default for RouterMetrics {
    fn default() -> RouterMetrics {
        RouterMetrics::new()
    }
}
