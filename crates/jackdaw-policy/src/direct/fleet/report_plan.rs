//! Selection of the routers to which a router sends its report.
//!
//! In a small fleet, every router sends its report to every other. In a larger one, it sends the
//! report to the routers of its own failure domain. Two of these, the relays, bundle the reports of
//! the domain and send them to a relay of each other domain, which forwards them within its domain.
//! This keeps the number of datagrams between failure domains low, and a report still reaches all
//! routers within a few periods.
//!
//! A router first knows only a few seeds, which may all be in other failure domains. It sends its
//! report directly to routers that it has no report of, and a router that receives such a report
//! answers with an introduction: the routers that the sender has to know.

use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;

/// Maximum number of other routers to which reports are sent directly. In larger fleets, datagrams
/// between all pairs of routers cost more than the delay that relays add.
const DIRECT_PEERS: usize = 16;

/// Relays per failure domain; with two, reports continue without a gap if one fails.
const RELAYS: usize = 2;

/// Periods between two bundles of one relay; the bundles of the other relay are sent in between.
const BUNDLE_PERIODS: u64 = 3;

/// Another router that may receive reports.
#[derive(Debug, Clone, Copy)]
pub struct PlanPeer<'a> {
    /// Address that receives the reports.
    pub address: Ipv4Addr,
    /// State from the router's last report; `None` before the first one.
    pub status: Option<PeerStatus<'a>>,
}

/// State of a router as of its last report.
#[derive(Debug, Clone, Copy)]
pub struct PeerStatus<'a> {
    /// Incarnation of the router.
    pub incarnation: ProcessIncarnation,
    /// Failure domain of the router.
    pub domain: &'a str,
    /// Whether the report is recent enough to consider the router alive.
    pub is_recent: bool,
}

/// Receivers of one report period.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ReportPlan {
    /// Routers that receive this router's own report.
    pub direct: Vec<Ipv4Addr>,
    /// Relays that receive a bundle of the domain's reports and forward it in their own domain.
    pub bundles: Vec<Ipv4Addr>,
}

/// Returns whether reports go through relays in a fleet with this number of other routers.
pub fn uses_relays(peers: usize) -> bool {
    peers > DIRECT_PEERS
}

/// Returns the receivers in one report period; `period` is the sequence number of the period.
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
    // A router that has not reported yet may know no other router.
    let is_direct = |peer: &&PlanPeer<'_>| peer.status.is_none_or(|status| status.domain == domain);
    let direct = peers.iter().filter(is_direct).map(|peer| peer.address).collect();
    let bundles =
        match is_relay(incarnation, domain, peers) && is_bundle_period(incarnation, period) {
            true => remote_relays(domain, peers, period / BUNDLE_PERIODS),
            false => Vec::new(),
        };
    ReportPlan { direct, bundles }
}

/// Returns the routers that a router of `domain` has to know: all of its own failure domain, and the
/// relays of the others.
pub fn introduce_peers(domain: &str, peers: &[PlanPeer<'_>]) -> Vec<Ipv4Addr> {
    let reporting = peers.iter().filter_map(|peer| Some((peer.status?, peer.address)));
    let mut recent: Vec<(PeerStatus<'_>, Ipv4Addr)> =
        reporting.filter(|(status, _)| status.is_recent).collect();
    recent.sort_by_key(|(status, _)| (status.domain, status.incarnation.0));
    let domains = recent.chunk_by(|(a, _), (b, _)| a.domain == b.domain);
    let introduced = domains.flat_map(|routers| match routers {
        [(status, _), ..] if status.domain == domain => routers,
        routers => &routers[..routers.len().min(RELAYS)],
    });
    introduced.map(|(_, address)| *address).collect()
}

/// Returns whether a report that was sent directly must be answered with an introduction: the
/// sender is new, or it has no report of this router, which is in another failure domain.
///
/// An introduction is a report itself and must not be answered.
pub fn needs_introduction(
    is_first_report: bool,
    sender_domain: &str,
    own_domain: &str,
    peers: usize,
) -> bool {
    is_first_report || (uses_relays(peers) && sender_domain != own_domain)
}

/// Returns whether a router is a relay, which the routers with the lowest incarnations of a failure
/// domain are.
fn is_relay(own: ProcessIncarnation, domain: &str, peers: &[PlanPeer<'_>]) -> bool {
    let statuses = peers.iter().filter_map(|peer| peer.status);
    let predecessors = statuses.filter(|status| {
        status.domain == domain && status.is_recent && status.incarnation.0 < own.0
    });
    predecessors.count() < RELAYS
}

/// Returns whether a relay sends a bundle in a period. Incarnations shift the periods of the relays
/// against each other.
fn is_bundle_period(incarnation: ProcessIncarnation, period: u64) -> bool {
    (period + incarnation.0 % BUNDLE_PERIODS).is_multiple_of(BUNDLE_PERIODS)
}

/// Returns one relay of each other failure domain; `turn` rotates among the relays of a domain.
fn remote_relays(domain: &str, peers: &[PlanPeer<'_>], turn: u64) -> Vec<Ipv4Addr> {
    let mut remote: Vec<(PeerStatus<'_>, Ipv4Addr)> =
        peers.iter().filter_map(|peer| Some((peer.status?, peer.address))).collect();
    remote.retain(|(status, _)| status.domain != domain);
    remote.sort_by_key(|(status, _)| (status.domain, !status.is_recent, status.incarnation.0));
    let domains = remote.chunk_by(|(a, _), (b, _)| a.domain == b.domain);
    let relays = domains.map(|routers| {
        let recent_count = routers.iter().filter(|(status, _)| status.is_recent).count();
        // If no router of the domain is recent, any of them may have recovered.
        let choices = if recent_count == 0 { routers.len() } else { recent_count.min(RELAYS) };
        routers[turn as usize % choices].1
    });
    relays.collect()
}
