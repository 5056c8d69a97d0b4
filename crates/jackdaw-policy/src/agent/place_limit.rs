//! The number of requests that a target runs at a time.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989) on the latency that the
//! agent itself observes: load reports of engines lag too far behind to steer by.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};

/// Samples after which a window may be judged.
const MIN_SAMPLES: u32 = 20;
/// Share of late samples above which the limit falls, in percent.
const LATE_PERCENT: u32 = 5;
/// Part of the limit that is left after a decrease, in percent.
const DECREASE_PERCENT: u32 = 90;
/// Part of the operator's limit below which the limit does not fall, in percent: a prompt that
/// takes long to read says nothing about the batch.
const FLOOR_PERCENT: u32 = 25;

plain_data! {
    /// Latency that an agent keeps its target within.
    pub struct LatencyGoal {
        /// The longest time from the start of a run to its first token.
        pub first_token: Duration,
        /// The longest time between two tokens.
        pub next_token: Duration,
        /// The time over which samples are judged together.
        pub window: Duration,
    }
}

/// Adaptive limit of places.
#[derive(Debug, Clone)]
pub struct PlaceLimit {
    goal: LatencyGoal,
    most: u32,
    limit: u32,
    samples: u32,
    late: u32,
    was_full: bool,
    window_start: MonotonicTime,
}

impl PlaceLimit {
    /// Creates a limit that starts at the operator's.
    pub fn new(goal: LatencyGoal, most: u32) -> PlaceLimit {
        PlaceLimit {
            goal,
            most,
            limit: most,
            samples: 0,
            late: 0,
            was_full: false,
            window_start: MonotonicTime::default(),
        }
    }

    /// Returns the present limit.
    pub fn places(&self) -> u32 {
        self.limit
    }

    /// Changes the operator's limit, which the adaptive one never exceeds.
    pub fn set_most(&mut self, most: u32) {
        // A raise takes effect at once where the old limit was not under pressure.
        if self.limit == self.most {
            self.limit = most;
        }
        self.most = most;
        self.limit = self.limit.min(most);
    }

    /// Notes that every place is taken.
    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    /// Takes in the time to a first token.
    pub fn first_token(&mut self, now: MonotonicTime, elapsed: Duration) {
        self.sample(now, elapsed > self.goal.first_token);
    }

    /// Takes in the time between two tokens.
    pub fn next_token(&mut self, now: MonotonicTime, elapsed: Duration) {
        self.sample(now, elapsed > self.goal.next_token);
    }

    fn sample(&mut self, now: MonotonicTime, is_late: bool) {
        self.samples += 1;
        self.late += u32::from(is_late);
        if self.samples < MIN_SAMPLES || now.since(self.window_start) < self.goal.window {
            return;
        }
        if self.late * 100 > self.samples * LATE_PERCENT {
            let floor = (self.most * FLOOR_PERCENT / 100).max(1);
            self.limit = (self.limit * DECREASE_PERCENT / 100).max(floor).min(self.most);
        } else if self.was_full {
            self.limit = (self.limit + 1).min(self.most);
        }
        self.samples = 0;
        self.late = 0;
        self.was_full = false;
        self.window_start = now;
    }
}
