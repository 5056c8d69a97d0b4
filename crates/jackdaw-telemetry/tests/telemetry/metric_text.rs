//! The text format of metrics.

use jackdaw_telemetry::MetricRegistry;

#[test]
fn all_metric_kinds_are_encoded() {
    let registry = MetricRegistry::new();
    let requests = registry.counter("requests", "Requests by outcome.");
    requests.add(&[("outcome", "answered")], 2);
    requests.handle(&[("outcome", "answered")]).inc();
    registry.gauge("jackdaw_waiting", "Waiting requests.").set(&[], 5);
    let waits = registry.histogram("wait_seconds", "Time in the queue.", &[0.1, 1.0]);
    waits.observe(&[("class", "short")], 0.5);
    let text = registry.encode().expect("text");
    for line in [
        "# HELP jackdaw_requests Requests by outcome.",
        "jackdaw_requests_total{outcome=\"answered\"} 3",
        "jackdaw_waiting{} 5",
        "jackdaw_wait_seconds_bucket{le=\"1.0\",class=\"short\"} 1",
        "jackdaw_wait_seconds_count{class=\"short\"} 1",
        "# EOF",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}
