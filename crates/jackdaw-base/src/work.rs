//! Cost of work, shares of capacity and monotonic time.

use std::ops::{Add, AddAssign};
use std::time::Duration;

use crate::plain_data;

plain_data! {
    copy
    /// Cost of work: tokens for model engines, milliseconds of target time for plain services.
    #[derive(Default)]
    pub struct WorkUnits(pub u64);
}

impl Add for WorkUnits {
    type Output = WorkUnits;

    fn add(self, other: WorkUnits) -> WorkUnits {
        WorkUnits(self.0.saturating_add(other.0))
    }
}

impl AddAssign for WorkUnits {
    fn add_assign(&mut self, other: WorkUnits) {
        *self = *self + other;
    }
}

impl WorkUnits {
    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: WorkUnits) -> WorkUnits {
        WorkUnits(self.0.saturating_sub(other.0))
    }
}

plain_data! {
    copy
    /// Weight of a customer in the division of capacity, at least one.
    pub struct CustomerShare(pub u32);
}

impl Default for CustomerShare {
    fn default() -> CustomerShare {
        CustomerShare(1)
    }
}

plain_data! {
    copy
    /// Work done for a customer divided by its share, in thousandths of a work unit.
    #[derive(Default)]
    pub struct NormalisedService(pub u64);
}

impl NormalisedService {
    /// Normalised service of one work unit at a share of one.
    pub const SCALE: u64 = 1000;

    /// Divides work by the share of the customer that it was done for.
    pub fn from_units(units: WorkUnits, share: CustomerShare) -> NormalisedService {
        NormalisedService(
            units.0.saturating_mul(NormalisedService::SCALE) / u64::from(share.0.max(1)),
        )
    }

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: NormalisedService) -> NormalisedService {
        NormalisedService(self.0.saturating_sub(other.0))
    }
}

impl Add for NormalisedService {
    type Output = NormalisedService;

    fn add(self, other: NormalisedService) -> NormalisedService {
        NormalisedService(self.0.saturating_add(other.0))
    }
}

impl AddAssign for NormalisedService {
    fn add_assign(&mut self, other: NormalisedService) {
        *self = *self + other;
    }
}

plain_data! {
    copy
    /// Time of the monotonic clock of this process, in microseconds.
    ///
    /// Values of different processes are not comparable.
    #[derive(Default)]
    pub struct MonotonicTime(pub u64);
}

impl MonotonicTime {
    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` later; saturates instead of overflowing.
    pub fn after(self, span: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(span.as_micros() as u64))
    }
}
