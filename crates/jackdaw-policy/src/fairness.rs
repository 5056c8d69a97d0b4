//! The gap in service between backlogged customers: its bound and its measurement.
//!
//! `docs/FAIRNESS.md` derives the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{CustomerId, NormalService, WorkUnits, plain_data};

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
        (self.report_interval + self.totals_interval) * rounds + self.hop_delay * REPORT_HOPS
    }
}

/// Times that the reservations of one customer enter the bound: those of the one ahead that are
/// not heard of, those of the one behind that were returned, and those not yet worked off.
const RESERVATION_TERMS: u64 = 3;
/// Hops from the agent that charges to the one that hears of it.
const REPORT_HOPS: u32 = 4;

/// Returns the bound on the difference in service, divided by share, of two customers since they
/// were both backlogged wherever capacity becomes free; over any later part of that time the
/// difference changes by at most twice as much.
pub fn gap_bound(terms: &GapTerms) -> NormalService {
    let staleness = terms.max_staleness().as_micros() as u64;
    let places = u64::from(terms.agents) * u64::from(terms.places);
    let unreported = places * terms.place_rate.0 * staleness / 1_000_000;
    let fair_places = places * u64::from(terms.share_max) / u64::from(terms.share_sum.max(1)) + 1;
    let held_places = (fair_places + unreported / terms.cost_mean.0.max(1)).min(places);
    let reserved = (RESERVATION_TERMS * held_places + 1) * terms.reservation_max.0;
    let overrun = held_places * terms.cost_max.saturating_sub(terms.reservation_max).0;
    let work = unreported + reserved + overrun;
    NormalService(work * NormalService::SCALE / u64::from(terms.share_min.max(1)))
}

/// Service of the customers that are backlogged, as targets really did it.
#[derive(Debug, Clone, Default)]
pub struct GapMonitor {
    served: BTreeMap<CustomerId, NormalService>,
    max_gap: NormalService,
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
    pub fn record_service(&mut self, customer: CustomerId, service: NormalService) {
        if let Some(served) = self.served.get_mut(&customer) {
            *served += service;
        }
    }

    /// Returns the present gap, and notes the widest.
    pub fn sample(&mut self) -> NormalService {
        let least = self.served.values().min().copied().unwrap_or_default();
        let most = self.served.values().max().copied().unwrap_or_default();
        let gap = most.saturating_sub(least);
        self.max_gap = self.max_gap.max(gap);
        gap
    }

    /// Returns the widest gap that was sampled.
    pub fn max_gap(&self) -> NormalService {
        self.max_gap
    }

    /// Returns the violation of a bound by the widest gap, if there is one.
    pub fn violation(&self, bound: NormalService) -> Option<String> {
        (self.max_gap > bound)
            .then(|| format!("gap of {} exceeds the bound of {}", self.max_gap.0, bound.0))
    }
}
