//! Fleet-wide retry budget: limits retries within a sliding window.
//!
//! The budget of the fleet is a fraction of its requests plus a fixed allowance. Each router uses
//! the fraction of its own requests and an equal share of the allowance, so that all routers
//! together stay within the fleet's budget without coordination.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Number of buckets in the window; a bucket expires as a whole.
const WINDOW_BUCKETS: u32 = 10;

/// Fraction of the budget that is used. The margin keeps the budget in every window, not only in
/// those aligned with the buckets.
const BUDGET_FRACTION: f64 = 0.6;

/// Part of one service's fleet-wide retry budget that one router may use.
#[derive(Debug, Clone)]
pub struct FleetRetryBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    buckets: VecDeque<WindowBucket>,
}

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct WindowBucket {
    start: MonotonicTime,
    requests: u64,
    retries: u64,
}

impl FleetRetryBudget {
    /// Creates a budget of `ratio` retries per request plus `allowance` retries per window for the
    /// whole fleet.
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> FleetRetryBudget {
        FleetRetryBudget { window, ratio, allowance, buckets: VecDeque::new() }
    }

    /// Changes the limits; requests and retries counted so far are kept.
    pub fn set_limits(&mut self, window: Duration, ratio: f64, allowance: f64) {
        self.window = window;
        self.ratio = ratio;
        self.allowance = allowance;
    }

    /// Counts an arrived request.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.bucket(now).requests += 1;
    }

    /// Consumes one retry, with the allowance divided among `routers`; returns false if the budget
    /// is exhausted.
    pub fn take_retry(&mut self, now: MonotonicTime, routers: usize) -> bool {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowance = self.allowance / routers.max(1) as f64;
        let budget = BUDGET_FRACTION * (self.ratio * requests as f64 + allowance);
        if (retries + 1) as f64 > budget {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Drops expired buckets and returns the current one.
    fn bucket(&mut self, now: MonotonicTime) -> &mut WindowBucket {
        let bucket_span = self.window / WINDOW_BUCKETS;
        let is_expired =
            |bucket: &WindowBucket| now.since(bucket.start) >= self.window + bucket_span;
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let is_open =
            self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < bucket_span);
        if !is_open {
            self.buckets.push_back(WindowBucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
