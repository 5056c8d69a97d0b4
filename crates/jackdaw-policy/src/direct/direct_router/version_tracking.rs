//! Uses targets only once the store names their software versions, and plans what it is to name.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::direct_router::DirectRouter;
use crate::direct::store_revision::{REREGISTRATION_GRACE, StoreRevision};
use crate::direct::streams::version_record::{REMOVAL_MARGIN, RecordBasis, VersionRecord};
use crate::direct::targets::software_version::VersionId;
use crate::direct::targets::target_table::{ChangeEffect, TargetChange, TargetEntry, UpdateEffect};

/// The store's record of versions, as far as a router knows it.
#[derive(Debug, Clone, Default)]
pub struct KnownRecord {
    /// The record; empty if there is none.
    pub record: VersionRecord,
    /// Revision of the store as of which this is the record.
    pub as_of: StoreRevision,
}

/// Age of what a router learns of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordAge {
    /// Versions may have been added since.
    MayBeStale,
    /// It was the record when the router asked.
    Latest,
}

impl DirectRouter {
    /// Applies a change of a target from the store. A target whose version the store does not name is
    /// withheld.
    pub fn apply_target_change(
        &mut self,
        now: MonotonicTime,
        change: TargetChange,
    ) -> ChangeEffect {
        match self.admit_change(now, change) {
            Some(change) => self.targets.apply(now, change),
            None => ChangeEffect::Withheld,
        }
    }

    /// Applies a complete list of the targets in the store, as [`DirectRouter::apply_target_change`].
    pub fn replace_targets(
        &mut self,
        now: MonotonicTime,
        entries: Vec<TargetEntry>,
        revision: StoreRevision,
    ) -> UpdateEffect {
        self.gate.clear();
        let mut usable = Vec::new();
        for entry in entries {
            if let Some(TargetChange::Present(entry)) =
                self.admit_change(now, TargetChange::Present(entry))
            {
                usable.push(entry);
            }
        }
        self.targets.replace(now, usable, revision)
    }

    /// Returns a change that is to be applied at once; `None` if its target is withheld. What is known of a
    /// withheld target describes another process, which must not be used in its place.
    fn admit_change(&mut self, now: MonotonicTime, change: TargetChange) -> Option<TargetChange> {
        let TargetChange::Present(entry) = &change else {
            return self.gate.admit(change, |_| true);
        };
        let name = entry.name.clone();
        let (recorded, targets) = (&self.recorded, &self.targets);
        let is_usable =
            |entry: &TargetEntry| recorded.allows(entry) || targets.serves_version(entry);
        let admitted = self.gate.admit(change, is_usable);
        if admitted.is_none() {
            self.targets.withdraw(now, &name);
        }
        admitted
    }

    /// Applies the withheld targets that may be used now; returns them with the effect of each.
    pub fn release_targets(&mut self, now: MonotonicTime) -> Vec<(TargetEntry, ChangeEffect)> {
        let recorded = &self.recorded;
        let released = self.gate.release(|entry| recorded.allows(entry));
        let applied = released.into_iter().map(|entry| {
            let effect = self.targets.apply(now, TargetChange::Present(entry.clone()));
            (entry, effect)
        });
        applied.collect()
    }

    /// Returns the names of the targets that are withheld.
    pub fn withheld_targets(&self) -> Vec<String> {
        self.gate.entries().map(|entry| entry.name.clone()).collect()
    }

    /// Returns whether the known record names the versions of all withheld targets, but may be older than
    /// their entries.
    pub fn needs_newer_record(&self) -> bool {
        self.gate.entries().any(|entry| {
            let is_named = |version| self.recorded.record.contains(&entry.service, version);
            entry.version_id().is_some_and(is_named)
        })
    }

    /// Returns the store's record of versions, as far as this router knows it.
    pub fn version_record(&self) -> &KnownRecord {
        &self.recorded
    }

    /// Takes over the store's record of versions.
    pub fn apply_version_record(&mut self, now: MonotonicTime, known: KnownRecord, age: RecordAge) {
        if known.as_of < self.recorded.as_of {
            return;
        }
        self.recorded = known;
        let KnownRecord { record, as_of } = &self.recorded;
        if age == RecordAge::MayBeStale
            || !self.versions.lacks_information(now, self.streams.return_span())
        {
            return;
        }
        // The record of an earlier era is that of an older copy, and targets that began streams since may
        // not have registered again.
        let delay = match record.complete_in {
            None => return,
            Some(era) if era == as_of.era() => Duration::ZERO,
            Some(_) => REREGISTRATION_GRACE,
        };
        self.versions.inform(now, now.after(delay), &record.services);
    }

    /// Returns the record that the store is to have in place of the known one; `None` if that is right.
    /// `has_record` tells whether there is one.
    pub fn plan_version_record(
        &mut self,
        now: MonotonicTime,
        has_record: bool,
    ) -> Option<VersionRecord> {
        self.record_versions(now);
        let span = self.streams.return_span();
        let kept = span + REMOVAL_MARGIN;
        let seen = self.versions.recent(now, kept);
        if seen.is_empty() {
            return None;
        }
        let is_first = self.policy.is_first_start && !has_record;
        let basis = RecordBasis {
            era: self.recorded.as_of.era(),
            seen: &seen,
            is_complete: is_first || self.versions.is_complete(now, span),
            may_remove: self.versions.has_observed(now, kept),
        };
        self.recorded.record.plan(&basis)
    }

    /// Returns whether the record names a version of a service that this router has not seen, besides one.
    pub(super) fn is_contradicted(&self, service: &str, sole: VersionId) -> bool {
        let recorded = self.recorded.record.services.get(service);
        let mut others = recorded.into_iter().flatten().filter(|version| **version != sole);
        others.any(|version| !self.versions.has_seen(service, *version))
    }
}

impl KnownRecord {
    /// Returns whether a target may be used because the record names its version. A version may have left
    /// the record before the target's entry was written, so the record has to be newer.
    fn allows(&self, entry: &TargetEntry) -> bool {
        entry.version_id().is_none_or(|version| {
            self.as_of >= entry.revision && self.record.contains(&entry.service, version)
        })
    }
}
