//! Mean wait at the targets of a service over the last seconds.
//!
//! A burst lengthens every queue for a moment; a fleet that is asked for more than it can do
//! has long queues all the time. The mean over seconds tells the two apart.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Time over which waits are averaged: the window in which customers' shares are kept.
const AVERAGING_TIME: Duration = Duration::from_millis(4000);

/// Running mean of the wait at a service's targets.
#[derive(Debug, Clone, Copy, Default)]
pub struct MeanWait {
    mean_micros: f64,
    updated: MonotonicTime,
}

impl MeanWait {
    /// Takes in the present mean wait and returns the mean over the last seconds.
    pub fn observe(&mut self, now: MonotonicTime, wait: Duration) -> Duration {
        let elapsed = now.since(self.updated).as_secs_f64();
        let weight = 1.0 - f64::exp(-elapsed / AVERAGING_TIME.as_secs_f64());
        self.mean_micros += weight * (wait.as_micros() as f64 - self.mean_micros);
        self.updated = now;
        Duration::from_micros(self.mean_micros as u64)
    }
}
