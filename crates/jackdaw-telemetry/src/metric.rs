//! Metrics of a process in the OpenMetrics format.

use std::fmt;
use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

const PREFIX: &str = "jackdaw";

/// The label names and values of one metric.
type LabelSet = Vec<(String, String)>;

/// Registry of the metrics of a process.
///
/// The name of every metric starts with `jackdaw_`; the prefix is added where it is missing.
#[derive(Debug)]
pub struct MetricRegistry {
    registry: Mutex<Registry>,
}

/// Counters with the same name and different labels.
#[derive(Debug, Clone)]
pub struct CounterFamily {
    family: Family<LabelSet, Counter>,
}

/// Gauges with the same name and different labels.
#[derive(Debug, Clone)]
pub struct GaugeFamily {
    family: Family<LabelSet, Gauge>,
}

/// Histograms with the same name and buckets and different labels.
#[derive(Debug, Clone)]
pub struct HistogramFamily {
    family: Family<LabelSet, Histogram, BucketBounds>,
}

/// Creates the histograms of a family; `bounds` are the upper bounds of the buckets.
#[derive(Debug, Clone)]
struct BucketBounds {
    bounds: Vec<f64>,
}

impl MetricConstructor<Histogram> for BucketBounds {
    fn new_metric(&self) -> Histogram {
        Histogram::new(self.bounds.iter().copied())
    }
}

impl Default for MetricRegistry {
    fn default() -> MetricRegistry {
        MetricRegistry { registry: Mutex::new(Registry::with_prefix(PREFIX)) }
    }
}

impl MetricRegistry {
    /// Creates an empty registry.
    pub fn new() -> MetricRegistry {
        MetricRegistry::default()
    }

    /// Registers a family of counters. The text format appends `_total` to the name.
    pub fn counter(&self, name: &str, help: &str) -> CounterFamily {
        let family = Family::default();
        self.with_registry(|registry| {
            registry.register(strip_prefix(name), strip_full_stop(help), family.clone());
        });
        CounterFamily { family }
    }

    /// Registers a family of gauges.
    pub fn gauge(&self, name: &str, help: &str) -> GaugeFamily {
        let family = Family::default();
        self.with_registry(|registry| {
            registry.register(strip_prefix(name), strip_full_stop(help), family.clone());
        });
        GaugeFamily { family }
    }

    /// Registers a family of histograms whose buckets have the given upper bounds.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> HistogramFamily {
        let bounds = BucketBounds { bounds: bounds.to_vec() };
        let family = Family::new_with_constructor(bounds);
        self.with_registry(|registry| {
            registry.register(strip_prefix(name), strip_full_stop(help), family.clone());
        });
        HistogramFamily { family }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        self.with_registry(|registry| encode(&mut text, registry))?;
        Ok(text)
    }

    fn with_registry<T>(&self, action: impl FnOnce(&mut Registry) -> T) -> T {
        action(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl CounterFamily {
    /// Returns the counter with these labels. Callers on hot paths keep it to avoid the lookup.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Counter {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Adds `amount` to the counter with these labels.
    pub fn add(&self, labels: &[(&str, &str)], amount: u64) {
        self.family.get_or_create(&label_set(labels)).inc_by(amount);
    }
}

impl GaugeFamily {
    /// Returns the gauge with these labels. Callers on hot paths keep it to avoid the lookup.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Gauge {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Sets the gauge with these labels to `value`.
    pub fn set(&self, labels: &[(&str, &str)], value: i64) {
        self.family.get_or_create(&label_set(labels)).set(value);
    }
}

impl HistogramFamily {
    /// Returns the histogram with these labels. Callers on hot paths keep it to avoid the lookup.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Histogram {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Records `value` in the histogram with these labels.
    pub fn observe(&self, labels: &[(&str, &str)], value: f64) {
        self.family.get_or_create(&label_set(labels)).observe(value);
    }
}

/// Removes the prefix from a metric name, as the registry adds it.
fn strip_prefix(name: &str) -> &str {
    let rest = name.strip_prefix(PREFIX).and_then(|rest| rest.strip_prefix('_'));
    rest.unwrap_or(name)
}

/// Removes the final full stop from a help text, as the text format adds one.
fn strip_full_stop(help: &str) -> &str {
    help.strip_suffix('.').unwrap_or(help)
}

fn label_set(labels: &[(&str, &str)]) -> LabelSet {
    labels.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}
