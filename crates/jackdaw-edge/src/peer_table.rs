//! What a router knows of the others by their reports.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use jackdaw_policy::direct::{FleetVersions, NewsNeed, PeerReport, StoreStanding, WatchPeer};
use rand::seq::IteratorRandom;

use crate::edge_state::EdgeState;

/// Time after which a silent router gets no more reports.
const PEER_LIFETIME: Duration = Duration::from_secs(6);

/// Time for which another router must be ahead before its snapshot is fetched by one that
/// watches the store; the watch brings the same news within this time where it works.
const AHEAD_SPAN: Duration = Duration::from_millis(350);

/// The shortest silence after which a router is not counted on to watch the store: with the time
/// for taking over, news stays within the two seconds of the strictest known deployment.
const WATCHER_SILENCE: Duration = Duration::from_secs(1);

/// Report periods of silence after which a router is not counted on, where that is longer.
const SILENT_PERIODS: u32 = 3;

/// What is known of another router.
#[derive(Debug, Clone, Default)]
struct PeerRecord {
    last: Option<HeardReport>,
    ahead_since: Option<Instant>,
}

/// The last report of another router, without the loads.
#[derive(Debug, Clone)]
struct HeardReport {
    time: Instant,
    versions: FleetVersions,
    standing: StoreStanding,
    watch_peer: WatchPeer,
    is_near: bool,
}

/// The other routers, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<Ipv4Addr, PeerRecord>,
}

impl PeerTable {
    /// Adds a router that is to get reports.
    pub(crate) fn add(&mut self, ip: Ipv4Addr) {
        self.peers.entry(ip).or_default();
    }

    /// Returns the routers that get reports.
    pub(crate) fn addresses(&self) -> Vec<Ipv4Addr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the routers that have been heard.
    pub(crate) fn heard(&self) -> Vec<Ipv4Addr> {
        self.peers.iter().filter(|(_, record)| record.last.is_some()).map(|(ip, _)| *ip).collect()
    }

    /// Returns how many routers get reports.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Takes in a report that is newer than the last of the same router.
    pub(crate) fn learn(&mut self, state: &EdgeState, sender: Ipv4Addr, report: &PeerReport) {
        let record = self.peers.entry(sender).or_default();
        if record.last.is_none() {
            log::info!(peer:% = sender, domain:% = report.domain; "router reports");
        }
        let now = Instant::now();
        let standing = report.standing;
        record.last = Some(HeardReport {
            time: now,
            versions: report.versions,
            standing,
            watch_peer: WatchPeer { incarnation: report.incarnation, standing },
            is_near: report.domain == state.settings.domain,
        });
        let router = state.router();
        record.ahead_since =
            match router.watch.news_need(&router.versions(), &report.versions, standing) {
                NewsNeed::None => None,
                NewsNeed::Later | NewsNeed::Now => Some(record.ahead_since.unwrap_or(now)),
            };
    }

    /// Drops routers that fell silent, but for the seeds.
    pub(crate) fn expire(&mut self, seeds: &[Ipv4Addr]) {
        self.peers.retain(|ip, record| {
            let heard = record.last.as_ref();
            let is_silent = heard.is_some_and(|last| last.time.elapsed() > PEER_LIFETIME);
            if is_silent {
                log::info!(peer:% = ip; "router no longer reports");
                *record = PeerRecord::default();
            }
            !is_silent || seeds.contains(ip)
        });
    }

    /// Decides anew whether this router watches the store.
    pub(crate) fn review_watch(&self, state: &EdgeState, report_period: Duration) {
        let silence = WATCHER_SILENCE.max(report_period * SILENT_PERIODS);
        let near = self.peers.values().filter_map(|record| record.last.as_ref());
        let near = near.filter(|last| last.is_near && last.time.elapsed() < silence);
        let near: Vec<WatchPeer> = near.map(|last| last.watch_peer).collect();
        let mut router = state.router();
        let own = router.incarnation();
        let heard = near.len();
        if !router.watch.review(state.now(), own, near.into_iter()) {
            return;
        }
        let is_held = router.watch.is_held();
        log::info!(is_watching = is_held, heard; "watch of the store reviewed");
        drop(router);
        state.set_store_watch(is_held);
    }

    /// Returns a router to be asked for what it knows, one of the same failure domain if possible.
    pub(crate) fn news_source(&self, state: &EdgeState) -> Option<Ipv4Addr> {
        let router = state.router();
        let own = router.versions();
        let wanted = self.peers.iter().filter(|(_, record)| {
            let since = record.ahead_since.map_or(Duration::ZERO, |since| since.elapsed());
            record.last.as_ref().is_some_and(|last| {
                match router.watch.news_need(&own, &last.versions, last.standing) {
                    NewsNeed::None => false,
                    NewsNeed::Later => since >= AHEAD_SPAN,
                    NewsNeed::Now => true,
                }
            })
        });
        // At random, so that routers in need do not all ask the same one.
        let wanted: Vec<_> = wanted.collect();
        let near = wanted
            .iter()
            .filter(|(_, record)| record.last.as_ref().is_some_and(|last| last.is_near));
        let chosen =
            near.choose(&mut rand::rng()).or_else(|| wanted.iter().choose(&mut rand::rng()));
        chosen.map(|(ip, _)| **ip)
    }
}
