//! Targets known to a router.
//!
//! Entries come from the platform's store, or from another router while the store is unreachable.
//! All changes carry revisions assigned by the store, so the latest change to a target wins
//! regardless of its source. Entries expire while the store is unreachable; for a short time after
//! it is reachable again, a missing entry does not mean that the target has ended.
//!
//! A store that was restored from an older copy lacks recent changes until their authors write them
//! again. Revisions of its new era supersede all earlier ones, entries that it lacks count as
//! expired, and a target that was known to leave stays excluded.

mod domain_use;
mod leaving_targets;
mod store_reachability;
mod target_entry;
mod target_index;

use std::cell::OnceCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};

use crate::direct::store_revision::{REREGISTRATION_GRACE, StoreRevision};
use crate::direct::target_id::TargetId;
use crate::direct::targets::cold_targets::ColdTargets;
use crate::direct::targets::evacuation_table::EvacuationTable;
use crate::direct::targets::software_version::VersionId;
use crate::direct::targets::target_table::leaving_targets::LeavingTargets;
pub use crate::direct::targets::target_table::store_reachability::{
    AnsweredTime, StoreContact, StoreReachability,
};
pub use crate::direct::targets::target_table::target_entry::{TargetEntry, TargetState};
pub use crate::direct::targets::target_table::target_index::ReadyTarget;
use crate::direct::targets::target_table::target_index::TargetIndex;

/// Time for which the revision of a removed entry is kept, so that older changes that arrive late
/// are ignored.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);

plain_data! {
    /// Change of one target in the store.
    pub enum TargetChange {
        /// The target is registered with this entry.
        Present(TargetEntry),
        /// The entry was removed or does not describe a usable target.
        Removed {
            /// Name of the target.
            name: String,
            /// Revision that the store assigned to the removal.
            revision: StoreRevision,
        },
    }
}

/// Effect of one change from the store on a target table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeEffect {
    /// The table changed.
    Applied,
    /// The entry is gone, but may only have expired; the target is kept for now.
    Deferred,
    /// The table already reflects this change or a later one.
    Ignored,
    /// The target is not used until the store names its software version.
    Withheld,
}

/// Effect of a listing or of another router's snapshot on a target table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpdateEffect {
    /// Names of the targets that were removed or started to drain.
    pub withdrawn: Vec<String>,
    /// Names of the targets whose entry was missing and counts as registered again.
    pub registered: Vec<String>,
}

/// Entry with the router's local state about it.
#[derive(Debug, Clone)]
struct KnownTarget {
    entry: TargetEntry,
    /// Set if the entry is gone from the store but may only have expired: for how long the store had
    /// answered in total when it was missed first.
    missed_at: Option<Duration>,
}

/// Targets known to a router, by name, with the revisions of recent removals. In an empty table the
/// store counts as unreachable.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    targets: HashMap<String, KnownTarget>,
    removals: HashMap<String, (StoreRevision, MonotonicTime)>,
    reachability: StoreReachability,
    /// For how long the store has answered, by which missing targets are given time.
    answered: AnsweredTime,
    /// Latest revision that changed the table.
    change_revision: StoreRevision,
    /// Targets that leave, including those whose entry says otherwise or is missing.
    leaving: LeavingTargets,
    /// Revision of the first listing or snapshot of the latest era; later revisions of that era
    /// were written after the restore.
    era_start: StoreRevision,
    cold: ColdTargets,
    evacuations: EvacuationTable,
    /// Whether a listing or a snapshot was applied; targets that appear later have just started.
    has_listing: bool,
    /// Empty after a change of the entries, the leaving targets or the evacuated domains.
    index: OnceCell<TargetIndex>,
}

plain_data! {
    /// Copy of one router's target table for another router.
    #[derive(Default)]
    pub struct TargetSnapshot {
        /// Registered targets.
        pub entries: Vec<TargetEntry>,
        /// Names of removed targets with the revisions of their removals.
        pub removals: Vec<(String, StoreRevision)>,
        /// Latest revision that changed the table.
        pub change_revision: StoreRevision,
        /// Whether targets that are neither listed nor removed no longer exist.
        pub is_complete: bool,
    }
}

impl TargetTable {
    /// Records contact with the store; returns whether its reachability changed.
    pub fn record_contact(&mut self, now: MonotonicTime, contact: StoreContact) -> bool {
        self.answered.record(now, contact);
        self.reachability.record(now, contact)
    }

