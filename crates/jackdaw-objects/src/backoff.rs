//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;

/// Waits between attempts: uniform between zero and a bound that doubles with each attempt.
#[derive(Debug, Clone)]
pub struct CallBackoff {
    first: Duration,
    limit: Duration,
    attempt: u32,
}

impl CallBackoff {
    /// Creates a backoff whose bound starts at `first` and never exceeds `limit`.
    pub fn new(first: Duration, limit: Duration) -> CallBackoff {
        CallBackoff { first, limit, attempt: 0 }
    }

    /// Returns the bound of the next wait.
    pub fn bound(&self) -> Duration {
        let factor = 1u32.checked_shl(self.attempt).unwrap_or(u32::MAX);
        self.first.saturating_mul(factor).min(self.limit)
    }

    /// Draws the next wait.
    pub fn next_wait<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let bound = self.bound();
        self.attempt = self.attempt.saturating_add(1).min(31);
        Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
    }

    /// Starts again from the first bound.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
