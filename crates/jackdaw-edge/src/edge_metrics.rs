//! Metrics of an edge router.

use std::sync::Arc;

use jackdaw_telemetry::{CounterFamily, GaugeFamily, HistogramFamily, MetricRegistry};
use prometheus_client::metrics::counter::Counter;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: &[f64] =
    &[0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// Metrics of an edge router.
pub struct EdgeMetrics {
    /// The registry from which the text form is made.
    pub registry: Arc<MetricRegistry>,
    /// Answered requests, by route and outcome.
    pub responses: CounterFamily,
    /// Requests sent to targets.
    pub sends: Counter,
    /// Requests sent again to another target.
    pub retries: Counter,
    /// Connections made to targets.
    pub connections: Counter,
    /// Calls to the platform's store.
    pub store_calls: Counter,
    /// Reports sent to other routers.
    pub reports_sent: Counter,
    /// Reports taken in from other routers.
    pub reports_received: Counter,
    /// The time from a request to the first bytes of its answer, by route.
    pub first_byte: HistogramFamily,
    /// The time from a request to the end of its answer, by route.
    pub whole_response: HistogramFamily,
    /// The present state: configuration version, targets, runs, other routers.
    pub levels: GaugeFamily,
}

impl EdgeMetrics {
    /// Registers the metrics.
    pub fn register() -> EdgeMetrics {
        let registry = MetricRegistry::new();
        let plain = |name: &str, help: &str| registry.counter(name, help).handle(&[]);
        EdgeMetrics {
            responses: registry.counter("edge_answers", "Answered requests by route and outcome"),
            sends: plain("edge_sends", "Requests sent to targets"),
            retries: plain("edge_repeats", "Requests sent again to another target"),
            connections: plain("edge_connections", "Connections made to targets"),
            store_calls: plain("edge_store_calls", "Calls to the platform's store"),
            reports_sent: plain("edge_reports_sent", "Reports sent to other routers"),
            reports_received: plain("edge_reports_heard", "Reports taken in from other routers"),
            first_byte: registry.histogram(
                "edge_first_byte_seconds",
                "Time from a request to the first bytes of its answer",
                LATENCY_BOUNDS,
            ),
            whole_response: registry.histogram(
                "edge_whole_answer_seconds",
                "Time from a request to the end of its answer",
                LATENCY_BOUNDS,
            ),
            levels: registry.gauge("edge_level", "Present state of the router"),
            registry: Arc::new(registry),
        }
    }
}