    /// Returns whether the store answers.
    pub fn reachability(&self) -> StoreReachability {
        self.reachability
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> u64 {
        self.era_start.era()
    }

    /// Records that a target announced its leaving; returns whether that is new. The target gets no
    /// further requests, whatever its entry says.
    pub fn record_leaving(&mut self, now: MonotonicTime, target: TargetId) -> bool {
        let is_new = self.leaving.announce(now, target);
        if is_new {
            self.index.take();
        }
        is_new
    }

    /// Records that a target announced its leaving according to another router's snapshot, as
    /// [`TargetTable::record_leaving`]. Snapshots do not state when the target did, so announcements
    /// of targets that are not registered are ignored: routers would pass them on for good.
    pub fn record_copied_leaving(&mut self, now: MonotonicTime, target: TargetId) -> bool {
        self.contains(target) && self.record_leaving(now, target)
    }

    /// Returns the targets whose announcement this router learned of less than `age` ago.
    pub fn announced_leaving(&self, now: MonotonicTime, age: Duration) -> Vec<TargetId> {
        self.leaving.announced(now, age)
    }

    /// Returns whether a target is known to leave.
    pub fn is_leaving(&self, target: TargetId) -> bool {
        self.leaving.contains(target)
    }

    /// Returns the latest revision that changed the table.
    pub fn change_revision(&self) -> StoreRevision {
        self.change_revision
    }

    /// Returns a target by its identifier.
    pub fn find(&self, target: TargetId) -> Option<&TargetEntry> {
        let name = self.index().names.get(&target)?;
        self.targets.get(name).map(|known| &known.entry)
    }

    /// Returns whether a target is registered.
    pub fn contains(&self, target: TargetId) -> bool {
        self.index().names.contains_key(&target)
    }

    /// Returns the software versions of the registered targets of each service, each once; `None` stands
    /// for targets whose version is not known.
    pub fn versions(&self) -> &[(String, Option<VersionId>)] {
        &self.index().versions
    }

    /// Returns whether a registered target of the same service has the version of `entry`.
    pub fn serves_version(&self, entry: &TargetEntry) -> bool {
        let version = entry.version_id();
        let mut served = self.versions().iter();
        served.any(|(service, known)| *service == entry.service && *known == version)
    }

    /// Returns the name of a version that a registered target has; `None` if no target has it.
    pub fn version_name(&self, version: VersionId) -> Option<String> {
        let mut names = self.entries().filter_map(|entry| entry.version.as_ref());
        names.find(|name| VersionId::from_name(name) == version).cloned()
    }

    /// Returns the number of registered targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns a digest of the entries; equal for tables with equal entries.
    pub fn digest(&self) -> u64 {
        self.index().digest
    }

    /// Returns a snapshot for another router. `is_complete` must be set only if the store has been
    /// reachable without interruption for longer than targets need to register again.
    pub fn snapshot(&self, is_complete: bool) -> TargetSnapshot {
        let removals = self.removals.iter().map(|(name, (revision, _))| (name.clone(), *revision));
        TargetSnapshot {
            entries: self.entries().cloned().collect(),
            removals: removals.collect(),
            change_revision: self.change_revision,
            is_complete,
        }
    }

    /// Merges another router's snapshot; its removals take effect without a grace period.
    pub fn merge(&mut self, now: MonotonicTime, snapshot: TargetSnapshot) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        self.enter_era(now, snapshot.change_revision);
        if snapshot.is_complete {
            effect.withdrawn = self.remove_unlisted(now, &snapshot);
        }
        for entry in snapshot.entries {
            // A copy of the known revision does not tell whether a missing entry is registered again.
            let known = self.targets.get(&entry.name);
            if known.is_some_and(|known| !known.entry.is_superseded_by(&entry)) {
                continue;
            }
            self.insert_reporting(now, entry, &mut effect);
        }
        for (name, revision) in snapshot.removals {
            if self.removals.get(&name).is_some_and(|(known, _)| *known >= revision) {
                continue;
            }
            if self.targets.get(&name).is_some_and(|known| known.entry.revision <= revision) {
                self.remove_known(now, &name, revision);
                effect.withdrawn.push(name.clone());
            }
            self.removals.insert(name, (revision, now));
        }
        self.change_revision = self.change_revision.max(snapshot.change_revision);
        self.has_listing = true;
        effect
    }

