//! Percentile differences between routed and direct requests.

use std::time::Duration;

use jackdaw_demo::latency::LatencyHistograms;

#[test]
fn added_percentiles() {
    let mut histograms = LatencyHistograms::new();
    for millis in 1..=100 {
        histograms.record_direct(Duration::from_millis(millis));
        histograms.record_routed(Duration::from_millis(millis * 2));
    }
    let added = histograms.added();
    assert!((added.p50 - 50.0).abs() < 0.2, "{added:?}");
    assert!((added.p99 - 99.0).abs() < 0.4, "{added:?}");
}
