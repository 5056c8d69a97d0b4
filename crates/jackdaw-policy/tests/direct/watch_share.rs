//! Which routers watch the store: few, and never none that could.

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    FetchUrgency, FleetVersions, StoreStatus, WATCHERS_PER_DOMAIN, WatchElection, WatchPeer,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::at;

/// Seeds of the random fleets.
const SEEDS: u64 = 200;

fn peer(incarnation: u64, store_status: StoreStatus) -> WatchPeer {
    WatchPeer { incarnation: ProcessIncarnation(incarnation), store_status }
}

/// Returns the routers on duty where all hear each other.
fn on_duty(standings: &[StoreStatus]) -> Vec<usize> {
    let peers: Vec<WatchPeer> =
        standings.iter().enumerate().map(|(own, standing)| peer(own as u64, *standing)).collect();
    let mut on_duty = Vec::new();
    for (own, standing) in standings.iter().enumerate() {
        let mut duty = WatchElection::default();
        duty.record_store_call(at(0), *standing != StoreStatus::Unreachable);
        let others = peers.iter().filter(|other| other.incarnation.0 != own as u64);
        duty.update(at(100), ProcessIncarnation(own as u64), others.copied());
        if duty.is_watching() {
            on_duty.push(own);
        }
    }
    on_duty
}

#[test]
fn few_of_a_large_failure_domain_watch() {
    assert_eq!(on_duty(&[StoreStatus::Stable; 14]).len(), WATCHERS_PER_DOMAIN);
    assert_eq!(on_duty(&[StoreStatus::NotWatching; 14]).len(), WATCHERS_PER_DOMAIN);
}

#[test]
fn a_router_that_hears_no_other_watches() {
    assert_eq!(on_duty(&[StoreStatus::NotWatching]), vec![0]);
}

/// Of every mix of standings as many watch as can, up to the number wanted; all try where too
/// few are known to reach the store.
#[test]
fn random_standings_leave_watchers() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..20);
        let away = random.random_range(0..=count);
        let mut standings = vec![StoreStatus::Stable; count];
        standings[..away].fill(StoreStatus::Unreachable);
        standings.shuffle(&mut random);
        let watching = on_duty(&standings);
        let able = count - away;
        let able_watching =
            watching.iter().filter(|own| standings[**own] != StoreStatus::Unreachable).count();
        assert_eq!(able_watching, able.min(WATCHERS_PER_DOMAIN), "seed {seed}");
        let all_try = able < WATCHERS_PER_DOMAIN;
        assert_eq!(watching.len() - able_watching, if all_try { away } else { 0 }, "seed {seed}");
    }
}

#[test]
fn failed_calls_hand_the_watch_over_and_are_forgotten() {
    let others =
        || [peer(5, StoreStatus::NotWatching), peer(6, StoreStatus::NotWatching)].into_iter();
    let own = ProcessIncarnation(1);
    let mut duty = WatchElection::default();
    assert!(!duty.update(at(0), own, others()));
    duty.record_store_call(at(1000), false);
    assert!(duty.update(at(1100), own, others()));
    assert!(!duty.is_watching());
    duty.update(at(7000), own, others());
    assert!(duty.is_watching());
}

/// A router that hears others but cannot ask them watches for itself.
#[test]
fn failed_fetch_makes_a_router_watch() {
    let others = || [peer(1, StoreStatus::Stable), peer(2, StoreStatus::Stable)].into_iter();
    let own = ProcessIncarnation(9);
    let mut duty = WatchElection::default();
    duty.update(at(0), own, others());
    assert!(!duty.is_watching());
    duty.record_failed_fetch(at(1000));
    duty.update(at(1100), own, others());
    assert!(duty.is_watching());
    duty.update(at(9000), own, others());
    assert!(!duty.is_watching());
}

/// News is fetched at once by a router that does not watch, and only after a while by one whose
/// own watch should bring it.
#[test]
fn need_for_news_depends_on_the_own_watch() {
    let versions = |config, targets_revision, targets_digest| FleetVersions {
        config,
        targets_revision,
        targets_digest,
    };
    let own = versions(3, 10, 77);
    let settled = StoreStatus::Stable;
    let watching = WatchElection::default();
    let mut idle = WatchElection::default();
    let others = [peer(1, settled), peer(2, settled)];
    idle.update(at(0), ProcessIncarnation(9), others.into_iter());
    assert_eq!(watching.fetch_urgency(&own, &versions(4, 10, 77), settled), FetchUrgency::Deferred);
    assert_eq!(idle.fetch_urgency(&own, &versions(4, 10, 77), settled), FetchUrgency::Immediate);
    assert_eq!(idle.fetch_urgency(&own, &versions(3, 10, 78), settled), FetchUrgency::Immediate);
    assert_eq!(
        idle.fetch_urgency(&own, &versions(3, 10, 78), StoreStatus::Recovering),
        FetchUrgency::None
    );
    assert_eq!(idle.fetch_urgency(&own, &versions(3, 9, 78), settled), FetchUrgency::None);
    assert_eq!(watching.fetch_urgency(&own, &versions(3, 10, 78), settled), FetchUrgency::None);
    let bare = versions(0, 0, 0);
    assert_eq!(
        watching.fetch_urgency(&bare, &versions(4, 10, 77), settled),
        FetchUrgency::Immediate
    );
}