    /// Applies one change from the store.
    pub fn apply(&mut self, now: MonotonicTime, change: TargetChange) -> ChangeEffect {
        match change {
            TargetChange::Present(entry) => self.insert(now, entry),
            TargetChange::Removed { name, revision } => self.remove(now, &name, revision),
        }
    }

    /// Takes a target out of use whose entry was replaced by one that must not be used yet.
    pub fn withdraw(&mut self, now: MonotonicTime, name: &str) {
        if self.targets.contains_key(name) {
            self.remove_unrevised(now, name);
        }
    }

    /// Applies a complete list of the store's entries at a revision; entries missing from it were
    /// removed or have expired.
    pub fn replace(
        &mut self,
        now: MonotonicTime,
        entries: Vec<TargetEntry>,
        revision: StoreRevision,
    ) -> UpdateEffect {
        let mut effect = UpdateEffect::default();
        self.enter_era(now, revision);
        if revision.era() < self.era() {
            return effect;
        }
        let listed: HashSet<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        for entry in entries {
            self.insert_reporting(now, entry, &mut effect);
        }
        let mut absent: Vec<String> = Vec::new();
        for (name, target) in &self.targets {
            if target.entry.revision <= revision && !listed.contains(name) {
                absent.push(name.clone());
            }
        }
        for name in absent {
            if self.remove(now, &name, revision) == ChangeEffect::Applied {
                effect.withdrawn.push(name);
            }
        }
        self.has_listing = true;
        effect
    }

