//! Targets that are cold: for some time after its start, a target takes few requests.
//!
//! A target states in its entry how long it stays cold. Where that is missing, or where it may have
//! become cold without a statement, it is in doubt, which counts as cold for as long as the service's
//! targets are cold after a start. Both are durations from the moment at which this router learned of
//! them, so clocks that differ or step do not matter, and delays only lengthen them.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};
use rustc_hash::FxHashMap;

use crate::direct::target_id::TargetId;

/// Longest time for which a statement is believed; a longer one is shortened to it.
const LONGEST_COLD: Duration = Duration::from_secs(60);

plain_data! {
    copy
    /// Why a target counts as cold.
    #[serde(rename_all = "kebab-case")]
    pub enum ColdSource {
        /// Its entry states it.
        Entry,
        /// It is new, and its entry does not state whether it is cold.
        Unstated,
        /// Its failure domain was evacuated until now.
        Returned,
    }
}

/// What is known of one target's coldness.
#[derive(Debug, Clone, Copy, Default)]
struct ColdRecord {
    /// End of the time that the entry states.
    stated_until: Option<MonotonicTime>,
    /// When the target came into doubt, and why.
    doubted: Option<(MonotonicTime, ColdSource)>,
}

/// Targets that are cold or in doubt, or were so recently.
#[derive(Debug, Clone, Default)]
pub struct ColdTargets {
    records: FxHashMap<TargetId, ColdRecord>,
}

impl ColdTargets {
    /// Records what a newly read entry states. `is_new` tells that the target was not known before and
    /// has started since this router did.
    pub fn record_entry(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        stated: Option<Duration>,
        is_new: bool,
    ) {
        match stated {
            Some(left) if !left.is_zero() => {
                let until = now.after(left.min(LONGEST_COLD));
                self.records.entry(target).or_default().stated_until = Some(until);
            }
            Some(_) => {
                if let Some(record) = self.records.get_mut(&target) {
                    record.stated_until = None;
                }
            }
            None if is_new => self.doubt(now, target, ColdSource::Unstated),
            None => {}
        }
    }

    /// Records that a target may be cold since `since`.
    pub fn doubt(&mut self, since: MonotonicTime, target: TargetId, source: ColdSource) {
        let record = self.records.entry(target).or_default();
        if record.doubted.is_none_or(|(known, _)| known < since) {
            record.doubted = Some((since, source));
        }
    }

    /// Returns how long a target stays cold, and why. `cold_time` is how long targets of its service
    /// are cold after a start.
    pub fn cold_left(
        &self,
        now: MonotonicTime,
        target: TargetId,
        cold_time: Duration,
    ) -> Option<(Duration, ColdSource)> {
        let record = self.records.get(&target)?;
        let stated = record.stated_until.map(|until| (until.since(now), ColdSource::Entry));
        let doubted =
            record.doubted.map(|(since, source)| (since.after(cold_time).since(now), source));
        stated
            .into_iter()
            .chain(doubted)
            .max_by_key(|(left, _)| *left)
            .filter(|(left, _)| !left.is_zero())
    }

    /// Returns whether no target is or was cold.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the targets that are or were cold.
    pub fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.records.keys().copied()
    }

    /// Drops targets that are warm for good or for which `is_known` returns false.
    pub fn retain(&mut self, now: MonotonicTime, is_known: impl Fn(TargetId) -> bool) {
        self.records.retain(|target, record| {
            let is_stated = record.stated_until.is_some_and(|until| now < until);
            let is_doubted =
                record.doubted.is_some_and(|(since, _)| now.since(since) < LONGEST_COLD);
            is_known(*target) && (is_stated || is_doubted)
        });
    }
}
