//! A router's contact with the store, and whether missing entries may have expired.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::store_revision::REREGISTRATION_GRACE;

/// What a router learned about its contact with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreContact {
    /// A call was answered.
    Answered,
    /// A call failed.
    Failed,
    /// The router stopped watching the store, which has not failed.
    Ended,
}

/// Whether the store answers this router's calls.
///
/// An entry that is gone before `settled_at` may have expired while the store was away, and the
/// target may register again until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreReachability {
    /// The store answers.
    Reachable {
        /// End of the grace period.
        settled_at: MonotonicTime,
    },
    /// The router does not watch the store, which did not fail.
    Unwatched {
        /// End of the grace period.
        settled_at: MonotonicTime,
    },
    /// The latest call failed, or there was none yet.
    #[default]
    Unreachable,
}

/// For how long the store has answered in total, without the time between a failed call and the next
/// answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnsweredTime {
    /// Time up to the last failure.
    earlier: Duration,
    /// Start of the present time with answers.
    since: Option<MonotonicTime>,
}

impl AnsweredTime {
    /// Records contact with the store.
    pub(super) fn record(&mut self, now: MonotonicTime, contact: StoreContact) {
        match contact {
            StoreContact::Answered => {
                self.since.get_or_insert(now);
            }
            StoreContact::Failed => {
                self.earlier = self.total(now);
                self.since = None;
            }
            StoreContact::Ended => {}
        }
    }

    /// Returns the total up to now.
    pub(super) fn total(self, now: MonotonicTime) -> Duration {
        self.earlier + self.since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

impl StoreReachability {
    /// Records contact with the store; returns whether its reachability changed.
    ///
    /// Only a failed call starts a grace period: that a router begins to watch is no sign of an outage.
    pub(super) fn record(&mut self, now: MonotonicTime, contact: StoreContact) -> bool {
        *self = match (*self, contact) {
            (StoreReachability::Reachable { .. }, StoreContact::Answered)
            | (StoreReachability::Unwatched { .. }, StoreContact::Ended)
            | (StoreReachability::Unreachable, StoreContact::Failed | StoreContact::Ended) => {
                return false;
            }
            (StoreReachability::Unreachable, StoreContact::Answered) => {
                StoreReachability::Reachable { settled_at: now.after(REREGISTRATION_GRACE) }
            }
            (StoreReachability::Unwatched { settled_at }, StoreContact::Answered) => {
                StoreReachability::Reachable { settled_at }
            }
            (StoreReachability::Reachable { settled_at }, StoreContact::Ended) => {
                StoreReachability::Unwatched { settled_at }
            }
            (_, StoreContact::Failed) => StoreReachability::Unreachable,
        };
        true
    }

    /// Returns whether all targets have had time to register again after the latest known outage.
    pub(super) fn is_settled(self, now: MonotonicTime) -> bool {
        match self {
            StoreReachability::Reachable { settled_at }
            | StoreReachability::Unwatched { settled_at } => now >= settled_at,
            StoreReachability::Unreachable => false,
        }
    }

    /// Starts the grace period anew, because the store lost entries without being away.
    pub(super) fn restart_grace(&mut self, now: MonotonicTime) {
        match self {
            StoreReachability::Reachable { settled_at }
            | StoreReachability::Unwatched { settled_at } => {
                *settled_at = now.after(REREGISTRATION_GRACE);
            }
            StoreReachability::Unreachable => {}
        }
    }
}
