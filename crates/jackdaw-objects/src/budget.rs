//! Token bucket that limits the rate of calls of one process.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Units per call in which the bucket is filled and drained; one call per second refills one unit
/// per microsecond.
const UNITS_PER_CALL: u64 = 1_000_000;

/// Token bucket of the calls that a process may make.
#[derive(Debug, Clone)]
pub struct CallBudget {
    per_second: u64,
    capacity: u64,
    level: u64,
    updated: MonotonicTime,
}

impl CallBudget {
    /// Creates a full bucket that refills at `per_second` calls per second up to `burst` calls.
    ///
    /// A value of zero counts as one.
    pub fn new(per_second: u32, burst: u32, now: MonotonicTime) -> CallBudget {
        let capacity = u64::from(burst.max(1)) * UNITS_PER_CALL;
        CallBudget {
            per_second: u64::from(per_second.max(1)),
            capacity,
            level: capacity,
            updated: now,
        }
    }

    /// Takes one call from the bucket, or returns the time until one becomes available.
    pub fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= UNITS_PER_CALL {
            self.level -= UNITS_PER_CALL;
            return Ok(());
        }
        let missing = UNITS_PER_CALL - self.level;
        Err(Duration::from_micros(missing.div_ceil(self.per_second)))
    }

    /// Adds the calls that have become available since the last update.
    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated).as_micros() as u64;
        self.level =
            self.level.saturating_add(elapsed.saturating_mul(self.per_second)).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
