//! Bound and measurement of the service gap between backlogged customers.
//!
//! `docs/FAIRNESS.md` derives the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{CustomerId, NormalisedService, WorkUnits, plain_data};

plain_data! {
    /// Parameters of the bound on the service gap.
    pub struct GapTerms {
        /// Number of agents.
        pub agents: u32,
        /// Number of places of each agent.
        pub places: u32,
        /// Work that one place does per second.
        pub place_rate: WorkUnits,
        /// Maximum work that is charged to a request in advance.
        pub reservation_max: WorkUnits,
        /// Maximum work of one request.
        pub cost_max: WorkUnits,
        /// Mean work of one request.
        pub cost_mean: WorkUnits,
        /// Interval between the reports of an agent.
        pub report_interval: Duration,
        /// Interval at which an account home sends totals.
        pub totals_interval: Duration,
        /// Maximum delay of a message between two processes.
        pub hop_delay: Duration,
        /// Number of consecutive lost reports or totals that the bound allows for.
        pub consecutive_losses: u32,
        /// Smallest share of a backlogged customer.
        pub share_min: u32,
        /// Largest share of a backlogged customer.
        pub share_max: u32,
        /// Sum of the shares of the backlogged customers.
        pub share_sum: u32,
    }
}

impl GapTerms {
    /// Returns the longest time until an agent learns of a charge made at another agent.
    pub fn max_staleness(&self) -> Duration {
        let rounds = self.consecutive_losses + 1;
        (self.report_interval + self.totals_interval) * rounds + self.hop_delay * REPORT_HOPS
    }
}

/// Number of times that the reservations of one customer enter the bound: those of the customer
/// ahead that are not yet known elsewhere, those of the customer behind that were returned, and
/// those for which the work is not yet done.
const RESERVATION_TERMS: u64 = 3;
/// Number of hops from the agent that makes a charge to the agent that learns of it.
const REPORT_HOPS: u32 = 4;

/// Returns the bound on the difference in service, divided by share, between two customers over a
/// period in which both are backlogged wherever capacity becomes free. Within any later part of
/// the period, the difference changes by at most twice the bound.
pub fn gap_bound(terms: &GapTerms) -> NormalisedService {
    let staleness = terms.max_staleness().as_micros() as u64;
    let places = u64::from(terms.agents) * u64::from(terms.places);
    let unreported = places * terms.place_rate.0 * staleness / 1_000_000;
    let fair_places = places * u64::from(terms.share_max) / u64::from(terms.share_sum.max(1)) + 1;
    let held_places = (fair_places + unreported / terms.cost_mean.0.max(1)).min(places);
    let reserved = (RESERVATION_TERMS * held_places + 1) * terms.reservation_max.0;
    let overrun = held_places * terms.cost_max.saturating_sub(terms.reservation_max).0;
    let work = unreported + reserved + overrun;
    NormalisedService(work * NormalisedService::SCALE / u64::from(terms.share_min.max(1)))
}

/// Measures the service gap between backlogged customers from the work that targets actually did.
#[derive(Debug, Clone, Default)]
pub struct GapMonitor {
    served: BTreeMap<CustomerId, NormalisedService>,
    max_gap: NormalisedService,
}

impl GapMonitor {
    /// Creates a monitor without customers.
    pub fn new() -> GapMonitor {
        GapMonitor::default()
    }

    /// Starts to compare a customer that has become backlogged, with the lowest service among the
    /// others as its initial value.
    pub fn add_customer(&mut self, customer: CustomerId) {
        let least = self.served.values().min().copied().unwrap_or_default();
        self.served.entry(customer).or_insert(least);
    }

    /// Stops comparing a customer that is no longer backlogged.
    pub fn remove_customer(&mut self, customer: CustomerId) {
        self.served.remove(&customer);
    }

    /// Adds work that a target did for a customer, divided by the customer's share.
    pub fn record_service(&mut self, customer: CustomerId, service: NormalisedService) {
        if let Some(served) = self.served.get_mut(&customer) {
            *served += service;
        }
    }

    /// Returns the current gap and updates the largest gap.
    pub fn sample(&mut self) -> NormalisedService {
        let least = self.served.values().min().copied().unwrap_or_default();
        let most = self.served.values().max().copied().unwrap_or_default();
        let gap = most.saturating_sub(least);
        self.max_gap = self.max_gap.max(gap);
        gap
    }

    /// Returns the largest sampled gap.
    pub fn max_gap(&self) -> NormalisedService {
        self.max_gap
    }

    /// Returns a message if the largest sampled gap exceeds the bound.
    pub fn violation(&self, bound: NormalisedService) -> Option<String> {
        (self.max_gap > bound)
            .then(|| format!("gap of {} exceeds the bound of {}", self.max_gap.0, bound.0))
    }
}
