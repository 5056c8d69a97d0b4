//! Token bucket that bounds the calls of one process.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Fractions of one call in which the bucket counts.
const CALL_PARTS: u64 = 1_000_000;

/// The calls that a process may still make: a token bucket.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_second: u64,
    capacity: u64,
    level: u64,
    updated: MonotonicTime,
}

impl CallBudget {
    /// Creates a full bucket that refills at `per_second` calls up to `burst` calls.
    ///
    /// Both are at least one.
    pub fn new(per_second: u32, burst: u32, now: MonotonicTime) -> CallBudget {
        let capacity = u64::from(burst.max(1)) * CALL_PARTS;
        CallBudget {
            per_second: u64::from(per_second.max(1)),
            capacity,
            level: capacity,
            updated: now,
        }
    }

    /// Takes one call, or returns the time after which one will be there.
    pub fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= CALL_PARTS {
            self.level -= CALL_PARTS;
            return Ok(());
        }
        let missing = CALL_PARTS - self.level;
        Err(Duration::from_micros(missing.div_ceil(self.per_second)))
    }

    /// One call a second adds one part a microsecond.
    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated).as_micros() as u64;
        self.level =
            self.level.saturating_add(elapsed.saturating_mul(self.per_second)).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
