//! Moving average of the wait at a service's targets.
//!
//! A burst lengthens every queue briefly, while the queues of an overloaded fleet stay long. An
//! average over several seconds distinguishes the two.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Time constant of the average; equals the window over which customers' shares are computed.
const TIME_CONSTANT: Duration = Duration::from_millis(4000);

/// Interval of observations. It is short compared with the time constant, and each observation
/// visits all targets of the service.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// Exponentially weighted moving average of the wait at a service's targets.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanWait {
    mean_micros: f64,
    updated: MonotonicTime,
}

impl MeanWait {
    /// Returns whether the next observation is due.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        now.since(self.updated) >= OBSERVATION_INTERVAL
    }

    /// Returns the average as of the last observation.
    pub fn current(&self) -> Duration {
        Duration::from_micros(self.mean_micros as u64)
    }

    /// Adds the current mean wait of all targets and returns the updated average.
    pub fn observe(&mut self, now: MonotonicTime, wait: Duration) -> Duration {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = 1.0 - f64::exp(-elapsed / TIME_CONSTANT.as_secs_f64());
        self.mean_micros += weight * (wait.as_micros() as f64 - self.mean_micros);
        self.updated = now;
        self.current()
    }
}
