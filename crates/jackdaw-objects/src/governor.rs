//! Decides for one process when a call to the platform may be made.

use std::time::Duration;

use jackdaw_base::{ErrorKind, MonotonicTime};
use rand::Rng;

use crate::backoff::CallBackoff;
use crate::breaker::CircuitBreaker;
use crate::budget::CallBudget;

/// Limits on the calls of one process.
#[derive(Debug, Clone)]
pub struct GovernorSettings {
    /// The calls a second that the process may make on average.
    pub calls_per_second: u32,
    /// The calls that it may make at once after a quiet time.
    pub burst: u32,
    /// The failures in a row that open the circuit breaker.
    pub breaker_threshold: u32,
    /// The first bound of the time for which the breaker stays open.
    pub initial_open_time: Duration,
    /// The longest time for which the breaker stays open.
    pub max_open_time: Duration,
    /// The time after which one attempt counts as failed.
    pub attempt_timeout: Duration,
}

impl Default for GovernorSettings {
    fn default() -> GovernorSettings {
        GovernorSettings {
            calls_per_second: 50,
            burst: 100,
            breaker_threshold: 5,
            initial_open_time: Duration::from_millis(200),
            max_open_time: Duration::from_secs(2),
            attempt_timeout: Duration::from_millis(1000),
        }
    }
}

/// Answer to the question whether a call may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermission {
    /// The call may be made; its end must be recorded.
    Granted,
    /// The budget is spent until the time has passed.
    Delayed(Duration),
    /// The circuit breaker is open.
    Refused,
}

impl CallPermission {
    /// Returns the error of a call that is not made.
    pub fn error(self) -> Option<ErrorKind> {
        match self {
            CallPermission::Granted => None,
            CallPermission::Delayed(_) => Some(ErrorKind::BudgetExhausted),
            CallPermission::Refused => Some(ErrorKind::PlatformUnavailable),
        }
    }
}

/// One budget and one circuit breaker for all calls of a process.
#[derive(Debug, Clone)]
pub struct CallGovernor {
    budget: CallBudget,
    breaker: CircuitBreaker,
}

impl CallGovernor {
    /// Creates a governor with a full budget and a closed breaker.
    pub fn new(settings: &GovernorSettings, now: MonotonicTime) -> CallGovernor {
        let backoff = CallBackoff::new(settings.initial_open_time, settings.max_open_time);
        CallGovernor {
            budget: CallBudget::new(settings.calls_per_second, settings.burst, now),
            breaker: CircuitBreaker::new(
                settings.breaker_threshold,
                settings.attempt_timeout,
                backoff,
            ),
        }
    }

    /// Asks for one call.
    ///
    /// An open breaker costs no budget, and a spent budget uses up no probe.
    pub fn request(&mut self, now: MonotonicTime) -> CallPermission {
        if self.breaker.blocks(now) {
            return CallPermission::Refused;
        }
        if let Err(wait) = self.budget.take(now) {
            return CallPermission::Delayed(wait);
        }
        self.breaker.record_start(now);
        CallPermission::Granted
    }

    /// Returns whether the circuit breaker lets calls pass freely.
    pub fn is_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Records that the platform answered.
    pub fn record_success(&mut self) {
        self.breaker.record_success();
    }

    /// Records that a call failed.
    pub fn record_failure<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        self.breaker.record_failure(now, rng);
    }
}
