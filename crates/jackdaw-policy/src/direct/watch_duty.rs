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
    pub enum StoreStanding {
        /// It does not watch, but could.
        Idle,
        /// The store answers it; entries of targets may not all be back after an outage.
        Returning,
        /// The store answers it, and all entries had time to come back.
        Settled,
        /// Its last calls failed.
        Away,
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
pub enum NewsNeed {
    /// It knows nothing newer.
    None,
    /// This router's own watch should bring the same within moments.
    Later,
    /// This router does not learn it otherwise.
    Now,
}

/// Another router of the same failure domain.
#[derive(Debug, Clone, Copy)]
pub struct WatchPeer {
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// What it has of the store.
    pub standing: StoreStanding,
}

/// Whether this router watches the store, and why.
#[derive(Debug, Clone)]
pub struct WatchDuty {
    is_held: bool,
    store_failed: Option<MonotonicTime>,
    fetch_failed: Option<MonotonicTime>,
}

impl Default for WatchDuty {
    /// A router that has heard of no other watches.
    fn default() -> WatchDuty {
        WatchDuty { is_held: true, store_failed: None, fetch_failed: None }
    }
}

impl WatchDuty {
    /// Returns whether this router watches.
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    /// Notes whether a call to the store was answered.
    pub fn note_store(&mut self, now: MonotonicTime, is_answered: bool) {
        self.store_failed = (!is_answered).then_some(now);
    }

    /// Notes that another router could not be asked.
    pub fn note_failed_fetch(&mut self, now: MonotonicTime) {
        self.fetch_failed = Some(now);
    }

    /// Returns whether calls to the store failed lately.
    pub fn is_away(&self, now: MonotonicTime) -> bool {
        self.store_failed.is_some_and(|time| now.since(time) < AWAY_SPAN)
    }

    /// Returns whether to ask another router, given both routers' versions.
    pub fn news_need(
        &self,
        own: &FleetVersions,
        peer: &FleetVersions,
        standing: StoreStanding,
    ) -> NewsNeed {
        let is_ahead = peer.config > own.config || peer.targets_revision > own.targets_revision;
        // Entries that lapse change the targets without a revision of their own.
        let has_other_targets = standing == StoreStanding::Settled
            && peer.targets_digest != own.targets_digest
            && peer.targets_revision >= own.targets_revision;
        match self.is_held && own.config > 0 {
            true if is_ahead => NewsNeed::Later,
            false if is_ahead || has_other_targets => NewsNeed::Now,
            _ => NewsNeed::None,
        }
    }

    /// Decides anew by the routers heard in the failure domain; returns whether that is a change.
    pub fn review(
        &mut self,
        now: MonotonicTime,
        own: ProcessIncarnation,
        peers: impl Iterator<Item = WatchPeer>,
    ) -> bool {
        let is_away = self.is_away(now);
        let is_ahead = |peer: &WatchPeer| {
            peer.standing != StoreStanding::Away && (is_away || peer.incarnation.0 < own.0)
        };
        let is_alone = self.fetch_failed.is_some_and(|time| now.since(time) < ALONE_SPAN);
        let before = self.is_held;
        self.is_held = is_alone || peers.filter(is_ahead).count() < WATCHERS_PER_DOMAIN;
        self.is_held != before
    }
}
