//! The other routers, as known from their reports.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    FetchUrgency, HolderMember, HolderPeer, PeerReport, PeerStatus, PlanPeer, ReportPlan,
    StoreStatus, WatchPeer, introduce_peers, needs_introduction, plan_reports,
};
use rand::seq::IteratorRandom;

use crate::edge_state::EdgeState;
use crate::report_datagram::{ReportDetails, RouterReport};

/// Silence after which a router is removed and gets no more reports.
const PEER_EXPIRY: Duration = Duration::from_secs(6);

/// How long a peer must have newer versions before a router that watches the store fetches the
/// peer's snapshot. A working watch delivers the same changes within this time.
const AHEAD_TOLERANCE: Duration = Duration::from_millis(350);

/// Minimum silence after which a router is no longer relied on to watch the store or to relay
/// reports. Together with the time to take over, changes arrive within the two seconds that the
/// strictest known deployment allows.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Report periods without a report after which a router is no longer relied on, if that is longer
/// than `MIN_SILENCE_TIMEOUT`.
const SILENCE_PERIODS: u32 = 3;

/// State kept for another router.
#[derive(Debug, Clone, Default)]
struct PeerRecord {
    last: Option<ReceivedReport>,
    /// Since when the router has had newer versions than this one.
    ahead_since: Option<Instant>,
}

/// The latest report of another router.
#[derive(Debug, Clone)]
struct ReceivedReport {
    time: Instant,
    report: PeerReport,
    details: ReportDetails,
    is_same_domain: bool,
}

impl ReceivedReport {
    fn is_recent(&self, timeout: Duration) -> bool {
        self.time.elapsed() < timeout
    }
}

/// The other routers, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRecord>,
    report_period: Duration,
}

impl PeerRecord {
    fn is_same_domain(&self) -> bool {
        self.last.as_ref().is_some_and(|last| last.is_same_domain)
    }
}

impl PeerTable {
    /// Adds a router that reports are sent to.
    pub(crate) fn add(&mut self, ip: Ipv4Addr) {
        self.peers.entry(ip).or_default();
    }

