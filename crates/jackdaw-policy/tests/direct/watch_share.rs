//! Which routers watch the store: few, and never none that could.

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    FleetVersions, NewsNeed, StoreStanding, WATCHERS_PER_DOMAIN, WatchDuty, WatchPeer,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::at;

/// Seeds of the random fleets.
const SEEDS: u64 = 200;

fn peer(incarnation: u64, standing: StoreStanding) -> WatchPeer {
    WatchPeer { incarnation: ProcessIncarnation(incarnation), standing }
}

/// Returns the routers on duty where all hear each other.
fn on_duty(standings: &[StoreStanding]) -> Vec<usize> {
    let peers: Vec<WatchPeer> =
        standings.iter().enumerate().map(|(own, standing)| peer(own as u64, *standing)).collect();
    let mut on_duty = Vec::new();
    for (own, standing) in standings.iter().enumerate() {
        let mut duty = WatchDuty::default();
        duty.note_store(at(0), *standing != StoreStanding::Away);
        let others = peers.iter().filter(|other| other.incarnation.0 != own as u64);
        duty.review(at(100), ProcessIncarnation(own as u64), others.copied());
        if duty.is_held() {
            on_duty.push(own);
        }
    }
    on_duty
}

#[test]
fn few_of_a_large_failure_domain_watch() {
    assert_eq!(on_duty(&[StoreStanding::Settled; 14]).len(), WATCHERS_PER_DOMAIN);
    assert_eq!(on_duty(&[StoreStanding::Idle; 14]).len(), WATCHERS_PER_DOMAIN);
}

#[test]
fn a_router_that_hears_no_other_watches() {
    assert_eq!(on_duty(&[StoreStanding::Idle]), vec![0]);
}

/// Of every mix of standings as many watch as can, up to the number wanted; all try where too
/// few are known to reach the store.
#[test]
fn random_standings_leave_watchers() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(1..20);
        let away = random.random_range(0..=count);
        let mut standings = vec![StoreStanding::Settled; count];
        standings[..away].fill(StoreStanding::Away);
        standings.shuffle(&mut random);
        let watching = on_duty(&standings);
        let able = count - away;
        let able_watching =
            watching.iter().filter(|own| standings[**own] != StoreStanding::Away).count();
        assert_eq!(able_watching, able.min(WATCHERS_PER_DOMAIN), "seed {seed}");
        let all_try = able < WATCHERS_PER_DOMAIN;
        assert_eq!(watching.len() - able_watching, if all_try { away } else { 0 }, "seed {seed}");
    }
}

#[test]
fn failed_calls_hand_the_watch_over_and_are_forgotten() {
    let others = || [peer(5, StoreStanding::Idle), peer(6, StoreStanding::Idle)].into_iter();
    let own = ProcessIncarnation(1);
    let mut duty = WatchDuty::default();
    assert!(!duty.review(at(0), own, others()));
    duty.note_store(at(1000), false);
    assert!(duty.review(at(1100), own, others()));
    assert!(!duty.is_held());
    duty.review(at(7000), own, others());
    assert!(duty.is_held());
}

/// A router that hears others but cannot ask them watches for itself.
#[test]
fn failed_fetch_makes_a_router_watch() {
    let others = || [peer(1, StoreStanding::Settled), peer(2, StoreStanding::Settled)].into_iter();
    let own = ProcessIncarnation(9);
    let mut duty = WatchDuty::default();
    duty.review(at(0), own, others());
    assert!(!duty.is_held());
    duty.note_failed_fetch(at(1000));
    duty.review(at(1100), own, others());
    assert!(duty.is_held());
    duty.review(at(9000), own, others());
    assert!(!duty.is_held());
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
    let settled = StoreStanding::Settled;
    let watching = WatchDuty::default();
    let mut idle = WatchDuty::default();
    let others = [peer(1, settled), peer(2, settled)];
    idle.review(at(0), ProcessIncarnation(9), others.into_iter());
    assert_eq!(watching.news_need(&own, &versions(4, 10, 77), settled), NewsNeed::Later);
    assert_eq!(idle.news_need(&own, &versions(4, 10, 77), settled), NewsNeed::Now);
    assert_eq!(idle.news_need(&own, &versions(3, 10, 78), settled), NewsNeed::Now);
    assert_eq!(
        idle.news_need(&own, &versions(3, 10, 78), StoreStanding::Returning),
        NewsNeed::None
    );
    assert_eq!(idle.news_need(&own, &versions(3, 9, 78), settled), NewsNeed::None);
    assert_eq!(watching.news_need(&own, &versions(3, 10, 78), settled), NewsNeed::None);
    let bare = versions(0, 0, 0);
    assert_eq!(watching.news_need(&bare, &versions(4, 10, 77), settled), NewsNeed::Now);
}
