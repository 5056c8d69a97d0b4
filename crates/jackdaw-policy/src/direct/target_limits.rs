//! Limits that targets in need state for the requests that they take from all routers together.

use jackdaw_base::{MonotonicTime, plain_data};
use rustc_hash::FxHashMap;

use crate::direct::target_table::TargetId;

plain_data! {
    copy
    /// Rate of requests, in thousandths of a request a second.
    pub struct RequestRate(pub u32);
}

plain_data! {
    copy
    /// What a response of a target states about the requests that it takes.
    pub enum LimitStatement {
        /// The target states no limit.
        Unlimited,
        /// The target takes requests at this rate from all routers together.
        Limited(RequestRate),
    }
}

impl RequestRate {
    /// Converts a number of requests a second. Negative numbers become zero, and numbers over four
    /// million the largest rate.
    pub fn from_per_second(requests: f64) -> RequestRate {
        RequestRate((requests * 1000.0) as u32)
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

/// What a router knows about one target's limit.
#[derive(Debug, Clone, Copy)]
struct LimitRecord {
    rate: RequestRate,
    /// When the latest statement of the limit was received.
    stated: MonotonicTime,
}

/// Limits that targets state, as known to one router.
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    limits: FxHashMap<TargetId, LimitRecord>,
}

impl TargetLimits {
    /// Records the statement in a response to a request that was sent at `sent`; returns whether it
    /// changes the known limit.
    ///
    /// A response without a limit ends one only if the request was sent after the latest statement
    /// of the limit: responses on different connections may overtake each other.
    pub fn record_statement(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        statement: LimitStatement,
        sent: MonotonicTime,
    ) -> bool {
        let known = self.limits.get(&target).copied();
        match (statement, known) {
            (LimitStatement::Unlimited, None) => false,
            (LimitStatement::Unlimited, Some(known)) if sent < known.stated => false,
            (LimitStatement::Unlimited, Some(_)) => self.limits.remove(&target).is_some(),
            (LimitStatement::Limited(rate), known) => {
                self.limits.insert(target, LimitRecord { rate, stated: now });
                known.is_none_or(|known| known.rate != rate)
            }
        }
    }

    /// Returns the number of targets with a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no target has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Drops the limits of targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.limits.retain(|target, _| is_known(*target));
    }
}
