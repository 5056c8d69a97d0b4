//! Outcomes of a simulation, in total and by customer and request class.

use std::collections::BTreeMap;

use jackdaw_base::CustomerId;

/// Outcome of a simulated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered, with the first event and all gaps between events within their limits.
    OnTime,
    /// Answered, but over one of these limits.
    Late,
    /// Refused at admission.
    Refused,
    /// Not fully answered by the end of the simulation.
    Unfinished,
}

/// Aggregated outcomes of a group of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GroupResult {
    /// Number of requests in the group.
    pub requests: u64,
    /// Number of requests answered on time.
    pub on_time: u64,
    /// Number of requests answered late.
    pub late: u64,
    /// Number of requests refused at admission.
    pub refused: u64,
    /// Charged tokens of all requests.
    pub requested_tokens: u64,
    /// Charged tokens of the answered requests, on time or late.
    pub served_tokens: u64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Default)]
pub struct ModelReport {
    /// Outcomes of all requests.
    pub all: GroupResult,
    /// Outcomes by customer.
    pub customers: BTreeMap<CustomerId, GroupResult>,
    /// Outcomes by the index of the request class in the load pattern.
    pub classes: BTreeMap<usize, GroupResult>,
    /// Number of tokens that all engines prefilled.
    pub prefill_tokens: u64,
    /// Number of tokens of shared parts that all engines prefilled.
    pub shared_prefill_tokens: u64,
}

impl GroupResult {
    /// Returns the fraction of requests answered on time; 0 for an empty group.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the fraction of requests refused; 0 for an empty group.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    fn add(&mut self, outcome: RequestOutcome, tokens: u64) {
        self.requests += 1;
        self.requested_tokens += tokens;
        match outcome {
            RequestOutcome::OnTime => self.on_time += 1,
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => self.refused += 1,
            RequestOutcome::Unfinished => {}
        }
        if matches!(outcome, RequestOutcome::OnTime | RequestOutcome::Late) {
            self.served_tokens += tokens;
        }
    }
}

impl ModelReport {
    /// Counts a request in the total, its customer and its class.
    pub fn add(
        &mut self,
        customer: CustomerId,
        class: usize,
        outcome: RequestOutcome,
        tokens: u64,
    ) {
        self.all.add(outcome, tokens);
        self.customers.entry(customer).or_default().add(outcome, tokens);
        self.classes.entry(class).or_default().add(outcome, tokens);
    }

    /// Returns the lowest on-time fraction of any customer; 1 without customers.
    pub fn lowest_on_time_share(&self) -> f64 {
        self.customers.values().map(GroupResult::on_time_share).fold(1.0, f64::min)
    }
}
