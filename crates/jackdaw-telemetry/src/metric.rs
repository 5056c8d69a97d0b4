//! Metrics of a process.

use std::fmt;
use std::sync::{Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::{Family, MetricConstructor};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

const PREFIX: &str = "jackdaw";

/// Label names and values of one metric.
type LabelSet = Vec<(String, String)>;

/// The metrics of a process, all with the prefix `jackdaw_`, which names may leave out.
#[derive(Debug)]
pub struct MetricRegistry {
    registry: Mutex<Registry>,
}

/// Counters that share a name.
#[derive(Debug, Clone)]
pub struct CounterFamily {
    family: Family<LabelSet, Counter>,
}

/// Gauges that share a name.
#[derive(Debug, Clone)]
pub struct GaugeFamily {
    family: Family<LabelSet, Gauge>,
}

/// Histograms that share a name and buckets.
#[derive(Debug, Clone)]
pub struct HistogramFamily {
    family: Family<LabelSet, Histogram, BucketList>,
}

/// Makes the histograms of a family.
#[derive(Debug, Clone)]
struct BucketList {
    bounds: Vec<f64>,
}

impl MetricConstructor<Histogram> for BucketList {
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
    /// Returns a registry without metrics.
    pub fn new() -> MetricRegistry {
        MetricRegistry::default()
    }

    /// Adds counters; the text form appends `_total` to the name.
    pub fn counter(&self, name: &str, help: &str) -> CounterFamily {
        let family = Family::default();
        self.with(|registry| registry.register(suffix(name), sentence(help), family.clone()));
        CounterFamily { family }
    }

    /// Adds gauges.
    pub fn gauge(&self, name: &str, help: &str) -> GaugeFamily {
        let family = Family::default();
        self.with(|registry| registry.register(suffix(name), sentence(help), family.clone()));
        GaugeFamily { family }
    }

    /// Adds histograms with the given upper bounds of their buckets.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> HistogramFamily {
        let list = BucketList { bounds: bounds.to_vec() };
        let family = Family::new_with_constructor(list);
        self.with(|registry| registry.register(suffix(name), sentence(help), family.clone()));
        HistogramFamily { family }
    }

    /// Returns all metrics in the OpenMetrics text form.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        self.with(|registry| encode(&mut text, registry))?;
        Ok(text)
    }

    fn with<T>(&self, action: impl FnOnce(&mut Registry) -> T) -> T {
        action(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl CounterFamily {
    /// Returns the counter with these labels, to be kept where it is used often.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Counter {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Adds to the counter with these labels.
    pub fn add(&self, labels: &[(&str, &str)], amount: u64) {
        self.family.get_or_create(&label_set(labels)).inc_by(amount);
    }
}

impl GaugeFamily {
    /// Returns the gauge with these labels, to be kept where it is used often.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Gauge {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Sets the gauge with these labels.
    pub fn set(&self, labels: &[(&str, &str)], value: i64) {
        self.family.get_or_create(&label_set(labels)).set(value);
    }
}

impl HistogramFamily {
    /// Returns the histogram with these labels, to be kept where it is used often.
    pub fn handle(&self, labels: &[(&str, &str)]) -> Histogram {
        self.family.get_or_create(&label_set(labels)).clone()
    }

    /// Adds a value to the histogram with these labels.
    pub fn observe(&self, labels: &[(&str, &str)], value: f64) {
        self.family.get_or_create(&label_set(labels)).observe(value);
    }
}

/// Returns a name without the prefix that the registry adds.
fn suffix(name: &str) -> &str {
    let rest = name.strip_prefix(PREFIX).and_then(|rest| rest.strip_prefix('_'));
    rest.unwrap_or(name)
}

/// Returns a help text without the full stop that the text form adds.
fn sentence(help: &str) -> &str {
    help.strip_suffix('.').unwrap_or(help)
}

fn label_set(labels: &[(&str, &str)]) -> LabelSet {
    labels.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}
