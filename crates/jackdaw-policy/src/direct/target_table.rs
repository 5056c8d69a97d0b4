//! What a router believes about the targets that may be sent requests.
//!
//! Entries come from the platform's store, or from another router while the store does not
//! answer. Revisions are the store's own, so the newest statement about a target wins wherever
//! it comes from. Entries lapse while the store is away; for a short time after it is back a
//! missing entry is not taken as an end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time after the store's return within which live targets have registered again, as the
/// platform states it.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(1900);

/// Time for which the revision of a removed entry is kept against older statements.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

plain_data! {
    copy
    /// Identifies one start of a target.
    pub struct TargetId(pub u64);
}

plain_data! {
    copy
    /// What a target says of its work.
    pub enum TargetState {
        /// It takes requests.
        Ready,
        /// It ends those that it has and takes no others.
        Draining,
    }
}

plain_data! {
    /// A target as it is registered.
    pub struct TargetEntry {
        /// The name under which the target answers for itself.
        pub name: String,
        /// The service.
        pub service: String,
        /// The address.
        pub address: SocketAddr,
        /// The failure domain.
        pub domain: String,
        /// The requests that it runs at once.
        pub slots: u32,
        /// What it says of its work.
        pub state: TargetState,
        /// The start of the target, in Unix milliseconds; tells starts under one name apart.
        pub started_unix_ms: u64,
        /// The store's revision of the entry.
        pub revision: u64,
    }
}

impl TargetEntry {
    /// Returns the identifier of this start of the target.
    pub fn id(&self) -> TargetId {
        // Half of the hash tells a fleet's targets apart and keeps reports short.
        TargetId(xxh3_64_with_seed(self.name.as_bytes(), self.started_unix_ms) >> 32)
    }
}

