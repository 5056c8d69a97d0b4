//! The targets that are preferred for one request.

use smallvec::SmallVec;

use crate::direct::target_id::TargetId;
use crate::direct::targets::target_table::ReadyTarget;

/// Number of targets that are preferred for requests with the same shared prompt part.
pub(super) const CANDIDATE_TARGETS: usize = 2;

/// The preferred targets of a request.
pub(super) struct RankedTargets<'a> {
    /// Usable ones, the home target first.
    pub(super) candidates: SmallVec<[&'a ReadyTarget; CANDIDATE_TARGETS]>,
    /// Those that would be candidates if they took more requests.
    pub(super) withheld: SmallVec<[TargetId; CANDIDATE_TARGETS]>,
}

/// The targets with the highest rendezvous weights for a prompt part, highest first.
#[derive(Default)]
pub(super) struct TopTargets<'a> {
    ranked: SmallVec<[(u64, &'a ReadyTarget); CANDIDATE_TARGETS]>,
}

impl<'a> TopTargets<'a> {
    /// Returns whether a target with this weight would be among them.
    pub(super) fn includes(&self, weight: u64) -> bool {
        self.position(weight) < CANDIDATE_TARGETS
    }

    pub(super) fn insert(&mut self, weight: u64, target: &'a ReadyTarget) {
        let position = self.position(weight);
        if position < CANDIDATE_TARGETS {
            self.ranked.truncate(CANDIDATE_TARGETS - 1);
            self.ranked.insert(position, (weight, target));
        }
    }

    pub(super) fn targets(&self) -> impl Iterator<Item = &'a ReadyTarget> {
        self.ranked.iter().map(|(_, target)| *target)
    }

    fn position(&self, weight: u64) -> usize {
        self.ranked.partition_point(|(other, _)| *other >= weight)
    }
}
