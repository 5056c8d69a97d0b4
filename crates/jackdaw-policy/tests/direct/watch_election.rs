//! Election of the routers that watch the store: few do, and at least one that can reach it.

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    FetchBasis, FetchUrgency, FleetVersions, StoreRevision, StoreStatus, WATCHERS_PER_DOMAIN,
    WatchElection, WatchPeer,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::at;

/// Number of random fleets, each with its own seed.
const SEEDS: u64 = 200;

fn peer(incarnation: u64, store_status: StoreStatus) -> WatchPeer {
    WatchPeer { incarnation: ProcessIncarnation(incarnation), store_status }
}

/// Returns the elected routers if all of them receive each other's reports.
fn elected(statuses: &[StoreStatus]) -> Vec<usize> {
    let peers: Vec<WatchPeer> =
        statuses.iter().enumerate().map(|(own, status)| peer(own as u64, *status)).collect();
    let mut elected = Vec::new();
    for (own, status) in statuses.iter().enumerate() {
        let mut election = WatchElection::default();
        election.record_store_call(at(0), *status != StoreStatus::Unreachable);
        let others = peers.iter().filter(|other| other.incarnation.0 != own as u64);
        election.update(at(100), ProcessIncarnation(own as u64), others.copied());
        if election.is_watching() {
            elected.push(own);
        }
    }
    elected
}

#[test]
fn few_of_a_large_failure_domain_watch() {
    assert_eq!(elected(&[StoreStatus::Stable; 14]).len(), WATCHERS_PER_DOMAIN);
    assert_eq!(elected(&[StoreStatus::NotWatching; 14]).len(), WATCHERS_PER_DOMAIN);
}

#[test]
fn router_without_peers_watches() {
    assert_eq!(elected(&[StoreStatus::NotWatching]), vec![0]);
}

/// For any mix of statuses, as many routers watch as can reach the store, up to the limit. If too
/// few can, all routers try.
#[test]
fn random_statuses_leave_watchers() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..20);
        let unreachable = random.random_range(0..=count);
        let mut statuses = vec![StoreStatus::Stable; count];
        statuses[..unreachable].fill(StoreStatus::Unreachable);
        statuses.shuffle(&mut random);
        let watching = elected(&statuses);
        let reachable = count - unreachable;
        let reachable_watching =
            watching.iter().filter(|own| statuses[**own] != StoreStatus::Unreachable).count();
        assert_eq!(reachable_watching, reachable.min(WATCHERS_PER_DOMAIN), "seed {seed}");
        let all_try = reachable < WATCHERS_PER_DOMAIN;
        assert_eq!(
            watching.len() - reachable_watching,
            if all_try { unreachable } else { 0 },
            "seed {seed}"
        );
    }
}

#[test]
fn failed_store_calls_hand_over_the_watch_temporarily() {
    let others =
        || [peer(5, StoreStatus::NotWatching), peer(6, StoreStatus::NotWatching)].into_iter();
    let own = ProcessIncarnation(1);
    let mut election = WatchElection::default();
    assert!(!election.update(at(0), own, others()));
    election.record_store_call(at(1000), false);
    assert!(election.update(at(1100), own, others()));
    assert!(!election.is_watching());
    election.update(at(7000), own, others());
    assert!(election.is_watching());
}

/// A router that receives reports but cannot fetch from their senders watches the store itself.
#[test]
fn failed_fetch_makes_a_router_watch() {
    let others = || [peer(1, StoreStatus::Stable), peer(2, StoreStatus::Stable)].into_iter();
    let own = ProcessIncarnation(9);
    let mut election = WatchElection::default();
    election.update(at(0), own, others());
    assert!(!election.is_watching());
    election.record_failed_fetch(at(1000));
    election.update(at(1100), own, others());
    assert!(election.is_watching());
    election.update(at(9000), own, others());
    assert!(!election.is_watching());
}

/// Returns what a router without missing targets knows.
fn basis(versions: &FleetVersions, store_status: StoreStatus) -> FetchBasis<'_> {
    FetchBasis { versions, store_status, missing_targets: 0 }
}

