//! Election of the routers that watch the platform's store.
//!
//! The platform counts every watch, so only a few routers of each failure domain watch the store
//! and the others fetch changes from them. A router watches while it receives reports from fewer
//! than [`WATCHERS_PER_DOMAIN`] routers of its failure domain with lower incarnations, and while it
//! cannot fetch state from other routers.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, plain_data};

use crate::direct::store_revision::{REREGISTRATION_GRACE, StoreRevision};

/// Routers per failure domain that watch the store; with two, changes keep arriving if one fails.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Time after a failed call for which the store counts as unreachable. It is longer than the
/// longest pause between two calls, so that the status persists while calls keep failing.
const UNREACHABLE_SPAN: Duration = Duration::from_secs(5);

/// Longest pause between calls that fail, for the routers that always watch and for all others. In
/// an outage every router takes over in turn, and the calls of a large fleet would add up.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(800), Duration::from_secs(4));

/// Time for which a router watches the store after it failed to fetch from another router.
const FETCH_FALLBACK_SPAN: Duration = Duration::from_secs(5);

plain_data! {
    copy
    /// Connection of a router to the platform's store.
    pub enum StoreStatus {
        /// The router does not watch the store, but is able to.
        NotWatching,
        /// The store answers; after an outage, some targets may not have registered again yet.
        Recovering,
        /// The store answers, and all targets have had time to register again.
        Stable,
        /// The latest calls to the store failed.
        Unreachable,
    }
}

plain_data! {
    copy
    /// Versions of the configuration and the targets that a router knows.
    pub struct FleetVersions {
        /// Version of the active configuration; zero if there is none.
        pub config: u64,
        /// Latest store revision that changed the known targets.
        pub targets_revision: StoreRevision,
        /// Digest of the known targets.
        pub targets_digest: u64,
    }
}

/// How urgently this router should fetch the state of another router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchUrgency {
    /// The other router has no newer state.
    None,
    /// The other router is ahead, or knows which missing targets are gone, but this router's own watch
    /// should settle that shortly.
    Deferred,
    /// The other router is ahead and this router has no other source for the change.
    Immediate,
}

/// What this router knows when it decides whether to fetch the state of another one.
#[derive(Debug, Clone, Copy)]
pub struct FetchBasis<'a> {
    /// Versions of the configuration and the targets.
    pub versions: &'a FleetVersions,
    /// Connection to the store.
    pub store_status: StoreStatus,
    /// Number of targets whose entry is gone but may only have expired.
    pub missing_targets: usize,
}

/// Another router of the same failure domain.
#[derive(Debug, Clone, Copy)]
pub struct WatchPeer {
    /// Incarnation of the router.
    pub incarnation: ProcessIncarnation,
    /// Connection of the router to the store.
    pub store_status: StoreStatus,
}

/// Decides whether this router watches the store.
#[derive(Debug, Clone)]
pub struct WatchElection {
    is_watching: bool,
    /// Whether the router watches even if all others reach the store.
    is_primary: bool,
    /// Whether the router precedes all others of its failure domain that reach the store.
    is_first: bool,
    store_failed_at: Option<MonotonicTime>,
    fetch_failed_at: Option<MonotonicTime>,
    /// Time until which a router that begins to watch has to expect an outage that just ended.
    outage_known_until: Option<MonotonicTime>,
}

impl Default for WatchElection {
    /// Returns the initial state: a router that knows no other router watches.
    fn default() -> WatchElection {
        WatchElection {
            is_watching: true,
            is_primary: true,
            is_first: true,
            store_failed_at: None,
            fetch_failed_at: None,
            outage_known_until: None,
        }
    }
}

impl WatchElection {
    /// Returns whether this router is to watch the store.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns whether this router writes for its failure domain what the store is to keep of streams.
    pub fn is_keeper(&self) -> bool {
        self.is_watching && self.is_first
    }

