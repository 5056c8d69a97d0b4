//! Prometheus metrics of an edge router.

use std::sync::Arc;

use jackdaw_policy::direct::{ChangeEffect, UpdateEffect};
use jackdaw_telemetry::{CounterFamily, GaugeFamily, HistogramFamily, MetricRegistry};
use prometheus_client::metrics::counter::Counter;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: &[f64] =
    &[0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// Handles to the registered metrics.
pub struct EdgeMetrics {
    /// The registry that encodes the metrics for scraping.
    pub registry: Arc<MetricRegistry>,
    /// Responses to callers, by route and outcome.
    pub responses: CounterFamily,
    /// Selections of a target that failed, by reason.
    pub refusals: CounterFamily,
    /// Requests sent to targets.
    pub sends: Counter,
    /// Retries of requests at another target.
    pub retries: Counter,
    /// Streams that went on at another target within one response.
    pub resumptions: Counter,
    /// Requests whose callers go on with a stream of an earlier attempt.
    pub returns: Counter,
    /// Lookups of streams by their result.
    pub lookups: CounterFamily,
    /// Versions of streams told to other routers.
    pub bindings_sent: Counter,
    /// Versions of streams that other routers told.
    pub bindings_received: Counter,
    /// Versions of streams that were not recorded, because too many are known.
    pub bindings_dropped: Counter,
    /// Versions of streams told to routers that took over from others.
    pub bindings_repaired: Counter,
    /// Versions of streams told to other routers before this one stopped.
    pub bindings_handed_over: Counter,
    /// Versions of streams written to the store.
    pub bindings_saved: Counter,
    /// Datagrams about streams that could not be sent.
    pub stream_send_failures: Counter,
    /// Connections whose target was asked for its identity.
    pub identity_checks: Counter,
    /// Connections opened to targets.
    pub connections: Counter,
    /// Targets whose announced leaving this router learned of.
    pub leavings: Counter,
    /// Pauses that targets asked this router for.
    pub pauses: Counter,
    /// Changes of limits that targets stated.
    pub limits: Counter,
    /// Targets that turned cold.
    pub cold_targets: Counter,
    /// Failure domains that were taken out of use.
    pub evacuations: Counter,
    /// Crashes of targets that this router recognised.
    pub target_crashes: Counter,
    /// Changes of targets by their effect on this router's table.
    pub target_changes: CounterFamily,
    /// Requests to the platform's store.
    pub store_calls: Counter,
    /// Reports to routers that are only known from the store.
    pub contacts_greeted: Counter,
    /// Datagrams with reports sent to other routers.
    pub reports_sent: Counter,
    /// Datagrams with reports received from other routers.
    pub reports_received: Counter,
    /// Time from receipt of a request to the first byte of its response, in seconds, by route.
    pub first_byte: HistogramFamily,
    /// Time from receipt of a request to the end of its response, in seconds, by route.
    pub complete_response: HistogramFamily,
    /// Bodies of requests that gave way to others.
    pub bodies_evicted: Counter,
    /// Connections of callers that were closed because there were too many.
    pub connections_closed: Counter,
    /// Current values: configuration version, targets, missing targets, runs, peers, scheduling lag
    /// and dropped log lines.
    pub levels: GaugeFamily,
}

impl EdgeMetrics {
    /// Registers all metrics in a new registry.
    pub fn register() -> EdgeMetrics {
        let registry = MetricRegistry::new();
        let plain = |name: &str, help: &str| registry.counter(name, help).handle(&[]);
        EdgeMetrics {
            responses: registry.counter("edge_answers", "Answered requests by route and outcome"),
            refusals: registry.counter("edge_refusals", "Requests without a target by reason"),
            sends: plain("edge_sends", "Requests sent to targets"),
            retries: plain("edge_repeats", "Requests sent again to another target"),
            resumptions: plain("edge_stream_resumptions", "Streams resumed within one answer"),
            returns: plain("edge_stream_returns", "Requests that go on with a stream"),
            lookups: registry.counter("edge_stream_lookups", "Lookups of streams by result"),
            bindings_sent: plain("edge_stream_bindings_sent", "Versions of streams told to others"),
            bindings_received: plain(
                "edge_stream_bindings_heard",
                "Versions of streams told by others",
            ),
            bodies_evicted: plain(
                "edge_request_bodies_evicted",
                "Bodies of requests that gave way to others",
            ),
            connections_closed: plain(
                "edge_caller_connections_closed",
                "Connections of callers closed because there were too many",
            ),
            bindings_repaired: plain(
                "edge_stream_bindings_repaired",
                "Versions of streams told to routers that took over from others",
            ),
            bindings_saved: plain(
                "edge_stream_bindings_saved",
                "Versions of streams written to the store",
            ),
            bindings_handed_over: plain(
                "edge_stream_bindings_handed_over",
                "Versions of streams told to others before stopping",
            ),
            bindings_dropped: plain(
                "edge_stream_bindings_dropped",
                "Versions of streams not recorded",
            ),
            stream_send_failures: plain(
                "edge_stream_send_failures",
                "Datagrams about streams not sent",
            ),
            identity_checks: plain("edge_identity_checks", "Targets asked for their identity"),
            connections: plain("edge_connections", "Connections made to targets"),
            leavings: plain("edge_target_leavings", "Targets that announced their leaving"),
            pauses: plain("edge_target_pauses", "Pauses that targets asked for"),
            limits: plain("edge_target_limits", "Changes of limits that targets stated"),
            cold_targets: plain("edge_targets_turned_cold", "Targets that turned cold"),
            evacuations: plain("edge_evacuations", "Failure domains taken out of use"),
            target_crashes: plain("edge_target_crashes", "Crashes of targets seen by own runs"),
            target_changes: registry
                .counter("edge_target_changes", "Changes of targets by their effect"),
            store_calls: plain("edge_store_calls", "Calls to the platform's store"),
            contacts_greeted: plain(
                "edge_contacts_greeted",
                "Reports to routers known from the store only",
            ),
            reports_sent: plain("edge_reports_sent", "Reports sent to other routers"),
            reports_received: plain("edge_reports_heard", "Reports taken in from other routers"),
            first_byte: registry.histogram(
                "edge_first_byte_seconds",
                "Time from a request to the first bytes of its answer",
                LATENCY_BOUNDS,
            ),
            complete_response: registry.histogram(
                "edge_whole_answer_seconds",
                "Time from a request to the end of its answer",
                LATENCY_BOUNDS,
            ),
            levels: registry.gauge("edge_level", "Present state of the router"),
            registry: Arc::new(registry),
        }
    }

    /// Counts a change that the store reported.
    pub fn record_target_change(&self, effect: ChangeEffect) {
        let effect = match effect {
            ChangeEffect::Applied => "applied",
            ChangeEffect::Deferred => "deferred",
            ChangeEffect::Ignored => "ignored",
            ChangeEffect::Withheld => "withheld",
        };
        self.target_changes.add(&[("effect", effect)], 1);
    }

    /// Counts the changes that a listing or another router's snapshot brought.
    pub fn record_target_update(&self, effect: &UpdateEffect) {
        let count = |effect: &str, names: &[String]| {
            self.target_changes.add(&[("effect", effect)], names.len() as u64);
        };
        count("withdrawn", &effect.withdrawn);
        count("registered", &effect.registered);
    }
}
