//! Which routers watch the platform's store.
//!
//! The platform counts every watch, so a few routers of each failure domain watch and the others
//! learn changes from them. A router watches while fewer than [`WATCHERS_PER_DOMAIN`] others
//! with lower incarnations are heard in its failure domain; it watches too while it cannot
//! fetch what others know.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, plain_data};

/// Watching routers of a failure domain: one of them may fail without a pause in the news.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Time for which a router counts as out of the store's reach after a failed call. It is longer
/// than the longest pause between two calls, so that a router that goes on failing stays so.
const AWAY_SPAN: Duration = Duration::from_secs(5);

/// Time for which a router watches after another router could not be asked.
const ALONE_SPAN: Duration = Duration::from_secs(5);

plain_data! {
    copy
    /// What a router has of the platform's store.
    pub enum StoreStatus {
        /// It does not watch, but could.
        NotWatching,
        /// The store answers it; entries of targets may not all be back after an outage.
        Recovering,
        /// The store answers it, and all entries had time to come back.
        Stable,
        /// Its last calls failed.
        Unreachable,
    }
}

plain_data! {
    copy
    /// How new a router's configuration and targets are.
    pub struct FleetVersions {
        /// The version of the configuration in force; zero for none.
        pub config: u64,
        /// The newest revision of the store that changed what is known of the targets.
        pub targets_revision: u64,
        /// The digest of the known targets.
        pub targets_digest: u64,
    }
}

/// How urgently another router is to be asked for what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchUrgency {
    /// It knows nothing newer.
    None,
    /// This router's own watch should bring the same within moments.
    Deferred,
    /// This router does not learn it otherwise.
    Immediate,
}

/// Another router of the same failure domain.
#[derive(Debug, Clone, Copy)]
pub struct WatchPeer {
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// What it has of the store.
    pub store_status: StoreStatus,
}

/// Whether this router watches the store, and why.
#[derive(Debug, Clone)]
pub struct WatchElection {
    is_watching: bool,
    store_failed: Option<MonotonicTime>,
    fetch_failed: Option<MonotonicTime>,
}

impl Default for WatchElection {
    /// A router that has heard of no other watches.
    fn default() -> WatchElection {
        WatchElection { is_watching: true, store_failed: None, fetch_failed: None }
    }
}

impl WatchElection {
    /// Returns whether this router watches.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Notes whether a call to the store was answered.
    pub fn record_store_call(&mut self, now: MonotonicTime, is_answered: bool) {
        self.store_failed = (!is_answered).then_some(now);
    }

    /// Notes that another router could not be asked.
    pub fn record_failed_fetch(&mut self, now: MonotonicTime) {
        self.fetch_failed = Some(now);
    }

    /// Returns whether calls to the store failed lately.
    pub fn is_store_unreachable(&self, now: MonotonicTime) -> bool {
        self.store_failed.is_some_and(|time| now.since(time) < AWAY_SPAN)
    }

    /// Returns whether to ask another router, given both routers' versions.
    pub fn fetch_urgency(
        &self,
        own: &FleetVersions,
        peer: &FleetVersions,
        store_status: StoreStatus,
    ) -> FetchUrgency {
        let is_ahead = peer.config > own.config || peer.targets_revision > own.targets_revision;
        // Entries that lapse change the targets without a revision of their own.
        let has_other_targets = store_status == StoreStatus::Stable
            && peer.targets_digest != own.targets_digest
            && peer.targets_revision >= own.targets_revision;
        match self.is_watching && own.config > 0 {
            true if is_ahead => FetchUrgency::Deferred,
            false if is_ahead || has_other_targets => FetchUrgency::Immediate,
            _ => FetchUrgency::None,
        }
    }

    /// Decides anew by the routers heard in the failure domain; returns whether that is a change.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        own: ProcessIncarnation,
        peers: impl Iterator<Item = WatchPeer>,
    ) -> bool {
        let is_away = self.is_store_unreachable(now);
        let is_ahead = |peer: &WatchPeer| {
            peer.store_status != StoreStatus::Unreachable && (is_away || peer.incarnation.0 < own.0)
        };
        let is_alone = self.fetch_failed.is_some_and(|time| now.since(time) < ALONE_SPAN);
        let before = self.is_watching;
        self.is_watching = is_alone || peers.filter(is_ahead).count() < WATCHERS_PER_DOMAIN;
        self.is_watching != before
    }
}
