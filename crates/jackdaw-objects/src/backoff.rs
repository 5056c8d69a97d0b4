//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;

/// Random waits between attempts, uniform between zero and an upper bound that doubles with each
/// attempt.
#[derive(Debug, Clone)]
pub struct CallBackoff {
    initial: Duration,
    max: Duration,
    attempt: u32,
}

impl CallBackoff {
    /// Creates a backoff whose bound starts at `initial` and never exceeds `max`.
    pub fn new(initial: Duration, max: Duration) -> CallBackoff {
        CallBackoff { initial, max, attempt: 0 }
    }

    /// Returns the upper bound of the next wait.
    pub fn bound(&self) -> Duration {
        let factor = 1u32.checked_shl(self.attempt).unwrap_or(u32::MAX);
        self.initial.saturating_mul(factor).min(self.max)
    }

    /// Draws the next wait and doubles the bound of the one after it.
    pub fn next_wait<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let bound = self.bound();
        self.attempt = self.attempt.saturating_add(1).min(31);
        Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
    }

    /// Resets the bound to its initial value.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
