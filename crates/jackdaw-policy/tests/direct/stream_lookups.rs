//! Callers come back to any router, which finds out at which software version their stream began.
//!
//! Pattern: routers are killed while streams run, so that whoever began a stream is gone.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::Duration;

use jackdaw_base::{CustomerId, VmId};
use jackdaw_policy::direct::{
    HolderPeer, LookupResult, RouteConfig, StreamBinding, StreamFinding, StreamKey, StreamLookup,
    StreamTable, TargetChange, VersionHistory, VersionId, stream_receivers, stream_sources,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{SERVICE, at, config, entry, route, router};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Streams of each simulated fleet whose routers are killed.
const STREAM_COUNT: u64 = 3000;

fn version(name: &str) -> VersionId {
    VersionId::from_name(name)
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + index as u32)
}

fn peers(members: &[usize], own: usize) -> Vec<HolderPeer<'static>> {
    let others = members.iter().filter(|index| **index != own);
    let peers = others.map(|index| HolderPeer {
        address: address(*index),
        domain: DOMAINS[index % DOMAINS.len()],
    });
    peers.collect()
}

/// Returns the share of streams that a surviving router finds after `killed` of all routers, among them
/// those that began the streams, were killed. `differing` routers are unknown to the one that asks.
fn found_share(routers: usize, killed: f64, differing: usize) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(routers as u64);
    let mut found = 0;
    for number in 0..STREAM_COUNT {
        let mut members: Vec<usize> = (0..routers).collect();
        let origin = members[random.random_range(0..routers)];
        let key = StreamKey::new(Some(CustomerId(1)), &format!("attempt-{number}"));
        let told = stream_receivers(key, &peers(&members, origin));
        members.retain(|index| *index != origin);
        members.shuffle(&mut random);
        let gone = ((routers as f64 * killed) as usize).saturating_sub(1);
        members.drain(..gone);
        let asker = members[0];
        let unknown: HashSet<usize> = members[1..].iter().copied().take(differing).collect();
        let known: Vec<usize> =
            members.iter().copied().filter(|index| !unknown.contains(index)).collect();
        let asked = stream_sources(key, &peers(&known, asker));
        let holds = |ip: &Ipv4Addr| told.contains(ip);
        let survives = asked.iter().any(holds) || told.contains(&address(asker));
        found += u64::from(survives);
    }
    found as f64 / STREAM_COUNT as f64
}

/// Callers whose router was killed found nobody who knew their stream.
#[test]
fn streams_of_killed_routers_are_found() {
    for routers in [8, 34, 103, 1800] {
        for (killed, least) in [(0.35, 0.8), (0.6, 0.5)] {
            let share = found_share(routers, killed, 0);
            assert!(share >= least, "{routers} routers, {killed} killed: {share}");
        }
    }
}

#[test]
fn routers_with_differing_views_find_streams() {
    for routers in [8, 34, 103] {
        let share = found_share(routers, 0.2, 1);
        assert!(share >= 0.8, "{routers} routers: {share}");
    }
}

/// The number of routers that are told and asked does not grow with the fleet.
#[test]
fn few_routers_of_two_domains_keep_a_stream() {
    for routers in [8, 34, 103] {
        let members: Vec<usize> = (0..routers).collect();
        for number in 0..100 {
            let key = StreamKey::new(None, &number.to_string());
            let told = stream_receivers(key, &peers(&members, 0));
            let domains: HashSet<u32> =
                told.iter().map(|ip| (u32::from(*ip) - 0x0a00_0000) % 3).collect();
            assert_eq!((told.len(), domains.len()), (2, 2));
            let asked = stream_sources(key, &peers(&members, 1));
            assert!(asked.len() <= 4 && asked.len() > told.len());
        }
    }
    let alone = stream_receivers(StreamKey(1), &[]);
    assert!(alone.is_empty());
    let single_domain: Vec<HolderPeer<'_>> =
        (0..5).map(|index| HolderPeer { address: address(index), domain: "a" }).collect();
    assert_eq!(stream_receivers(StreamKey(1), &single_domain).len(), 2);
}