    /// Returns the longest pause between two calls to the store that fail.
    pub fn longest_retry_pause(&self) -> Duration {
        if self.is_primary { RETRY_PAUSES.0 } else { RETRY_PAUSES.1 }
    }

    /// Records whether a call to the store was answered.
    pub fn record_store_call(&mut self, now: MonotonicTime, is_answered: bool) {
        self.store_failed_at = (!is_answered).then_some(now);
    }

    /// Records that fetching state from another router failed.
    pub fn record_failed_fetch(&mut self, now: MonotonicTime) {
        self.fetch_failed_at = Some(now);
    }

    /// Returns whether a fetch failed so recently that this router watches the store itself.
    pub fn has_fetch_failed(&self, now: MonotonicTime) -> bool {
        self.fetch_failed_at.is_some_and(|time| now.since(time) < FETCH_FALLBACK_SPAN)
    }

    /// Returns whether the latest call to the store failed within the last seconds.
    pub fn is_store_unreachable(&self, now: MonotonicTime) -> bool {
        self.store_failed_at.is_some_and(|time| now.since(time) < UNREACHABLE_SPAN)
    }

    /// Returns whether the other routers reported an outage of the store so recently that targets may
    /// not have registered again yet.
    pub fn has_recent_outage(&self, now: MonotonicTime) -> bool {
        self.outage_known_until.is_some_and(|time| now < time)
    }

    /// Returns how urgently to fetch from another router, given its versions and its connection to the
    /// store.
    pub fn fetch_urgency(
        &self,
        basis: FetchBasis<'_>,
        (peer, peer_status): (&FleetVersions, StoreStatus),
    ) -> FetchUrgency {
        let own = basis.versions;
        let is_ahead = peer.config > own.config || peer.targets_revision > own.targets_revision;
        // Expired entries change the targets without a revision of their own.
        let has_different_targets = peer_status == StoreStatus::Stable
            && peer.targets_digest != own.targets_digest
            && peer.targets_revision >= own.targets_revision;
        // A router that the store answered all the time knows which missing entries have expired, also
        // if it is a few other changes behind.
        let may_differ = has_different_targets
            || (basis.missing_targets > 0 && peer_status == StoreStatus::Stable);
        let needs_decision = may_differ && basis.store_status != StoreStatus::Stable;
        match self.is_watching && own.config > 0 {
            true if is_ahead || needs_decision => FetchUrgency::Deferred,
            false if is_ahead || has_different_targets => FetchUrgency::Immediate,
            _ => FetchUrgency::None,
        }
    }

    /// Updates the decision from the other routers that report in the failure domain; returns
    /// whether it changed.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        own: ProcessIncarnation,
        peers: impl Iterator<Item = WatchPeer>,
    ) -> bool {
        let is_unreachable = self.is_store_unreachable(now);
        let has_precedence = |peer: &WatchPeer| {
            peer.store_status != StoreStatus::Unreachable
                && (is_unreachable || peer.incarnation.0 < own.0)
        };
        let has_fetch_failed = self.has_fetch_failed(now);
        let was_watching = self.is_watching;
        let (mut lower, mut preceding) = (0, 0);
        let (mut has_stable, mut has_unreachable) = (false, false);
        for peer in peers {
            lower += usize::from(peer.incarnation.0 < own.0);
            preceding += usize::from(has_precedence(&peer));
            has_stable |= peer.store_status == StoreStatus::Stable;
            has_unreachable |= peer.store_status == StoreStatus::Unreachable;
        }
        // A store that answers one router all the time turned the others away.
        match (has_stable, has_unreachable) {
            (true, _) => self.outage_known_until = None,
            (false, true) => self.outage_known_until = Some(now.after(REREGISTRATION_GRACE)),
            (false, false) => {}
        }
        self.is_primary = lower < WATCHERS_PER_DOMAIN;
        self.is_first = preceding == 0;
        self.is_watching = has_fetch_failed || preceding < WATCHERS_PER_DOMAIN;
        self.is_watching != was_watching
    }
}
