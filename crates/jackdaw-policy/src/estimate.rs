//! Predicts the cost of a request from the measured costs of earlier requests.
//!
//! A caller's hint is scaled by the ratio of cost to hint observed so far, and the result stays
//! within a fixed factor of the mean cost. A customer therefore gains nothing from understating
//! its hints.

use std::collections::BTreeMap;

use jackdaw_base::{CustomerId, RequestClass, WorkUnits, plain_data};

/// Least weight of a new sample in a running mean, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 20;
/// Weight of the class mean in a prediction, in samples: the customer's own mean weighs as much
/// after this many samples.
const PRIOR_WEIGHT: u64 = 2;
/// Largest factor by which the scaled hint may differ from the mean cost.
const MAX_HINT_FACTOR: u64 = 4;
/// Maximum number of (customer, class) pairs with stored means.
const MAX_CUSTOMER_MEANS: usize = 65_536;

plain_data! {
    copy
    #[derive(Default)]
    /// Exponentially weighted means of cost and hint.
    pub struct CostMeans {
        /// Mean cost, in work units.
        pub cost: u64,
        /// Mean hint, in work units; requests without a hint count as zero.
        pub hint: u64,
        /// Number of samples, capped at 1000.
        pub samples: u64,
    }
}

impl CostMeans {
    fn observe(&mut self, cost: u64, hint: u64) {
        self.samples = (self.samples + 1).min(1_000);
        // A plain average over the first samples, exponential weighting afterwards.
        let weight = SAMPLE_WEIGHT_PERCENT.max(100 / self.samples);
        self.cost = weighted_mean(self.cost, cost, weight);
        self.hint = weighted_mean(self.hint, hint, weight);
    }
}

/// Predicts request costs from means by customer and class.
#[derive(Debug, Clone, Default)]
pub struct CostEstimator {
    customer_means: BTreeMap<(CustomerId, RequestClass), CostMeans>,
    class_means: BTreeMap<RequestClass, CostMeans>,
}

impl CostEstimator {
    /// Predicts the cost of a request; returns at least one unit.
    pub fn predict(&self, customer: CustomerId, class: RequestClass, hint: WorkUnits) -> WorkUnits {
        let prior = match self.class_means.get(&class) {
            Some(means) => means.cost,
            None => default_cost(class),
        };
        let Some(means) = self.customer_means.get(&(customer, class)) else {
            return WorkUnits(prior.max(1));
        };
        let weighted = means.cost * means.samples + prior * PRIOR_WEIGHT;
        let mean = weighted / (means.samples + PRIOR_WEIGHT);
        if hint.0 == 0 || means.hint == 0 {
            return WorkUnits(mean.max(1));
        }
        let scaled = u128::from(hint.0) * u128::from(means.cost) / u128::from(means.hint);
        let scaled = scaled.min(u128::from(u64::MAX)) as u64;
        let scaled = scaled.clamp(mean / MAX_HINT_FACTOR, mean.saturating_mul(MAX_HINT_FACTOR));
        WorkUnits(mean.midpoint(scaled).max(1))
    }

    /// Updates the means with the measured cost of a request.
    pub fn observe(
        &mut self,
        customer: CustomerId,
        class: RequestClass,
        hint: WorkUnits,
        cost: WorkUnits,
    ) {
        self.class_means.entry(class).or_default().observe(cost.0, hint.0);
        let key = (customer, class);
        if self.customer_means.len() >= MAX_CUSTOMER_MEANS
            && !self.customer_means.contains_key(&key)
        {
            self.customer_means.pop_first();
        }
        self.customer_means.entry(key).or_default().observe(cost.0, hint.0);
    }

    /// Returns the number of (customer, class) pairs with stored means.
    pub fn len(&self) -> usize {
        self.customer_means.len()
    }

    /// Returns whether no cost has been observed yet.
    pub fn is_empty(&self) -> bool {
        self.customer_means.is_empty()
    }
}

fn weighted_mean(mean: u64, sample: u64, weight: u64) -> u64 {
    (mean.saturating_mul(100 - weight).saturating_add(sample.saturating_mul(weight))) / 100
}

fn default_cost(class: RequestClass) -> u64 {
    match class {
        RequestClass::Short => 64,
        RequestClass::Long => 1_024,
        RequestClass::Read | RequestClass::Recording => 20,
    }
}
