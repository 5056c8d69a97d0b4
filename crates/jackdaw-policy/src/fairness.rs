//! The gap in service between backlogged customers: its bound and its measurement.
//!
//! `docs/FAIRNESS.md` derives the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{CustomerId, NormalisedService, WorkUnits, plain_data};

plain_data! {
    /// What the bound on the gap follows from.
    pub struct GapTerms {
        /// The number of agents.
        pub agents: u32,
        /// The places of each agent.
        pub places: u32,
        /// The work that one place does in a second.
        pub place_rate: WorkUnits,
        /// The most that is reserved for a request before it has done the work.
        pub reservation_max: WorkUnits,
        /// The most work that one request costs.
        pub cost_max: WorkUnits,
        /// The mean work that a request costs.
        pub cost_mean: WorkUnits,
        /// The time between two reports of an agent.
        pub report_interval: Duration,
        /// The time between two rounds of totals of a home.
        pub totals_interval: Duration,
        /// The longest time that a message takes from one process to the next.
        pub hop_delay: Duration,
        /// The reports or totals lost in a row that are allowed for.
        pub consecutive_losses: u32,
        /// The least share of a backlogged customer.
        pub share_min: u32,
        /// The largest share of a backlogged customer.
        pub share_max: u32,
        /// The sum of the shares of the backlogged customers.
        pub share_sum: u32,
    }
}

impl GapTerms {
    /// Returns the longest time for which an agent does not hear of a charge made elsewhere.
    pub fn max_staleness(&self) -> Duration {
        let rounds = self.consecutive_losses + 1;
        (self.report_interval + self.totals_interval) * rounds + self.hop_delay * HOPS
    }
}

/// Times that the reservations of one customer enter the bound: those of the one ahead that are
/// not heard of, those of the one behind that were returned, and those not yet worked off.
const HELD_TERMS: u64 = 3;
/// Hops from the agent that charges to the one that hears of it.
const HOPS: u32 = 4;

/// Returns the bound on the difference in service, divided by share, of two customers since they
/// were both backlogged wherever capacity becomes free; over any later part of that time the
/// difference changes by at most twice as much.
pub fn gap_bound(terms: &GapTerms) -> NormalisedService {
    let age = terms.max_staleness().as_micros() as u64;
    let places = u64::from(terms.agents) * u64::from(terms.places);
    let unseen = places * terms.place_rate.0 * age / 1_000_000;
    let fair = places * u64::from(terms.share_max) / u64::from(terms.share_sum.max(1)) + 1;
    let held = (fair + unseen / terms.cost_mean.0.max(1)).min(places);
    let reserved = (HELD_TERMS * held + 1) * terms.reservation_max.0;
    let overrun = held * terms.cost_max.saturating_sub(terms.reservation_max).0;
    let work = unseen + reserved + overrun;
    NormalisedService(work * NormalisedService::SCALE / u64::from(terms.share_min.max(1)))
}

/// Service of the customers that are backlogged, as targets really did it.
#[derive(Debug, Clone, Default)]
pub struct GapMonitor {
    served: BTreeMap<CustomerId, NormalisedService>,
    max_gap: NormalisedService,
}

impl GapMonitor {
    /// Creates a monitor of no customer.
    pub fn new() -> GapMonitor {
        GapMonitor::default()
    }

    /// Starts to compare a customer that is backlogged from now on.
    pub fn add_customer(&mut self, customer: CustomerId) {
        let least = self.served.values().min().copied().unwrap_or_default();
        self.served.entry(customer).or_insert(least);
    }

    /// Stops comparing a customer.
    pub fn remove_customer(&mut self, customer: CustomerId) {
        self.served.remove(&customer);
    }

    /// Adds service that a target did.
    pub fn record_service(&mut self, customer: CustomerId, service: NormalisedService) {
        if let Some(served) = self.served.get_mut(&customer) {
            *served += service;
        }
    }

    /// Returns the present gap, and notes the widest.
    pub fn sample(&mut self) -> NormalisedService {
        let least = self.served.values().min().copied().unwrap_or_default();
        let most = self.served.values().max().copied().unwrap_or_default();
        let gap = most.saturating_sub(least);
        self.max_gap = self.max_gap.max(gap);
        gap
    }

    /// Returns the widest gap that was sampled.
    pub fn max_gap(&self) -> NormalisedService {
        self.max_gap
    }

    /// Returns the violation of a bound by the widest gap, if there is one.
    pub fn violation(&self, bound: NormalisedService) -> Option<String> {
        (self.max_gap > bound)
            .then(|| format!("gap of {} exceeds the bound of {}", self.max_gap.0, bound.0))
    }
}
