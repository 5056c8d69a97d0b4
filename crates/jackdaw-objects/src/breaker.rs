//! Circuit breaker: stops calls to a platform that keeps failing.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rand::Rng;

use crate::backoff::CallBackoff;

/// State of the breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    /// Calls pass; the number of failures in a row is counted.
    Closed { failures: u32 },
    /// No call passes before the time.
    Open { until: MonotonicTime },
    /// One call is on its way to find out; others fail, until the time at which that one
    /// counts as lost.
    Probing { until: MonotonicTime },
}

/// Lets calls pass while the platform answers, and single probes while it does not.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    threshold: u32,
    probe_timeout: Duration,
    backoff: CallBackoff,
    state: BreakerState,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    ///
    /// It opens after `threshold` failures in a row, and stays open for times drawn from
    /// `backoff`. A probe that has not ended after `probe_timeout` counts as lost.
    pub fn new(threshold: u32, probe_timeout: Duration, backoff: CallBackoff) -> CircuitBreaker {
        let state = BreakerState::Closed { failures: 0 };
        CircuitBreaker { threshold: threshold.max(1), probe_timeout, backoff, state }
    }

    /// Returns whether no call may be made now.
    pub fn blocks(&self, now: MonotonicTime) -> bool {
        match self.state {
            BreakerState::Closed { .. } => false,
            BreakerState::Open { until } | BreakerState::Probing { until } => now < until,
        }
    }

    /// Records that a call starts that [`CircuitBreaker::blocks`] lets pass; its end must be
    /// recorded too.
    pub fn record_start(&mut self, now: MonotonicTime) {
        if !self.is_closed() {
            self.state = BreakerState::Probing { until: now.after(self.probe_timeout) };
        }
    }

    /// Returns whether calls pass freely.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, BreakerState::Closed { .. })
    }

    /// Records that the platform answered.
    pub fn record_success(&mut self) {
        self.backoff.reset();
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Records that a call failed.
    pub fn record_failure<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.threshold => {
                self.state = BreakerState::Closed { failures: failures + 1 };
            }
            // A straggler that started before the breaker opened changes nothing.
            BreakerState::Open { .. } => {}
            BreakerState::Closed { .. } | BreakerState::Probing { .. } => self.open(now, rng),
        }
    }

    /// Waits at least half the bound, so that probes never come in quick succession.
    fn open<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        let least = self.backoff.bound() / 2;
        let wait = least + self.backoff.next_wait(rng) / 2;
        self.state = BreakerState::Open { until: now.after(wait) };
    }
}