    /// Returns the routers that reports have been received from.
    pub(crate) fn reporting(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, record)| record.last.is_some()).map(|(ip, _)| *ip).collect()
    }

    /// Returns the routers in the same failure domain.
    pub(crate) fn domain_peers(&self) -> Vec<Ipv4Addr> {
        let same_domain = self.peers.iter().filter(|(_, record)| record.is_same_domain());
        same_domain.map(|(ip, _)| *ip).collect()
    }

    /// Returns the latest reports of routers in the same failure domain, without those that fell
    /// silent.
    pub(crate) fn domain_reports(&self) -> Vec<(RouterReport, ReportDetails)> {
        let last = self.peers.iter().filter_map(|(ip, record)| Some((ip, record.last.as_ref()?)));
        let same_domain =
            last.filter(|(_, last)| last.is_same_domain && last.is_recent(self.silence_timeout()));
        let reports = same_domain.map(|(ip, last)| {
            let mut details = last.details.clone();
            for usage in &mut details.limits {
                usage.statement =
                    usage.statement.map(|statement| statement.aged(last.time.elapsed()));
            }
            (RouterReport { address: *ip, report: last.report.clone() }, details)
        });
        reports.collect()
    }

    /// Returns the receivers of the reports of one period.
    pub(crate) fn plan(&self, state: &EdgeState, period: u64) -> ReportPlan {
        let incarnation = state.router().incarnation();
        plan_reports(incarnation, &state.settings().domain, &self.plan_peers(), period)
    }

    /// Returns whether a report that its router sent directly is to be answered with an
    /// introduction. Must be called before the report is recorded.
    pub(crate) fn needs_introduction(
        &self,
        state: &EdgeState,
        sender: Ipv4Addr,
        report: &PeerReport,
    ) -> bool {
        let is_first = self.peers.get(&sender).is_none_or(|record| record.last.is_none());
        needs_introduction(is_first, &report.domain, &state.settings().domain, self.peers.len())
    }

    /// Returns the routers to introduce to one of the failure domain `domain`.
    pub(crate) fn introduction(&self, domain: &str) -> Vec<Ipv4Addr> {
        introduce_peers(domain, &self.plan_peers())
    }

    /// Returns the routers that report, as possible keepers of streams.
    pub(crate) fn holder_peers(&self) -> Vec<HolderPeer<'_>> {
        let timeout = self.silence_timeout();
        let peers = self.peers.iter().filter_map(|(ip, record)| {
            let last = record.last.as_ref().filter(|last| last.is_recent(timeout))?;
            Some(HolderPeer { address: *ip, domain: &last.report.domain })
        });
        peers.collect()
    }

    /// Returns the routers of the same failure domain that reach the store, in the order in which they are
    /// elected to watch it.
    pub(crate) fn domain_watchers(&self) -> Vec<(ProcessIncarnation, Ipv4Addr)> {
        let timeout = self.silence_timeout();
        let watchers = self.peers.iter().filter_map(|(ip, record)| {
            let last = record.last.as_ref()?;
            let reaches_store = last.report.store_status != StoreStatus::Unreachable;
            let is_watcher = last.is_same_domain && last.is_recent(timeout) && reaches_store;
            is_watcher.then_some((last.report.incarnation, *ip))
        });
        let mut watchers: Vec<_> = watchers.collect();
        watchers.sort_unstable();
        watchers
    }

    /// Returns the routers that may keep streams, with their incarnations.
    pub(crate) fn holder_members(&self) -> BTreeMap<Ipv4Addr, HolderMember> {
        let timeout = self.silence_timeout();
        let members = self.peers.iter().filter_map(|(ip, record)| {
            let last = record.last.as_ref().filter(|last| last.is_recent(timeout))?;
            let PeerReport { incarnation, domain, .. } = &last.report;
            Some((*ip, HolderMember { incarnation: *incarnation, domain: domain.clone() }))
        });
        members.collect()
    }

    fn plan_peers(&self) -> Vec<PlanPeer<'_>> {
        let timeout = self.silence_timeout();
        let peers = self.peers.iter().map(|(ip, record)| PlanPeer {
            address: *ip,
            status: record.last.as_ref().map(|last| PeerStatus {
                incarnation: last.report.incarnation,
                domain: &last.report.domain,
                is_recent: last.is_recent(timeout),
            }),
        });
        peers.collect()
    }

    /// Returns the number of known routers.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Stores a report that is newer than the previous one of the same router.
    pub(crate) fn record(
        &mut self,
        state: &EdgeState,
        sender: Ipv4Addr,
        report: &PeerReport,
        details: ReportDetails,
    ) {
        let record = self.peers.entry(sender).or_default();
        if record.last.is_none() {
            log::info!(peer:% = sender, domain:% = report.domain; "first report from router");
        }
        let now = Instant::now();
        record.last = Some(ReceivedReport {
            time: now,
            report: report.clone(),
            details,
            is_same_domain: report.domain == state.settings().domain,
        });
        let router = state.router();
        let peer = (&report.versions, report.store_status);
        record.ahead_since = match router.fetch_urgency(state.now(), &router.versions(), peer) {
            FetchUrgency::None => None,
            FetchUrgency::Deferred | FetchUrgency::Immediate => {
                Some(record.ahead_since.unwrap_or(now))
            }
        };
    }

    /// Sets this router's current report period, which is assumed for the other routers as well.
    pub(crate) fn set_report_period(&mut self, period: Duration) {
        self.report_period = period;
    }

    fn silence_timeout(&self) -> Duration {
        MIN_SILENCE_TIMEOUT.max(self.report_period * SILENCE_PERIODS)
    }

    /// Removes routers that fell silent. Seeds stay, but their last report is dropped.
    pub(crate) fn expire(&mut self, seeds: &[Ipv4Addr]) {
        self.peers.retain(|ip, record| {
            let last = record.last.as_ref();
            let is_silent = last.is_some_and(|last| last.time.elapsed() > PEER_EXPIRY);
            if is_silent {
                log::info!(peer:% = ip; "router stopped reporting");
                *record = PeerRecord::default();
            }
            !is_silent || seeds.contains(ip)
        });
    }

    /// Reviews whether this router has to watch the store, and logs a change.
    pub(crate) fn review_watch(&self, state: &EdgeState) {
        let timeout = self.silence_timeout();
        let same_domain = self.peers.values().filter_map(|record| record.last.as_ref());
        let same_domain = same_domain.filter(|last| last.is_same_domain && last.is_recent(timeout));
        let watch_peer = |last: &ReceivedReport| WatchPeer {
            incarnation: last.report.incarnation,
            store_status: last.report.store_status,
        };
        let same_domain: Vec<WatchPeer> = same_domain.map(watch_peer).collect();
        let mut router = state.router();
        let own = router.incarnation();
        let heard = same_domain.len();
        let now = state.now();
        if !router.watch.update(now, own, same_domain.into_iter()) {
            return;
        }
        let is_watching = router.watch.is_watching();
        let has_fetch_failed = router.watch.has_fetch_failed(now);
        log::info!(is_watching, heard, has_fetch_failed; "store watch assignment changed");
        drop(router);
        state.notify_watch_review();
    }

    /// Returns a router to fetch a snapshot from, preferably one in the same failure domain.
    pub(crate) fn snapshot_source(&self, state: &EdgeState) -> Option<Ipv4Addr> {
        let router = state.router();
        let (now, versions) = (state.now(), router.versions());
        let wanted = self.peers.iter().filter(|(_, record)| {
            let since = record.ahead_since.map_or(Duration::ZERO, |since| since.elapsed());
            record.last.as_ref().is_some_and(|last| {
                let peer = (&last.report.versions, last.report.store_status);
                match router.fetch_urgency(now, &versions, peer) {
                    FetchUrgency::None => false,
                    FetchUrgency::Deferred => since >= AHEAD_TOLERANCE,
                    FetchUrgency::Immediate => true,
                }
            })
        });
        // Random choice spreads the fetches over the available routers.
        let wanted: Vec<_> = wanted.collect();
        let same_domain = wanted.iter().filter(|(_, record)| record.is_same_domain());
        let chosen =
            same_domain.choose(&mut rand::rng()).or_else(|| wanted.iter().choose(&mut rand::rng()));
        chosen.map(|(ip, _)| **ip)
    }
}
