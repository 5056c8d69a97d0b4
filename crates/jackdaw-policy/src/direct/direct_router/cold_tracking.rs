//! Cold targets and evacuated failure domains, as far as they decide where requests go.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};
use rustc_hash::FxHashSet;

use crate::direct::direct_router::DirectRouter;
use crate::direct::fleet_config::ColdStart;
use crate::direct::store_revision::StoreRevision;
use crate::direct::target_id::TargetId;
use crate::direct::targets::cold_targets::ColdSource;
use crate::direct::targets::evacuation_table::{
    EvacuationChange, EvacuationEffect, EvacuationState,
};

/// How many more requests than its stated rate a cold target takes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdTolerance {
    /// Factor applied to the stated rate.
    pub factor: f64,
    /// Requests a second in addition.
    pub allowance: f64,
}

/// Change of what the router knows about a target's coldness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ColdNotice {
    /// The target counts as cold from now on.
    Cold {
        /// The target.
        target: TargetId,
        /// How long it stays cold.
        left: Duration,
        /// Why it counts as cold.
        source: ColdSource,
        /// Requests that this router may send to it within a second.
        part: usize,
    },
    /// The target is warm.
    Warm(TargetId),
}

impl ColdTolerance {
    /// Returns the largest number of requests that a cold target takes within any second.
    fn bound(self, cold_start: &ColdStart) -> f64 {
        cold_start.rate.per_second() * self.factor + self.allowance
    }
}

impl DirectRouter {
    /// Records that the router on a VM reported.
    pub fn record_member(&mut self, now: MonotonicTime, vm: VmId) {
        self.roster.record(now, vm);
    }

    /// Applies a complete list of the evacuated domains from the store.
    pub fn replace_evacuations(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        domains: Vec<String>,
    ) -> EvacuationEffect {
        self.targets.update_evacuations(|table| table.replace(now, revision, domains))
    }

    /// Applies changes of the evacuated domains from the store.
    pub fn change_evacuations(
        &mut self,
        now: MonotonicTime,
        revision: StoreRevision,
        changes: &[EvacuationChange],
    ) -> EvacuationEffect {
        self.targets.update_evacuations(|table| table.apply(now, revision, changes))
    }

    /// Merges the evacuated domains that another router reported.
    pub fn merge_evacuations(
        &mut self,
        now: MonotonicTime,
        state: &EvacuationState,
    ) -> EvacuationEffect {
        self.targets.update_evacuations(|table| table.merge(now, state))
    }

    /// Ends the time in which entries that a restored store lacks may be written again.
    pub fn expire_evacuations(&mut self, now: MonotonicTime) -> EvacuationEffect {
        self.targets.update_evacuations(|table| table.expire(now))
    }

    /// Returns the evacuated domains for this router's reports; `None` while they are not known.
    pub fn evacuation_state(&self, now: MonotonicTime) -> Option<EvacuationState> {
        self.targets.evacuations().state(now)
    }

    /// Returns which targets have turned cold or warm since the last call.
    pub fn take_cold_notices(&mut self, now: MonotonicTime) -> Vec<ColdNotice> {
        let mut notices = Vec::new();
        if self.targets.cold().is_empty() && self.noted_cold.is_empty() {
            return notices;
        }
        let targets: Vec<TargetId> = self.targets.cold().targets().collect();
        let mut cold = FxHashSet::default();
        for target in targets {
            let Some((left, source)) = self.cold_left(now, target) else {
                continue;
            };
            cold.insert(target);
            if !self.noted_cold.contains(&target) {
                let part = self.cold_shares.part(target);
                notices.push(ColdNotice::Cold { target, left, source, part });
            }
        }
        let warm = self.noted_cold.iter().filter(|target| !cold.contains(target));
        notices.extend(warm.map(|target| ColdNotice::Warm(*target)));
        self.noted_cold = cold;
        let noted = &self.noted_cold;
        self.cold_shares.retain(|target| noted.contains(&target));
        notices
    }

    /// Returns the number of targets that counted as cold at the last call of
    /// [`DirectRouter::take_cold_notices`].
    pub fn cold_count(&self) -> usize {
        self.noted_cold.len()
    }

    /// Returns how long a target stays cold, and why; `None` if it is warm or its service's targets are
    /// never cold.
    pub(super) fn cold_left(
        &self,
        now: MonotonicTime,
        target: TargetId,
    ) -> Option<(Duration, ColdSource)> {
        if self.targets.cold().is_empty() {
            return None;
        }
        self.targets.cold().cold_left(now, target, self.cold_start(target)?.duration)
    }

    /// Determines this router's parts of the cold targets. Until that is done, a target that has turned
    /// cold gets nothing from this router.
    pub(super) fn review_cold_shares(&mut self, now: MonotonicTime) {
        if self.targets.cold().is_empty() {
            return;
        }
        let targets: Vec<TargetId> = self.targets.cold().targets().collect();
        for target in targets {
            if self.cold_left(now, target).is_none() {
                continue;
            }
            if let Some(cold_start) = self.cold_start(target) {
                let bound = self.policy.cold_tolerance.bound(&cold_start);
                self.cold_shares.prepare(target, &self.roster, bound);
            }
        }
    }

    /// Returns what a target's service states about its cold targets.
    fn cold_start(&self, target: TargetId) -> Option<ColdStart> {
        let entry = self.targets.find(target)?;
        self.table.as_ref()?.service(&entry.service)?.cold_start
    }
}
