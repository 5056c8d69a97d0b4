//! What a router reports to the other routers, and what it takes over from their reports.

use jackdaw_base::{MonotonicTime, ProcessIncarnation};

use crate::direct::direct_router::DirectRouter;
use crate::direct::fleet::peer_report::PeerReport;
use crate::direct::fleet::watch_election::{FetchBasis, FetchUrgency, FleetVersions, StoreStatus};
use crate::direct::targets::prefill_window::PrefillUsage;
use crate::direct::targets::target_limits::{LimitChange, LimitUsage};
use crate::direct::targets::target_table::{StoreContact, StoreReachability};

impl DirectRouter {
    /// Returns the number of other routers that currently report.
    pub fn peer_count(&self) -> usize {
        self.loads.peer_count()
    }

    /// Returns whether there are other routers, or may be.
    pub fn expects_others(&self) -> bool {
        self.policy.expects_others || self.has_members()
    }

    /// Returns whether there are other routers, even if none of them is heard now.
    pub fn has_members(&self) -> bool {
        !self.roster.is_empty()
    }

    /// Returns the next report for the other routers.
    pub fn report(&mut self, now: MonotonicTime) -> PeerReport {
        self.next_report += 1;
        PeerReport {
            incarnation: self.incarnation,
            sequence: self.next_report,
            versions: self.versions(),
            domain: self.policy.domain.clone(),
            store_status: self.store_status(now),
            targets: self.loads.own_usage(),
            customers: self.ledger.own_usage(now),
            crashes: Vec::new(),
            refused: self.refusals.recent(now),
        }
    }

    /// Returns this router's recent prefills for its report.
    pub fn prefill_usage(&mut self, now: MonotonicTime) -> Vec<PrefillUsage> {
        self.prefills.own_usage(now)
    }

    /// Applies the recent prefills that another router reported with its latest report.
    pub fn apply_prefill(&mut self, incarnation: ProcessIncarnation, usages: &[PrefillUsage]) {
        if incarnation != self.incarnation {
            self.prefills.apply_report(incarnation, usages);
        }
    }

    /// Returns this router's usage of limited targets for its report.
    pub fn limit_usage(&self, now: MonotonicTime) -> Vec<LimitUsage> {
        self.limits.own_usage(now)
    }

    /// Applies the usage of limited targets that another router reported with its latest report;
    /// returns the targets whose limit this changes.
    pub fn apply_limits(
        &mut self,
        now: MonotonicTime,
        incarnation: ProcessIncarnation,
        usages: &[LimitUsage],
    ) -> Vec<LimitChange> {
        if incarnation == self.incarnation {
            return Vec::new();
        }
        self.limits.apply_report(now, incarnation, usages)
    }

    /// Returns the versions of the configuration and the targets that this router knows.
    pub fn versions(&self) -> FleetVersions {
        FleetVersions {
            config: self.config_version(),
            targets_revision: self.targets.change_revision(),
            targets_digest: self.targets.digest(),
        }
    }

    /// Returns how urgently to fetch the state of another router, given its versions and its connection
    /// to the store. `versions` are those of this router.
    pub fn fetch_urgency(
        &self,
        now: MonotonicTime,
        versions: &FleetVersions,
        peer: (&FleetVersions, StoreStatus),
    ) -> FetchUrgency {
        let basis = FetchBasis {
            versions,
            store_status: self.store_status(now),
            missing_targets: self.targets.missing_count(),
        };
        self.watch.fetch_urgency(basis, peer)
    }

    /// Records the router's contact with the store; returns whether its reachability changed.
    pub fn record_store_contact(&mut self, now: MonotonicTime, contact: StoreContact) -> bool {
        let is_start = matches!(self.targets.reachability(), StoreReachability::Unwatched { .. });
        match contact {
            StoreContact::Answered => {
                if is_start && self.watch.has_recent_outage(now) {
                    // Others saw an outage that this router, which did not watch, has missed.
                    self.targets.record_contact(now, StoreContact::Failed);
                }
                self.watch.record_store_call(now, true);
            }
            StoreContact::Failed => self.watch.record_store_call(now, false),
            StoreContact::Ended => {}
        }
        self.targets.record_contact(now, contact)
    }

    /// Returns this router's connection to the store.
    pub fn store_status(&self, now: MonotonicTime) -> StoreStatus {
        if self.watch.is_store_unreachable(now) {
            return StoreStatus::Unreachable;
        }
        match self.targets.reachability() {
            StoreReachability::Unreachable | StoreReachability::Unwatched { .. } => {
                StoreStatus::NotWatching
            }
            StoreReachability::Reachable { settled_at } if now < settled_at => {
                StoreStatus::Recovering
            }
            // Targets that are withheld are missing from the table.
            StoreReachability::Reachable { .. } if !self.gate.is_empty() => StoreStatus::Recovering,
            StoreReachability::Reachable { .. } => StoreStatus::Stable,
        }
    }

    /// Applies another router's report; returns whether it is newer than the router's last one.
    pub fn apply_report(&mut self, now: MonotonicTime, report: &PeerReport) -> bool {
        let PeerReport { incarnation, sequence, .. } = *report;
        if incarnation == self.incarnation {
            return false;
        }
        if !self.loads.apply_report(now, incarnation, sequence, &report.targets) {
            return false;
        }
        self.ledger.apply_report(incarnation, &report.customers);
        self.refusals.apply_report(now, &report.refused);
        true
    }
}
