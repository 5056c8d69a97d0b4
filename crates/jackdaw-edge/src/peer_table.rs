//! What a router knows of the others by their reports.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use jackdaw_base::plain_data;
use jackdaw_policy::direct::{
    FetchUrgency, PeerReport, PeerStatus, PlanPeer, ReportPlan, WatchPeer, plan_reports,
};
use rand::seq::IteratorRandom;

use crate::edge_state::EdgeState;

/// Time after which a silent router gets no more reports.
const PEER_EXPIRY: Duration = Duration::from_secs(6);

/// Time for which another router must be ahead before its snapshot is fetched by one that
/// watches the store; the watch brings the same news within this time where it works.
const AHEAD_TOLERANCE: Duration = Duration::from_millis(350);

/// The shortest silence after which a router is not counted on to watch the store or to relay
/// reports: with the time for taking over, news stays within the two seconds of the strictest known
/// deployment.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Report periods of silence after which it is not counted on, where that is longer.
const SILENCE_PERIODS: u32 = 3;

plain_data! {
    /// The report of a router with its address.
    pub(crate) struct RouterReport {
        /// The address.
        pub(crate) address: Ipv4Addr,
        /// The report.
        pub(crate) report: PeerReport,
    }
}

/// What is known of another router.
#[derive(Debug, Clone, Default)]
struct PeerRecord {
    last: Option<ReceivedReport>,
    ahead_since: Option<Instant>,
}

/// The last report of another router.
#[derive(Debug, Clone)]
struct ReceivedReport {
    time: Instant,
    report: PeerReport,
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
    /// Adds a router that is to get reports.
    pub(crate) fn add(&mut self, ip: Ipv4Addr) {
        self.peers.entry(ip).or_default();
    }

    /// Returns the routers that have been heard.
    pub(crate) fn reporting(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, record)| record.last.is_some()).map(|(ip, _)| *ip).collect()
    }

    /// Returns the routers of the same failure domain.
    pub(crate) fn domain_peers(&self) -> Vec<Ipv4Addr> {
        let same_domain = self.peers.iter().filter(|(_, record)| record.is_same_domain());
        same_domain.map(|(ip, _)| *ip).collect()
    }

    /// Returns the last reports of the routers of the same failure domain.
    pub(crate) fn domain_reports(&self) -> Vec<RouterReport> {
        let last = self.peers.iter().filter_map(|(ip, record)| Some((ip, record.last.as_ref()?)));
        let same_domain =
            last.filter(|(_, last)| last.is_same_domain && last.is_recent(self.silence_timeout()));
        same_domain
            .map(|(ip, last)| RouterReport { address: *ip, report: last.report.clone() })
            .collect()
    }

    /// Returns the receivers of one period.
    pub(crate) fn plan(&self, state: &EdgeState, period: u64) -> ReportPlan {
        let peers: Vec<PlanPeer<'_>> = self
            .peers
            .iter()
            .map(|(ip, record)| PlanPeer {
                address: *ip,
                status: record.last.as_ref().map(|last| PeerStatus {
                    incarnation: last.report.incarnation,
                    domain: &last.report.domain,
                    is_recent: last.is_recent(self.silence_timeout()),
                }),
            })
            .collect();
        let incarnation = state.router().incarnation();
        plan_reports(incarnation, &state.settings().domain, &peers, period)
    }

    /// Returns how many routers get reports.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Takes in a report that is newer than the last of the same router.
    pub(crate) fn record(&mut self, state: &EdgeState, sender: Ipv4Addr, report: &PeerReport) {
        let record = self.peers.entry(sender).or_default();
        if record.last.is_none() {
            log::info!(peer:% = sender, domain:% = report.domain; "router reports");
        }
        let now = Instant::now();
        record.last = Some(ReceivedReport {
            time: now,
            report: report.clone(),
            is_same_domain: report.domain == state.settings().domain,
        });
        let router = state.router();
        record.ahead_since = match router.watch.fetch_urgency(
            &router.versions(),
            &report.versions,
            report.store_status,
        ) {
            FetchUrgency::None => None,
            FetchUrgency::Deferred | FetchUrgency::Immediate => {
                Some(record.ahead_since.unwrap_or(now))
            }
        };
    }

    /// Notes the pause between two reports of a router.
    pub(crate) fn set_report_period(&mut self, period: Duration) {
        self.report_period = period;
    }

    fn silence_timeout(&self) -> Duration {
        MIN_SILENCE_TIMEOUT.max(self.report_period * SILENCE_PERIODS)
    }

    /// Drops routers that fell silent, but for the seeds.
    pub(crate) fn expire(&mut self, seeds: &[Ipv4Addr]) {
        self.peers.retain(|ip, record| {
            let heard = record.last.as_ref();
            let is_silent = heard.is_some_and(|last| last.time.elapsed() > PEER_EXPIRY);
            if is_silent {
                log::info!(peer:% = ip; "router no longer reports");
                *record = PeerRecord::default();
            }
            !is_silent || seeds.contains(ip)
        });
    }

    /// Decides anew whether this router watches the store.
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
        if !router.watch.update(state.now(), own, same_domain.into_iter()) {
            return;
        }
        let is_held = router.watch.is_watching();
        log::info!(is_watching = is_held, heard; "watch of the store reviewed");
        drop(router);
        state.notify_watch_review();
    }

    /// Returns a router to be asked for what it knows, one of the same failure domain if possible.
    pub(crate) fn snapshot_source(&self, state: &EdgeState) -> Option<Ipv4Addr> {
        let router = state.router();
        let own = router.versions();
        let wanted = self.peers.iter().filter(|(_, record)| {
            let since = record.ahead_since.map_or(Duration::ZERO, |since| since.elapsed());
            record.last.as_ref().is_some_and(|last| {
                match router.watch.fetch_urgency(
                    &own,
                    &last.report.versions,
                    last.report.store_status,
                ) {
                    FetchUrgency::None => false,
                    FetchUrgency::Deferred => since >= AHEAD_TOLERANCE,
                    FetchUrgency::Immediate => true,
                }
            })
        });
        // At random, so that routers in need do not all ask the same one.
        let wanted: Vec<_> = wanted.collect();
        let same_domain = wanted.iter().filter(|(_, record)| record.is_same_domain());
        let chosen =
            same_domain.choose(&mut rand::rng()).or_else(|| wanted.iter().choose(&mut rand::rng()));
        chosen.map(|(ip, _)| **ip)
    }
}
