//! Prediction of what a request will cost, learned from what earlier ones did cost.
//!
//! A caller's hint enters only through the ratio of cost to hint seen before, and the result
//! stays within a fixed factor of the learned mean: a customer gains nothing by a low hint.

use std::collections::BTreeMap;

use jackdaw_base::{CustomerId, RequestClass, WorkUnits, plain_data};

/// Weight of the newest sample in a running mean, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 20;
/// Samples after which a customer's own mean counts as much as that of its class.
const PRIOR_SAMPLES: u64 = 2;
/// Largest factor by which a hint moves a prediction away from the learned mean.
const HINT_RANGE: u64 = 4;
/// Most customers and classes that are remembered.
const MAX_HISTORIES: usize = 65_536;

plain_data! {
    copy
    #[derive(Default)]
    /// Running means of cost and hint.
    pub struct CostHistory {
        /// The mean cost, in work units.
        pub cost: u64,
        /// The mean hint, in work units; zero where none was given.
        pub hint: u64,
        /// The number of samples, up to a limit.
        pub samples: u64,
    }
}

impl CostHistory {
    fn observe(&mut self, cost: u64, hint: u64) {
        self.samples = (self.samples + 1).min(1_000);
        // The first samples weigh evenly, later ones decay exponentially.
        let weight = SAMPLE_WEIGHT_PERCENT.max(100 / self.samples);
        self.cost = blend(self.cost, cost, weight);
        self.hint = blend(self.hint, hint, weight);
    }
}

/// Learned cost of requests, by customer and class.
#[derive(Debug, Clone, Default)]
pub struct CostEstimator {
    histories: BTreeMap<(CustomerId, RequestClass), CostHistory>,
    classes: BTreeMap<RequestClass, CostHistory>,
}

impl CostEstimator {
    /// Predicts the cost of a request; at least one unit.
    pub fn predict(&self, customer: CustomerId, class: RequestClass, hint: WorkUnits) -> WorkUnits {
        let prior = match self.classes.get(&class) {
            Some(history) => history.cost,
            None => default_cost(class),
        };
        let Some(history) = self.histories.get(&(customer, class)) else {
            return WorkUnits(prior.max(1));
        };
        let weighted = history.cost * history.samples + prior * PRIOR_SAMPLES;
        let mean = weighted / (history.samples + PRIOR_SAMPLES);
        if hint.0 == 0 || history.hint == 0 {
            return WorkUnits(mean.max(1));
        }
        let scaled = u128::from(hint.0) * u128::from(history.cost) / u128::from(history.hint);
        let scaled = scaled.min(u128::from(u64::MAX)) as u64;
        let scaled = scaled.clamp(mean / HINT_RANGE, mean.saturating_mul(HINT_RANGE));
        WorkUnits(mean.midpoint(scaled).max(1))
    }

    /// Learns what a request did cost.
    pub fn observe(
        &mut self,
        customer: CustomerId,
        class: RequestClass,
        hint: WorkUnits,
        cost: WorkUnits,
    ) {
        self.classes.entry(class).or_default().observe(cost.0, hint.0);
        let key = (customer, class);
        if self.histories.len() >= MAX_HISTORIES && !self.histories.contains_key(&key) {
            self.histories.pop_first();
        }
        self.histories.entry(key).or_default().observe(cost.0, hint.0);
    }

    /// Returns the number of customers and classes that are remembered.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether nothing has been learned yet.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }
}

fn blend(mean: u64, sample: u64, weight: u64) -> u64 {
    (mean.saturating_mul(100 - weight).saturating_add(sample.saturating_mul(weight))) / 100
}

fn default_cost(class: RequestClass) -> u64 {
    match class {
        RequestClass::Short => 64,
        RequestClass::Long => 1_024,
        RequestClass::Read | RequestClass::Recording => 20,
    }
}
