//! Adaptive limit on the number of requests that a target runs concurrently.
//!
//! The limit follows additive increase, multiplicative decrease (Chiu and Jain, 1989) driven by
//! the latency that the agent itself observes. Load reports of engines are not used because they
//! are too stale to control the limit.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};

/// Minimum number of samples before a window is evaluated.
const MIN_SAMPLES: u32 = 20;
/// Percentage of late samples in a window above which the limit decreases.
const LATE_PERCENT: u32 = 5;
/// Percentage of the limit that remains after a decrease.
const DECREASE_PERCENT: u32 = 90;
/// Lower bound of the limit as a percentage of the configured limit. A prompt that takes long to
/// prefill makes samples late without saying anything about the batch size.
const FLOOR_PERCENT: u32 = 25;

plain_data! {
    /// Latency within which an agent keeps its target.
    pub struct LatencyGoal {
        /// Maximum time from the start of a run to its first token.
        pub first_token: Duration,
        /// Maximum time between two consecutive tokens.
        pub next_token: Duration,
        /// Minimum length of the window over which samples are evaluated together.
        pub window: Duration,
    }
}

/// Adaptive limit on places, each of which holds one granted or running request.
#[derive(Debug, Clone)]
pub struct PlaceLimit {
    goal: LatencyGoal,
    max: u32,
    limit: u32,
    samples: u32,
    late_samples: u32,
    was_full: bool,
    window_start: MonotonicTime,
}

impl PlaceLimit {
    /// Creates a limit that starts at the configured maximum.
    pub fn new(goal: LatencyGoal, max: u32) -> PlaceLimit {
        PlaceLimit {
            goal,
            max,
            limit: max,
            samples: 0,
            late_samples: 0,
            was_full: false,
            window_start: MonotonicTime::default(),
        }
    }

    /// Returns the current limit.
    pub fn places(&self) -> u32 {
        self.limit
    }

    /// Sets the configured maximum, which the adaptive limit never exceeds.
    pub fn set_max(&mut self, max: u32) {
        // An adaptive limit that latency has not reduced follows an increase immediately.
        if self.limit == self.max {
            self.limit = max;
        }
        self.max = max;
        self.limit = self.limit.min(max);
    }

    /// Records that every place is in use; only then may the limit increase.
    pub fn record_full(&mut self) {
        self.was_full = true;
    }

    /// Records the time to the first token of a run.
    pub fn record_first_token(&mut self, now: MonotonicTime, elapsed: Duration) {
        self.record_sample(now, elapsed > self.goal.first_token);
    }

    /// Records the time between two consecutive tokens.
    pub fn record_next_token(&mut self, now: MonotonicTime, elapsed: Duration) {
        self.record_sample(now, elapsed > self.goal.next_token);
    }

    fn record_sample(&mut self, now: MonotonicTime, is_late: bool) {
        self.samples += 1;
        self.late_samples += u32::from(is_late);
        if self.samples < MIN_SAMPLES || now.since(self.window_start) < self.goal.window {
            return;
        }
        if self.late_samples * 100 > self.samples * LATE_PERCENT {
            let floor = (self.max * FLOOR_PERCENT / 100).max(1);
            self.limit = (self.limit * DECREASE_PERCENT / 100).max(floor).min(self.max);
        } else if self.was_full {
            self.limit = (self.limit + 1).min(self.max);
        }
        self.samples = 0;
        self.late_samples = 0;
        self.was_full = false;
        self.window_start = now;
    }
}