/// Guards against requests to a removed target because the routers that know of its removal are a few
/// changes behind.
///
/// Pattern: a release, in which the store changes several times a second, beside an outage that some
/// routers saw.
#[test]
fn missing_target_is_decided_by_routers_that_lag() {
    let versions = |targets_revision: u64, targets_digest| FleetVersions {
        config: 3,
        targets_revision: StoreRevision::from(targets_revision),
        targets_digest,
    };
    let (own, peer) = (versions(31, 77), versions(30, 78));
    let watching = WatchElection::default();
    for (status, missing_targets, peer_status, expected) in [
        (StoreStatus::Recovering, 1, StoreStatus::Stable, FetchUrgency::Deferred),
        (StoreStatus::Unreachable, 1, StoreStatus::Stable, FetchUrgency::Deferred),
        (StoreStatus::Recovering, 0, StoreStatus::Stable, FetchUrgency::None),
        (StoreStatus::Recovering, 1, StoreStatus::Recovering, FetchUrgency::None),
        (StoreStatus::Stable, 1, StoreStatus::Stable, FetchUrgency::None),
    ] {
        let basis = FetchBasis { missing_targets, ..basis(&own, status) };
        let urgency = watching.fetch_urgency(basis, (&peer, peer_status));
        assert_eq!(urgency, expected, "{status:?}, {missing_targets}, {peer_status:?}");
    }
}

/// A router that does not watch fetches newer state immediately; one that does gives its own watch
/// time to deliver the change.
#[test]
fn fetch_urgency_depends_on_the_own_watch() {
    let versions = |config, targets_revision: u64, targets_digest| FleetVersions {
        config,
        targets_revision: StoreRevision::from(targets_revision),
        targets_digest,
    };
    let own = versions(3, 10, 77);
    let stable = StoreStatus::Stable;
    let watching = WatchElection::default();
    let mut not_watching = WatchElection::default();
    let others = [peer(1, stable), peer(2, stable)];
    not_watching.update(at(0), ProcessIncarnation(9), others.into_iter());
    let urgency = |election: &WatchElection, peer: FleetVersions, status| {
        election.fetch_urgency(basis(&own, stable), (&peer, status))
    };
    let immediate = FetchUrgency::Immediate;
    assert_eq!(urgency(&watching, versions(4, 10, 77), stable), FetchUrgency::Deferred);
    assert_eq!(urgency(&not_watching, versions(4, 10, 77), stable), immediate);
    assert_eq!(urgency(&not_watching, versions(3, 10, 78), stable), immediate);
    let recovering = StoreStatus::Recovering;
    assert_eq!(urgency(&not_watching, versions(3, 10, 78), recovering), FetchUrgency::None);
    assert_eq!(urgency(&not_watching, versions(3, 9, 78), stable), FetchUrgency::None);
    assert_eq!(urgency(&watching, versions(3, 10, 78), stable), FetchUrgency::None);
    let empty = versions(0, 0, 0);
    let from_stable = (&versions(4, 10, 77), stable);
    assert_eq!(watching.fetch_urgency(basis(&empty, stable), from_stable), immediate);
    // After a failed call, the router cannot tell on its own which entries have expired.
    for (own_status, peer_status, expected) in [
        (recovering, stable, FetchUrgency::Deferred),
        (StoreStatus::Unreachable, stable, FetchUrgency::Deferred),
        (recovering, recovering, FetchUrgency::None),
    ] {
        let peer = (&versions(3, 10, 78), peer_status);
        assert_eq!(watching.fetch_urgency(basis(&own, own_status), peer), expected);
    }
}

/// Pattern: a store that is down for all. Every router takes over in turn, but only those that
/// always watch call it often.
#[test]
fn outage_makes_few_routers_call_often() {
    let mut urgent = 0;
    for own in 0..20 {
        let mut election = WatchElection::default();
        election.record_store_call(at(1000), false);
        let peers = (0..20).filter(|other| *other != own);
        let peers = peers.map(|other| peer(other, StoreStatus::Unreachable));
        election.update(at(1100), ProcessIncarnation(own), peers);
        assert!(election.is_watching(), "router {own} may be the only one that the store serves");
        let pause = election.longest_retry_pause();
        assert!(pause <= std::time::Duration::from_secs(5), "recovery is noticed in time");
        urgent += usize::from(pause < std::time::Duration::from_secs(1));
    }
    assert_eq!(urgent, WATCHERS_PER_DOMAIN);
}
