//! To which routers a router sends its report.
//!
//! In a small fleet every router sends to every other. In a larger one it sends to those of its
//! failure domain; two of these, the relays, pack the reports of the domain and send them to
//! relays of each other domain, which pass them on in theirs. So few datagrams pass between
//! failure domains, and each router hears of all within a few periods.

use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;

/// Other routers up to which all send to all: beyond it the datagrams between failure domains
/// cost more than the later news.
const DIRECT_PEERS: usize = 16;

/// Relays of a failure domain: one of them may fail without a pause.
const RELAYS: usize = 2;

/// Periods after which a relay sends its pack again; the other relay's bundles come between.
const BUNDLE_PERIODS: u64 = 3;

/// Another router as the plan sees it.
#[derive(Debug, Clone, Copy)]
pub struct PlanPeer<'a> {
    /// Its address.
    pub address: Ipv4Addr,
    /// What its last report said; `None` before the first.
    pub status: Option<PeerStatus<'a>>,
}

/// What the last report of a router said of itself.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus<'a> {
    /// Its incarnation.
    pub incarnation: ProcessIncarnation,
    /// Its failure domain.
    pub domain: &'a str,
    /// Whether the report is recent enough to count on the router.
    pub is_recent: bool,
}

/// The receivers of one period.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReportPlan {
    /// Those that get the router's own report.
    pub direct: Vec<Ipv4Addr>,
    /// Those that get a pack of the reports of the failure domain, to pass on in theirs.
    pub bundles: Vec<Ipv4Addr>,
}

/// Returns whether reports go through relays.
pub fn uses_relays(peers: usize) -> bool {
    peers > DIRECT_PEERS
}

/// Returns the receivers of one period of a router; `period` counts its periods.
pub fn plan_reports(
    incarnation: ProcessIncarnation,
    domain: &str,
    peers: &[PlanPeer<'_>],
    period: u64,
) -> ReportPlan {
    if !uses_relays(peers.len()) {
        let direct = peers.iter().map(|peer| peer.address).collect();
        return ReportPlan { direct, bundles: Vec::new() };
    }
    // Whoever was not heard yet may know nobody else.
    let is_direct = |peer: &&PlanPeer<'_>| peer.status.is_none_or(|heard| heard.domain == domain);
    let direct = peers.iter().filter(is_direct).map(|peer| peer.address).collect();
    let bundles =
        match is_relay(incarnation, domain, peers) && is_bundle_period(incarnation, period) {
            true => far_relays(domain, peers, period / BUNDLE_PERIODS),
            false => Vec::new(),
        };
    ReportPlan { direct, bundles }
}

/// Returns whether a router is among the relays of its failure domain.
fn is_relay(own: ProcessIncarnation, domain: &str, peers: &[PlanPeer<'_>]) -> bool {
    let heard = peers.iter().filter_map(|peer| peer.status);
    let lower = heard
        .filter(|heard| heard.domain == domain && heard.is_recent && heard.incarnation.0 < own.0);
    lower.count() < RELAYS
}

/// Spreads the bundles of a domain's relays over the periods.
fn is_bundle_period(incarnation: ProcessIncarnation, period: u64) -> bool {
    (period + incarnation.0 % BUNDLE_PERIODS).is_multiple_of(BUNDLE_PERIODS)
}

/// Returns one relay of each other failure domain, by turns.
fn far_relays(domain: &str, peers: &[PlanPeer<'_>], turn: u64) -> Vec<Ipv4Addr> {
    let mut far: Vec<(PeerStatus<'_>, Ipv4Addr)> =
        peers.iter().filter_map(|peer| Some((peer.status?, peer.address))).collect();
    far.retain(|(heard, _)| heard.domain != domain);
    far.sort_by_key(|(heard, _)| (heard.domain, !heard.is_recent, heard.incarnation.0));
    let domains = far.chunk_by(|(a, _), (b, _)| a.domain == b.domain);
    let relays = domains.map(|routers| {
        let recent = routers.iter().filter(|(heard, _)| heard.is_recent).count();
        // Without a recent one any may be back.
        let choices = if recent == 0 { routers.len() } else { recent.min(RELAYS) };
        routers[turn as usize % choices].1
    });
    relays.collect()
}
