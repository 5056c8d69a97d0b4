//! Routers tell each other of streams again as some of them stop, are killed or start.
//!
//! Pattern: a rolling restart or a series of kills, while streams last longer than the time in which
//! all routers that knew them are gone.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{
    HolderMember, HolderPeer, HolderRoster, StreamBinding, StreamKey, StreamTable, TellingPlan,
    VersionId, plan_handover, stream_receivers, stream_sources,
};

use crate::common::at;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Streams that one router begins.
const STREAM_COUNT: u64 = 200;

/// Routers in virtual time; no datagram is lost.
struct TestFleet {
    now: MonotonicTime,
    routers: BTreeMap<Ipv4Addr, TestRouter>,
}

struct TestRouter {
    member: HolderMember,
    streams: StreamTable,
    roster: HolderRoster,
}

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0000 + index as u32)
}

fn key(number: u64) -> StreamKey {
    StreamKey::new(Some(CustomerId(1)), &format!("attempt-{number}"))
}

fn binding(number: u64) -> StreamBinding {
    StreamBinding::new(key(number), VersionId::from_name("v1"), Duration::from_secs(15))
}

impl TestFleet {
    fn new(count: usize) -> TestFleet {
        let mut fleet = TestFleet { now: at(0), routers: BTreeMap::new() };
        for index in 0..count {
            fleet.start(index);
        }
        fleet
    }

    /// Starts a router that knows nothing.
    fn start(&mut self, index: usize) {
        let domain = DOMAINS[index % DOMAINS.len()].to_owned();
        let incarnation = ProcessIncarnation(self.now.0 * 1000 + index as u64);
        let router = TestRouter {
            member: HolderMember { incarnation, domain },
            streams: StreamTable::default(),
            roster: HolderRoster::default(),
        };
        self.routers.insert(address(index), router);
        self.exchange_reports();
    }

    fn kill(&mut self, index: usize) {
        self.routers.remove(&address(index));
        self.exchange_reports();
    }

    fn stop(&mut self, index: usize) {
        let others = self.others(address(index));
        let peers: Vec<HolderPeer<'_>> = peers(&others);
        let known = self.routers[&address(index)].streams.bindings(self.now);
        let plan = plan_handover(&peers, known);
        self.deliver(plan);
        self.kill(index);
    }

    fn others(&self, own: Ipv4Addr) -> BTreeMap<Ipv4Addr, HolderMember> {
        let others = self.routers.iter().filter(|(ip, _)| **ip != own);
        others.map(|(ip, router)| (*ip, router.member.clone())).collect()
    }

    /// Lets all routers notice who is there; returns the number of streams told.
    fn exchange_reports(&mut self) -> usize {
        let addresses: Vec<Ipv4Addr> = self.routers.keys().copied().collect();
        let mut told = 0;
        for own in addresses {
            let others = self.others(own);
            let now = self.now;
            let router = self.routers.get_mut(&own).expect("router");
            let plan = router.roster.update(others, router.streams.bindings(now));
            told += plan.values().map(Vec::len).sum::<usize>();
            self.deliver(plan);
        }
        told
    }

    fn deliver(&mut self, plan: TellingPlan) {
        for (receiver, bindings) in plan {
            let Some(router) = self.routers.get_mut(&receiver) else {
                continue;
            };
            for binding in bindings {
                router.streams.record(self.now, &binding);
            }
        }
    }

    fn begin_streams(&mut self, index: usize) {
        let others = self.others(address(index));
        for number in 0..STREAM_COUNT {
            let mut receivers = stream_receivers(key(number), &peers(&others));
            receivers.push(address(index));
            for receiver in receivers {
                self.deliver(TellingPlan::from([(receiver, vec![binding(number)])]));
            }
        }
    }

    /// Returns how many streams a router finds that a caller comes back to.
    fn found_count(&self, index: usize) -> usize {
        let others = self.others(address(index));
        let found = (0..STREAM_COUNT).filter(|number| {
            let mut asked = stream_sources(key(*number), &peers(&others));
            asked.push(address(index));
            let knows =
                |ip: &Ipv4Addr| self.routers[ip].streams.find(self.now, key(*number)).is_some();
            asked.iter().any(knows)
        });
        found.count()
    }
}

fn peers(members: &BTreeMap<Ipv4Addr, HolderMember>) -> Vec<HolderPeer<'_>> {
    let peers = members.iter();
    peers.map(|(ip, member)| HolderPeer { address: *ip, domain: &member.domain }).collect()
}

/// Both routers that were told of a stream had been restarted before the one that began it.
#[test]
fn streams_outlast_a_rolling_restart() {
    for count in [2, 3, 8, 34] {
        let mut fleet = TestFleet::new(count);
        fleet.begin_streams(count - 1);
        for index in 0..count {
            fleet.stop(index);
            fleet.start(index);
        }
        for index in 0..count {
            assert_eq!(fleet.found_count(index), STREAM_COUNT as usize, "{count}, {index}");
        }
    }
}

/// As above, with kills, which leave no time for anything: the others repair what is lost.
#[test]
fn streams_outlast_kills_in_turn() {
    for count in [3, 8, 34] {
        let mut fleet = TestFleet::new(count);
        fleet.begin_streams(count - 1);
        for index in 0..count {
            fleet.kill(index);
            fleet.start(index);
        }
        for index in 0..count {
            assert_eq!(fleet.found_count(index), STREAM_COUNT as usize, "{count}, {index}");
        }
    }
}

/// What is told after a change does not grow with the fleet, and nothing is told without one.
#[test]
fn few_streams_are_told_again() {
    for count in [8, 34, 103] {
        let mut fleet = TestFleet::new(count);
        fleet.begin_streams(0);
        assert_eq!(fleet.exchange_reports(), 0, "nothing has changed");
        fleet.routers.remove(&address(1));
        let after_kill = fleet.exchange_reports();
        assert!(after_kill <= 3 * STREAM_COUNT as usize, "{count}: {after_kill}");
        assert_eq!(fleet.exchange_reports(), 0, "told once");
    }
}

/// Restarted routers must not be told of streams for longer than the callers of these wait.
#[test]
fn time_of_callers_is_not_prolonged() {
    let mut table = StreamTable::default();
    table.record(at(0), &binding(1));
    let later: Vec<StreamBinding> = table.bindings(at(10_000)).collect();
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].lifetime_ms, 7000);
    assert_eq!(table.bindings(at(17_000)).count(), 0);
}