#[test]
fn streams_are_spread_over_routers() {
    let members: Vec<usize> = (0..34).collect();
    let mut counts: HashMap<Ipv4Addr, usize> = HashMap::new();
    for number in 0..10_000 {
        let key = StreamKey::new(None, &format!("attempt-{number}"));
        for ip in stream_receivers(key, &peers(&members, 0)) {
            *counts.entry(ip).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(most < 2 * 20_000 / 33, "{most}");
}

fn unknown(sole: Option<&str>) -> StreamFinding {
    StreamFinding::Unknown { sole: sole.map(version) }
}

fn lookup(own: StreamFinding, findings: &[Option<StreamFinding>]) -> StreamLookup {
    let sources = (0..findings.len()).map(address).collect();
    let mut lookup = StreamLookup::new(own, Some(sources));
    for (index, finding) in findings.iter().enumerate() {
        if let Some(finding) = finding {
            lookup.record(address(index), *finding);
        }
    }
    lookup
}

#[test]
fn one_router_that_knows_the_stream_decides() {
    let known = StreamFinding::Version(version("v1"));
    let lookup = lookup(unknown(Some("v2")), &[None, Some(unknown(Some("v2"))), Some(known)]);
    assert!(lookup.is_complete(), "the silent router is not waited for");
    let present = [Some(version("v1")), Some(version("v2"))];
    assert_eq!(lookup.conclude(&present), LookupResult::Known(version("v1")));
}

/// A router with an old view of the targets would otherwise send a stream of a new version to the old one.
#[test]
fn own_view_alone_does_not_decide() {
    let present = [Some(version("v1"))];
    for (findings, is_isolated) in
        [(vec![None, None], true), (vec![Some(unknown(None)), None], false)]
    {
        let lookup = lookup(unknown(Some("v1")), &findings);
        assert!(!lookup.is_complete());
        assert_eq!(lookup.conclude(&present), LookupResult::Unknown { is_isolated });
    }
    let unasked = StreamLookup::new(unknown(Some("v1")), Some(Vec::new().into()));
    assert_eq!(unasked.conclude(&present), LookupResult::Unknown { is_isolated: true });
    let alone = StreamLookup::new(unknown(Some("v1")), None);
    assert_eq!(alone.conclude(&present), LookupResult::Sole(version("v1")));
}

#[test]
fn single_version_stands_in_for_unknown_streams() {
    let findings = [Some(unknown(Some("v1"))), Some(unknown(None))];
    let present = [Some(version("v1"))];
    for own in [unknown(None), unknown(Some("v1"))] {
        let result = lookup(own, &findings).conclude(&present);
        assert_eq!(result, LookupResult::Sole(version("v1")));
    }
    let is_unknown = LookupResult::Unknown { is_isolated: false };
    for present in [
        vec![Some(version("v1")), Some(version("v2"))],
        vec![Some(version("v2"))],
        vec![Some(version("v1")), None],
    ] {
        assert_eq!(lookup(unknown(None), &findings).conclude(&present), is_unknown);
    }
    let differing = [Some(unknown(Some("v1"))), Some(unknown(Some("v2")))];
    assert_eq!(lookup(unknown(None), &differing).conclude(&present), is_unknown);
}

#[test]
fn answers_of_others_are_ignored() {
    let mut lookup = lookup(unknown(None), &[None]);
    lookup.record(address(9), StreamFinding::Version(version("v1")));
    assert!(!lookup.is_complete());
    lookup.record(address(0), unknown(None));
    lookup.record(address(0), StreamFinding::Version(version("v1")));
    assert_eq!(lookup.conclude(&[]), LookupResult::Unknown { is_isolated: false });
}

#[test]
fn streams_end_with_the_time_of_their_callers() {
    let mut table = StreamTable::default();
    let key = StreamKey::new(Some(CustomerId(1)), "attempt");
    let binding = StreamBinding::new(key, version("v1"), Duration::from_secs(15));
    assert!(table.record(at(0), &binding));
    assert_eq!(table.find(at(15_000), key), Some(version("v1")));
    assert_eq!(table.find(at(18_000), key), None);
    table.expire(at(18_000));
    assert!(table.is_empty());
    assert_eq!(table.return_span(), Duration::from_secs(17));
    let endless = StreamBinding { lifetime_ms: u32::MAX, ..binding };
    assert!(table.record(at(0), &endless));
    assert_eq!(table.find(at(301_000), key), None, "the lifetime is limited");
}

#[test]
fn customers_reach_only_their_own_streams() {
    let keys: HashSet<StreamKey> = [None, Some(CustomerId(1)), Some(CustomerId(2))]
        .into_iter()
        .map(|customer| StreamKey::new(customer, "attempt"))
        .collect();
    assert_eq!(keys.len(), 3);
}

#[test]
fn number_of_streams_is_limited() {
    let mut table = StreamTable::default();
    let record = |table: &mut StreamTable, number: u64| {
        let key = StreamKey(number);
        table.record(at(0), &StreamBinding::new(key, version("v1"), Duration::from_secs(9)))
    };
    let recorded = (0..100_000).filter(|number| record(&mut table, *number)).count();
    assert_eq!(recorded, table.len());
    assert!(recorded < 100_000);
    assert!(record(&mut table, 0), "known streams are renewed");
}

#[test]
fn versions_that_served_lately_count() {
    let span = Duration::from_secs(15);
    let mut history = VersionHistory::default();
    assert_eq!(history.sole_version(at(0), SERVICE, span), None);
    for second in 0..17 {
        let sole = history.sole_version(at(second * 1000), SERVICE, span);
        assert_eq!(sole, (second >= 15).then(|| version("v1")), "observed for {second} s");
        history.record(at(second * 1000), SERVICE, Some(version("v1")));
    }
    assert_eq!(history.sole_version(at(16_000), SERVICE, span), Some(version("v1")));
    history.record(at(17_000), SERVICE, Some(version("v2")));
    assert_eq!(history.sole_version(at(17_000), SERVICE, span), None);
    for second in 18..40 {
        history.record(at(second * 1000), SERVICE, Some(version("v2")));
    }
    assert_eq!(history.sole_version(at(40_000), SERVICE, span), Some(version("v2")));
    history.record(at(40_000), SERVICE, None);
    assert_eq!(history.sole_version(at(40_000), SERVICE, span), None);
    history.expire(at(60_000), span);
    assert_eq!(history.sole_version(at(60_000), SERVICE, span), None);
}

/// A router that stood still for seconds took the version that it knew before for the only one, although
/// targets of another version had begun streams meanwhile.
#[test]
fn observation_starts_again_after_a_standstill() {
    let mut router = router(1, 0);
    router.targets.apply(at(0), TargetChange::Present(entry("target", 1)));
    let mut observe = |from: u64, to: u64| {
        for millis in (from..to).step_by(200) {
            router.expire(at(millis));
        }
        router.find_stream(at(to), None, SERVICE)
    };
    assert_eq!(observe(0, 20_000), unknown(Some("v1")));
    assert_eq!(observe(24_000, 24_200), unknown(None), "stood still for 4 s");
    assert_eq!(observe(24_200, 38_000), unknown(None), "not observed for long enough");
    assert_eq!(observe(38_000, 43_000), unknown(Some("v1")));
}

/// A router that had been cut off for so long that it dropped the others took itself for the only one, and
/// its own view for that of the fleet.
#[test]
fn router_that_is_cut_off_knows_that_there_are_others() {
    let mut router = router(1, 0);
    assert!(!router.has_members());
    for millis in (0..3000).step_by(200) {
        router.record_member(at(millis), VmId(2));
        router.expire(at(millis));
    }
    for millis in (3000..100_000).step_by(200) {
        router.expire(at(millis));
    }
    assert!(router.has_members());
}

/// After all routers had been killed, streams of the version before were continued at the present one as
/// soon as it had served alone for 15 s, although the route lets callers wait for a minute.
#[test]
fn callers_of_long_routes_are_waited_for() {
    let mut router = router(1, 0);
    let timeout = Duration::from_secs(60);
    let long = RouteConfig { timeout, ..route("long", "a.example", "/long/") };
    assert!(router.install_config({
        let mut config = config(router.config_version() + 1);
        config.routes.push(long);
        config
    }));
    let key = StreamKey::new(Some(CustomerId(1)), "begun-before-the-kill");
    router.targets.apply(at(0), TargetChange::Present(entry("target", 1)));
    for millis in (0..60_000).step_by(200) {
        router.expire(at(millis));
        let finding = router.find_stream(at(millis), Some(key), SERVICE);
        assert_eq!(finding, unknown(None), "after {millis} ms");
    }
    for millis in (60_000..63_000).step_by(200) {
        router.expire(at(millis));
    }
    assert_eq!(router.find_stream(at(63_000), Some(key), SERVICE), unknown(Some("v1")));
}
