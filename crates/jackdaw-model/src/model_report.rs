//! What callers got in a run of the model.

use std::collections::BTreeMap;

use jackdaw_base::CustomerId;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// First event and pauses were within their limits.
    OnTime,
    /// It was answered, but late.
    Late,
    /// It was refused at once.
    Refused,
    /// It was not answered when the run ended.
    Unfinished,
}

/// What one group of requests got, in requests and tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GroupResult {
    /// The requests.
    pub requests: u64,
    /// The requests that were answered on time.
    pub on_time: u64,
    /// The requests that were answered late.
    pub late: u64,
    /// The requests that were refused.
    pub refused: u64,
    /// The charged tokens of all requests.
    pub requested_tokens: u64,
    /// The charged tokens of those that were answered.
    pub served_tokens: u64,
}

/// What callers got in a run of the model.
#[derive(Debug, Clone, Default)]
pub struct ModelReport {
    /// All requests.
    pub all: GroupResult,
    /// The requests by customer.
    pub customers: BTreeMap<CustomerId, GroupResult>,
    /// The requests by the position of their kind in the pattern.
    pub classes: BTreeMap<usize, GroupResult>,
    /// The tokens that engines read.
    pub prefill_tokens: u64,
    /// The tokens of shared parts that engines read.
    pub shared_prefill_tokens: u64,
}

impl GroupResult {
    /// Returns the share of requests that were answered on time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of requests that were refused.
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
    /// Adds a request.
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

    /// Returns the lowest share of requests on time among all customers.
    pub fn lowest_on_time_share(&self) -> f64 {
        self.customers.values().map(GroupResult::on_time_share).fold(1.0, f64::min)
    }
}