plain_data! {
    /// A statement of the store about one target.
    pub enum TargetChange {
        /// The target is registered so.
        Present(TargetEntry),
        /// The entry was removed, or names no usable target.
        Removed {
            /// The name of the target.
            name: String,
            /// The store's revision of the removal.
            revision: u64,
        },
    }
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReachability {
    /// It has answered since this time.
    Reachable(MonotonicTime),
    /// It has not answered since this time.
    Unreachable(MonotonicTime),
}

/// An entry with the router's own belief about it.
#[derive(Debug, Clone)]
struct BookedTarget {
    entry: TargetEntry,
    /// The time at which the entry went missing, where that may be a lapse.
    missing_since: Option<MonotonicTime>,
}

/// The targets that a router knows.
#[derive(Debug, Clone)]
pub struct TargetTable {
    targets: HashMap<String, BookedTarget>,
    removals: HashMap<String, (u64, MonotonicTime)>,
    reachability: StoreReachability,
    /// The newest revision that changed the book.
    change_revision: u64,
}

plain_data! {
    /// The targets as one router knows them, for another router.
    #[derive(Default)]
    pub struct TargetSnapshot {
        /// The registered targets.
        pub entries: Vec<TargetEntry>,
        /// The names of removed targets with the revisions of their removals.
        pub removals: Vec<(String, u64)>,
        /// The newest revision that changed the book.
        pub change_revision: u64,
        /// Whether an entry that is neither listed nor removed is gone as well.
        pub is_complete: bool,
    }
}

impl TargetTable {
    /// Creates an empty book; the store has not answered yet.
    pub fn new(now: MonotonicTime) -> TargetTable {
        TargetTable {
            targets: HashMap::new(),
            removals: HashMap::new(),
            reachability: StoreReachability::Unreachable(now),
            change_revision: 0,
        }
    }

    /// Notes whether the store answers; returns whether that is a change.
    pub fn record_contact(&mut self, now: MonotonicTime, is_present: bool) -> bool {
        match (self.reachability, is_present) {
            (StoreReachability::Reachable(_), true)
            | (StoreReachability::Unreachable(_), false) => false,
            (_, true) => {
                self.reachability = StoreReachability::Reachable(now);
                true
            }
            (_, false) => {
                self.reachability = StoreReachability::Unreachable(now);
                true
            }
        }
    }

    /// Returns whether the store answers.
    pub fn reachability(&self) -> StoreReachability {
        self.reachability
    }

    /// Returns the newest revision that changed the book.
    pub fn change_revision(&self) -> u64 {
        self.change_revision
    }

    /// Returns a target by its identifier.
    pub fn find(&self, target: TargetId) -> Option<&TargetEntry> {
        self.entries().find(|entry| entry.id() == target)
    }

    /// Returns a digest of the entries, the same in books that hold the same.
    pub fn digest(&self) -> u64 {
        self.entries().fold(0, |digest, entry| {
            let state = entry.state as u64;
            digest ^ xxh3_64_with_seed(entry.name.as_bytes(), entry.revision * 2 + state)
        })
    }

    /// Returns what another router may take over; `is_complete` where the store's answers have
    /// been without a gap for longer than entries take to come back.
    pub fn snapshot(&self, is_complete: bool) -> TargetSnapshot {
        let removals = self.removals.iter().map(|(name, (revision, _))| (name.clone(), *revision));
        TargetSnapshot {
            entries: self.entries().cloned().collect(),
            removals: removals.collect(),
            change_revision: self.change_revision,
            is_complete,
        }
    }

    /// Takes over what another router knows; its removals are certain.
    pub fn merge(&mut self, now: MonotonicTime, snapshot: TargetSnapshot) {
        if snapshot.is_complete {
            self.remove_unlisted(now, &snapshot);
        }
        for entry in snapshot.entries {
            self.insert(entry);
        }
        for (name, revision) in snapshot.removals {
            if self.targets.get(&name).is_some_and(|known| known.entry.revision <= revision) {
                self.targets.remove(&name);
            }
            self.removals.insert(name, (revision, now));
        }
        self.change_revision = self.change_revision.max(snapshot.change_revision);
    }

    /// Takes in one statement; returns whether it changed what may be sent where.
    pub fn apply(&mut self, now: MonotonicTime, change: TargetChange) -> bool {
        match change {
            TargetChange::Present(entry) => self.insert(entry),
            TargetChange::Removed { name, revision } => self.remove(now, &name, revision),
        }
    }

    /// Takes in a complete list at a revision; entries that it lacks are gone or have lapsed.
    pub fn replace(&mut self, now: MonotonicTime, entries: Vec<TargetEntry>, revision: u64) {
        let listed: Vec<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        for entry in entries {
            self.insert(entry);
        }
        let mut absent: Vec<String> = Vec::new();
        for (name, target) in &self.targets {
            if target.entry.revision <= revision && !listed.contains(name) {
                absent.push(name.clone());
            }
        }
        for name in absent {
            self.remove(now, &name, revision);
        }
    }

    /// Drops the targets whose entries did not come back in time; returns their names.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<String> {
        self.removals.retain(|_, (_, time)| now.since(*time) < REMOVAL_MEMORY);
        let StoreReachability::Reachable(since) = self.reachability else {
            return Vec::new();
        };
        if now.since(since) < REREGISTRATION_GRACE {
            return Vec::new();
        }
        let missing = self.targets.iter().filter(|(_, target)| target.missing_since.is_some());
        let names: Vec<String> = missing.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove_for_good(now, name);
        }
        names
    }

    /// Returns the targets of a service that take requests.
    pub fn ready_targets(&self, service: &str) -> impl Iterator<Item = &TargetEntry> {
        self.entries()
            .filter(move |entry| entry.service == service && entry.state == TargetState::Ready)
    }

    /// Returns all registered targets.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|target| &target.entry)
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Removes entries that a complete snapshot, no older than they are, lacks.
    fn remove_unlisted(&mut self, now: MonotonicTime, snapshot: &TargetSnapshot) {
        let is_listed = |name: &String| snapshot.entries.iter().any(|entry| entry.name == *name);
        let unlisted = self.targets.iter().filter(|(name, target)| {
            target.entry.revision <= snapshot.change_revision && !is_listed(name)
        });
        let names: Vec<String> = unlisted.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.remove_for_good(now, &name);
        }
    }

    /// Removes a target whose removal no statement of the store dates.
    fn remove_for_good(&mut self, now: MonotonicTime, name: &str) {
        if let Some(target) = self.targets.remove(name) {
            self.removals.insert(name.to_owned(), (target.entry.revision, now));
        }
    }

    fn insert(&mut self, entry: TargetEntry) -> bool {
        if self.removals.get(&entry.name).is_some_and(|(revision, _)| *revision >= entry.revision) {
            return false;
        }
        match self.targets.get_mut(&entry.name) {
            Some(known) if known.entry.revision > entry.revision => false,
            Some(known) => {
                let is_change = known.entry != entry || known.missing_since.is_some();
                self.change_revision = self.change_revision.max(entry.revision);
                known.entry = entry;
                known.missing_since = None;
                is_change
            }
            None => {
                self.change_revision = self.change_revision.max(entry.revision);
                let target = BookedTarget { entry, missing_since: None };
                self.targets.insert(target.entry.name.clone(), target);
                true
            }
        }
    }

    fn remove(&mut self, now: MonotonicTime, name: &str, revision: u64) -> bool {
        let may_be_lapse = match self.reachability {
            StoreReachability::Unreachable(_) => true,
            StoreReachability::Reachable(since) => now.since(since) < REREGISTRATION_GRACE,
        };
        let Some(known) = self.targets.get_mut(name) else {
            self.removals.insert(name.to_owned(), (revision, now));
            return false;
        };
        if known.entry.revision > revision {
            return false;
        }
        // A target that was draining has left for good.
        if may_be_lapse && known.entry.state == TargetState::Ready {
            known.missing_since.get_or_insert(now);
            return false;
        }
        self.targets.remove(name);
        self.removals.insert(name.to_owned(), (revision, now));
        self.change_revision = self.change_revision.max(revision);
        true
    }
}
