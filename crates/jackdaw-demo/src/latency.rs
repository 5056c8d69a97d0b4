//! Latency that the path adds: the same requests direct and through a router.

use std::time::Duration;

use hdrhistogram::Histogram;
use jackdaw_base::plain_data;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Microseconds in one millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

plain_data! {
    /// Differences of percentiles between the path and the direct way, in milliseconds.
    #[derive(Default)]
    pub struct AddedLatency {
        /// The median.
        pub p50: f64,
        /// The 99th percentile.
        pub p99: f64,
    }
}

/// Latencies of the same requests on both ways.
pub struct LatencyHistograms {
    /// The direct way, in microseconds.
    direct: Histogram<u64>,
    /// The way through the fleet, in microseconds.
    routed: Histogram<u64>,
}

impl LatencyHistograms {
    /// Creates empty histograms.
    pub fn new() -> LatencyHistograms {
        LatencyHistograms { direct: new_histogram(), routed: new_histogram() }
    }

    /// Adds a latency of the direct way.
    pub fn record_direct(&mut self, latency: Duration) {
        self.direct.saturating_record(latency.as_micros() as u64);
    }

    /// Adds a latency of the way through the fleet.
    pub fn record_routed(&mut self, latency: Duration) {
        self.routed.saturating_record(latency.as_micros() as u64);
    }

    /// Returns the differences of percentiles.
    pub fn added(&self) -> AddedLatency {
        AddedLatency { p50: self.quantile_difference(0.5), p99: self.quantile_difference(0.99) }
    }

    /// Returns the difference at one quantile in milliseconds.
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

/// Creates a histogram of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds and the precision are ones that the library allows")
}
