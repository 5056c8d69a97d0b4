//! Circuit breaker that stops calls while the platform fails repeatedly.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rand::Rng;

use crate::backoff::CallBackoff;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    /// Calls pass; consecutive failures are counted.
    Closed { failures: u32 },
    /// No call passes before `until`.
    Open { until: MonotonicTime },
    /// One probe call is in flight and all others are refused until `until`, when the probe
    /// counts as lost.
    Probing { until: MonotonicTime },
}

/// Lets calls pass while the platform responds, and only single probes while it does not.
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
    /// It opens after `threshold` consecutive failures and stays open for a time drawn from
    /// `backoff`. A probe that has not ended after `probe_timeout` counts as lost.
    pub fn new(threshold: u32, probe_timeout: Duration, backoff: CallBackoff) -> CircuitBreaker {
        let state = BreakerState::Closed { failures: 0 };
        CircuitBreaker { threshold: threshold.max(1), probe_timeout, backoff, state }
    }

    /// Returns whether a call at this time must be refused.
    pub fn blocks(&self, now: MonotonicTime) -> bool {
        match self.state {
            BreakerState::Closed { .. } => false,
            BreakerState::Open { until } | BreakerState::Probing { until } => now < until,
        }
    }

    /// Records the start of a call that [`CircuitBreaker::blocks`] did not refuse.
    ///
    /// The result of the call must be recorded as well.
    pub fn record_start(&mut self, now: MonotonicTime) {
        if !self.is_closed() {
            self.state = BreakerState::Probing { until: now.after(self.probe_timeout) };
        }
    }

    /// Returns whether calls pass without limit.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, BreakerState::Closed { .. })
    }

    /// Records that the platform responded to a call; closes the breaker.
    pub fn record_success(&mut self) {
        self.backoff.reset();
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Records that a call failed; opens the breaker at the threshold or after a failed probe.
    pub fn record_failure<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        match self.state {
            BreakerState::Closed { failures } if failures + 1 < self.threshold => {
                self.state = BreakerState::Closed { failures: failures + 1 };
            }
            // The call started before the breaker opened, so its failure is no new evidence.
            BreakerState::Open { .. } => {}
            BreakerState::Closed { .. } | BreakerState::Probing { .. } => self.open(now, rng),
        }
    }

    /// Opens the breaker for at least half the backoff bound, so that probes are never sent in
    /// quick succession.
    fn open<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        let min_wait = self.backoff.bound() / 2;
        let wait = min_wait + self.backoff.next_wait(rng) / 2;
        self.state = BreakerState::Open { until: now.after(wait) };
    }
}
