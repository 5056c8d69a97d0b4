//! Rate limit and circuit breaker for the platform calls of one process.

use std::time::Duration;

use jackdaw_base::{ErrorKind, MonotonicTime};
use rand::Rng;

use crate::backoff::CallBackoff;
use crate::breaker::CircuitBreaker;
use crate::budget::CallBudget;

/// Limits on the platform calls of one process.
#[derive(Debug, Clone)]
pub struct GovernorSettings {
    /// The average number of calls per second that the process may make.
    pub calls_per_second: u32,
    /// The number of calls that it may make at once after an idle period.
    pub burst: u32,
    /// The number of consecutive failures that opens the circuit breaker.
    pub breaker_threshold: u32,
    /// The upper bound of the time for which the breaker stays open when it first opens.
    pub initial_open_time: Duration,
    /// The longest time for which the breaker stays open before a probe.
    pub max_open_time: Duration,
    /// The time after which an attempt without a response counts as failed.
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

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPermission {
    /// The call may be made; its result must be recorded.
    Granted,
    /// The budget is used up; a call becomes available after this time.
    Delayed(Duration),
    /// The circuit breaker refuses the call.
    Refused,
}

impl CallPermission {
    /// Returns the error for a call that may not be made, `None` if it may.
    pub fn error(self) -> Option<ErrorKind> {
        match self {
            CallPermission::Granted => None,
            CallPermission::Delayed(_) => Some(ErrorKind::BudgetExhausted),
            CallPermission::Refused => Some(ErrorKind::PlatformUnavailable),
        }
    }
}

/// The budget and the circuit breaker that all calls of a process share.
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

    /// Requests permission for one call.
    ///
    /// A call that the breaker refuses takes nothing from the budget, and a call that the budget
    /// delays does not use up the breaker's probe.
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

    /// Returns whether the circuit breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Records that the platform responded to a call.
    pub fn record_success(&mut self) {
        self.breaker.record_success();
    }

    /// Records that a call failed; see [`CircuitBreaker::record_failure`].
    pub fn record_failure<R: Rng>(&mut self, now: MonotonicTime, rng: &mut R) {
        self.breaker.record_failure(now, rng);
    }
}
