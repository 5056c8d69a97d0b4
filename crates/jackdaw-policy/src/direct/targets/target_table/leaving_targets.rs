//! Targets that leave, and how a router knows it.
//!
//! The knowledge is kept by instance and apart from the entries: an entry may be missing, or a
//! restored store may show one that is older than the leaving.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashMap;

use crate::direct::store_revision::StoreRevision;
use crate::direct::target_id::TargetId;
use crate::direct::targets::target_table::{TargetEntry, TargetState};

/// Time for which a target that left before a restore of the store is excluded if the restored
/// entry says that it is ready. Targets that leave end within a minute.
const RESTORED_HOLD: Duration = Duration::from_secs(60);

/// Time for which a target that left is remembered; the identifier of a later instance differs.
const RETENTION: Duration = Duration::from_secs(600);

/// How a router knows that a target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeavingEvidence {
    /// The target said so in a response, to this router or to another one.
    Announced,
    /// The store registered the target as draining or removed its entry at this revision.
    Stored(StoreRevision),
}

/// Evidence that a target leaves, and when this router obtained it.
#[derive(Debug, Clone, Copy)]
struct LeavingRecord {
    evidence: LeavingEvidence,
    since: MonotonicTime,
}

/// Targets that leave, by instance.
#[derive(Debug, Clone, Default)]
pub(super) struct LeavingTargets {
    records: FxHashMap<TargetId, LeavingRecord>,
}

impl LeavingTargets {
    /// Returns whether a target is known to leave.
    pub(super) fn contains(&self, target: TargetId) -> bool {
        self.records.contains_key(&target)
    }

    /// Records that a target announced its leaving; returns whether that is new. The time of the
    /// first announcement is kept.
    pub(super) fn announce(&mut self, now: MonotonicTime, target: TargetId) -> bool {
        let known = self.records.get(&target).map(|record| record.evidence);
        if known == Some(LeavingEvidence::Announced) {
            return false;
        }
        self.insert(now, target, LeavingEvidence::Announced);
        true
    }

    /// Returns the targets that announced their leaving less than `age` ago.
    pub(super) fn announced(&self, now: MonotonicTime, age: Duration) -> Vec<TargetId> {
        let announced = self.records.iter().filter(|(_, record)| {
            record.evidence == LeavingEvidence::Announced && now.since(record.since) < age
        });
        let mut targets: Vec<TargetId> = announced.map(|(target, _)| *target).collect();
        targets.sort();
        targets
    }

    /// Records that the store removed the entry of a target.
    pub(super) fn record_removal(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        revision: StoreRevision,
    ) {
        if !self.contains(target) {
            self.insert(now, target, LeavingEvidence::Stored(revision));
        }
    }

    /// Updates the evidence from an entry that supersedes the known one. `era_start` is the revision
    /// of the first listing of the latest era: entries up to it may come from the copy that the store
    /// was restored from, and the copy may be older than the leaving.
    pub(super) fn update(
        &mut self,
        now: MonotonicTime,
        entry: &TargetEntry,
        era_start: StoreRevision,
    ) {
        let (id, revision) = (entry.id(), entry.revision);
        let known = self.records.get(&id).map(|record| record.evidence);
        match (entry.state, known) {
            (_, Some(LeavingEvidence::Announced)) | (TargetState::Ready, None) => {}
            (TargetState::Draining, _) => self.insert(now, id, LeavingEvidence::Stored(revision)),
            (TargetState::Ready, Some(LeavingEvidence::Stored(left))) => {
                let is_copy = revision.era() > left.era() && revision <= era_start;
                if revision > left && !is_copy {
                    self.records.remove(&id);
                }
            }
        }
    }

    /// Drops evidence that is no longer needed in the store's latest era; returns whether there was
    /// any.
    pub(super) fn expire(
        &mut self,
        now: MonotonicTime,
        era: u64,
        is_registered: impl Fn(TargetId) -> bool,
    ) -> bool {
        let count = self.records.len();
        self.records.retain(|target, record| {
            let age = now.since(record.since);
            match record.evidence {
                LeavingEvidence::Stored(left) if left.era() < era => age < RESTORED_HOLD,
                LeavingEvidence::Stored(_) => age < RETENTION,
                // The announcement binds for as long as this start of the target lasts.
                LeavingEvidence::Announced => age < RETENTION || is_registered(*target),
            }
        });
        self.records.len() != count
    }

    fn insert(&mut self, now: MonotonicTime, target: TargetId, evidence: LeavingEvidence) {
        self.records.insert(target, LeavingRecord { evidence, since: now });
    }
}
