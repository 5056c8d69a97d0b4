//! Latency added by the fleet, measured by sending the same requests directly and through routers.

use std::time::Duration;

use hdrhistogram::Histogram;
use jackdaw_base::plain_data;

/// The number of significant decimal digits that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The highest latency that the histograms track, in microseconds; higher ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

const MICROS_PER_MILLI: f64 = 1000.0;

plain_data! {
    /// Percentiles of routed requests minus those of direct requests, in milliseconds.
    #[derive(Default)]
    pub struct AddedLatency {
        /// The difference between the medians.
        pub p50: f64,
        /// The difference between the 99th percentiles.
        pub p99: f64,
    }
}

/// Latency histograms of direct requests and of requests through the fleet.
pub struct LatencyHistograms {
    /// Latencies of requests sent directly to a target, in microseconds.
    direct: Histogram<u64>,
    /// Latencies of requests through the fleet, in microseconds.
    routed: Histogram<u64>,
}

impl LatencyHistograms {
    /// Creates empty histograms.
    pub fn new() -> LatencyHistograms {
        LatencyHistograms { direct: new_histogram(), routed: new_histogram() }
    }

    /// Records the latency of a request sent directly to a target.
    pub fn record_direct(&mut self, latency: Duration) {
        self.direct.saturating_record(latency.as_micros() as u64);
    }

    /// Records the latency of a request through the fleet.
    pub fn record_routed(&mut self, latency: Duration) {
        self.routed.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the latency that the fleet adds.
    pub fn added(&self) -> AddedLatency {
        AddedLatency { p50: self.quantile_difference(0.5), p99: self.quantile_difference(0.99) }
    }

    /// Returns the added latency at a quantile, in milliseconds.
    fn quantile_difference(&self, quantile: f64) -> f64 {
        let routed = self.routed.value_at_quantile(quantile) as f64;
        let direct = self.direct.value_at_quantile(quantile) as f64;
        (routed - direct) / MICROS_PER_MILLI
    }
}

impl Default for LatencyHistograms {
    fn default() -> LatencyHistograms {
        LatencyHistograms::new()
    }
}

/// Creates a histogram of latencies in microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds and the number of significant digits are valid")
}