    /// Drops targets that did not register again within the grace period; returns their names.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<String> {
        self.removals.retain(|_, (_, time)| now.since(*time) < REMOVAL_RETENTION);
        let registered: HashSet<TargetId> = self.entries().map(TargetEntry::id).collect();
        let era = self.era();
        if self.leaving.expire(now, era, |target| registered.contains(&target)) {
            self.index.take();
        }
        self.cold.retain(now, |target| registered.contains(&target));
        // Further outages and restores do not extend the time that a target has to register again.
        let is_settled = self.reachability.is_settled(now);
        let answered = self.answered.total(now);
        let is_over = |target: &KnownTarget| {
            target.missed_at.is_some_and(|missed| {
                is_settled || answered.saturating_sub(missed) >= REREGISTRATION_GRACE
            })
        };
        let gone = self.targets.iter().filter(|(_, target)| is_over(target));
        let names: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove_unrevised(now, name);
        }
        names
    }

    /// Returns the targets of a service that accept requests, in the order of their identifiers.
    pub fn ready(&self, service: &str) -> Rc<[ReadyTarget]> {
        self.index().ready.get(service).cloned().unwrap_or_default()
    }

    /// Returns the entries of the targets of a service that accept requests.
    pub fn ready_targets(&self, service: &str) -> impl Iterator<Item = &TargetEntry> {
        self.ready_entries(service).filter(|entry| !self.evacuations.contains(&entry.domain))
    }

    /// As [`TargetTable::ready_targets`], including evacuated domains.
    fn ready_entries(&self, service: &str) -> impl Iterator<Item = &TargetEntry> {
        let ready = self.entries().filter(|entry| {
            entry.state == TargetState::Ready && !self.leaving.contains(entry.id())
        });
        ready.filter(move |entry| entry.service == service)
    }

    /// Returns the entries of all known targets, including draining ones and those that are missing
    /// from the store but may register again.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|target| &target.entry)
    }

    /// Returns the number of targets whose entry is missing but may only have expired.
    pub fn missing_count(&self) -> usize {
        self.targets.values().filter(|target| target.missed_at.is_some()).count()
    }

    /// Returns whether a complete list of the targets was known at some time.
    pub fn has_listing(&self) -> bool {
        self.has_listing
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn is_missing(&self, name: &str) -> bool {
        self.targets.get(name).is_some_and(|target| target.missed_at.is_some())
    }

    fn index(&self) -> &TargetIndex {
        let is_withdrawn = |entry: &TargetEntry| {
            self.leaving.contains(entry.id()) || self.evacuations.contains(&entry.domain)
        };
        self.index.get_or_init(|| TargetIndex::build(self.entries(), is_withdrawn))
    }

    /// Notes a revision of a listing or snapshot. The first one of a new era starts the grace period
    /// in which targets register again.
    fn enter_era(&mut self, now: MonotonicTime, revision: StoreRevision) {
        if revision.era() <= self.era() {
            return;
        }
        self.era_start = revision;
        self.change_revision = self.change_revision.max(revision);
        self.reachability.restart_grace(now);
    }

    /// Removes the entry of a target that left at a revision.
    fn remove_known(&mut self, now: MonotonicTime, name: &str, revision: StoreRevision) {
        if let Some(target) = self.targets_mut().remove(name) {
            self.leaving.record_removal(now, target.entry.id(), revision);
        }
    }

    /// Returns the targets for a change, which invalidates the lookup tables.
    fn targets_mut(&mut self) -> &mut HashMap<String, KnownTarget> {
        self.index.take();
        &mut self.targets
    }

    /// Removes entries that are missing from a complete snapshot and not newer than it; returns
    /// their names.
    fn remove_unlisted(&mut self, now: MonotonicTime, snapshot: &TargetSnapshot) -> Vec<String> {
        let listed: HashSet<&str> =
            snapshot.entries.iter().map(|entry| entry.name.as_str()).collect();
        let is_listed = |name: &String| listed.contains(name.as_str());
        let unlisted = self.targets.iter().filter(|(name, target)| {
            target.entry.revision <= snapshot.change_revision && !is_listed(name)
        });
        let names: Vec<String> = unlisted.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove_unrevised(now, name);
        }
        names
    }

    /// Removes a target whose removal has no revision of its own in the store.
    fn remove_unrevised(&mut self, now: MonotonicTime, name: &str) {
        if let Some(target) = self.targets_mut().remove(name) {
            self.removals.insert(name.to_owned(), (target.entry.revision, now));
        }
    }

    /// Inserts an entry and adds its target to `effect` if that withdraws it, or registers it again.
    fn insert_reporting(
        &mut self,
        now: MonotonicTime,
        entry: TargetEntry,
        effect: &mut UpdateEffect,
    ) {
        let is_draining = entry.state == TargetState::Draining;
        let is_reported = is_draining || self.is_missing(&entry.name);
        let name = is_reported.then(|| entry.name.clone());
        if self.insert(now, entry) == ChangeEffect::Ignored {
            return;
        }
        match is_draining {
            true => effect.withdrawn.extend(name),
            false => effect.registered.extend(name),
        }
    }

    fn insert(&mut self, now: MonotonicTime, entry: TargetEntry) -> ChangeEffect {
        if entry.revision.era() < self.era() {
            return ChangeEffect::Ignored;
        }
        if self.removals.get(&entry.name).is_some_and(|(revision, _)| *revision >= entry.revision) {
            return ChangeEffect::Ignored;
        }
        let known = self.targets.get(&entry.name);
        if known.is_some_and(|known| known.entry.revision > entry.revision) {
            return ChangeEffect::Ignored;
        }
        let is_change = known.is_none_or(|known| known.entry != entry || known.missed_at.is_some());
        self.change_revision = self.change_revision.max(entry.revision);
        if !is_change {
            return ChangeEffect::Ignored;
        }
        self.leaving.update(now, &entry, self.era_start);
        let id = entry.id();
        let is_new = self.has_listing && known.is_none_or(|known| known.entry.id() != id);
        self.cold.record_entry(now, id, entry.cold_left, is_new);
        let target = KnownTarget { entry, missed_at: None };
        self.targets_mut().insert(target.entry.name.clone(), target);
        ChangeEffect::Applied
    }

    fn remove(&mut self, now: MonotonicTime, name: &str, revision: StoreRevision) -> ChangeEffect {
        let may_have_expired = !self.reachability.is_settled(now);
        if self.removals.get(name).is_some_and(|(known, _)| *known >= revision) {
            return ChangeEffect::Ignored;
        }
        let Some(known) = self.targets.get_mut(name) else {
            self.removals.insert(name.to_owned(), (revision, now));
            return ChangeEffect::Ignored;
        };
        if known.entry.revision > revision {
            return ChangeEffect::Ignored;
        }
        // A draining target does not register again.
        if may_have_expired && known.entry.state == TargetState::Ready {
            known.missed_at.get_or_insert(self.answered.total(now));
            return ChangeEffect::Deferred;
        }
        self.remove_known(now, name, revision);
        self.removals.insert(name.to_owned(), (revision, now));
        self.change_revision = self.change_revision.max(revision);
        ChangeEffect::Applied
    }
}
