//! Reports reach all routers of a large fleet with few datagrams between failure domains.

use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{PeerStatus, PlanPeer, plan_reports};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Periods after its last report during which a router counts as recent.
const RECENT: u64 = 7;

/// Periods after its last report after which a router is treated as unknown.
const LIFETIME: u64 = 40;

/// Simulated routers that exchange reports, one step per period.
struct ReportFleet {
    domains: Vec<&'static str>,
    is_alive: Vec<bool>,
    /// Period in which the newest report of a router was created, by receiver and router.
    newest: Vec<Vec<Option<u64>>>,
    /// Period in which a new report of a router last arrived, by receiver and router.
    received: Vec<Vec<Option<u64>>>,
    random: ChaCha8Rng,
    loss: f64,
    remote_datagrams: u64,
}

impl ReportFleet {
    fn new(per_domain: usize, domains: &[&'static str], loss: f64) -> ReportFleet {
        let domains: Vec<&'static str> =
            (0..per_domain * domains.len()).map(|index| domains[index % domains.len()]).collect();
        let count = domains.len();
        ReportFleet {
            domains,
            is_alive: vec![true; count],
            newest: vec![vec![None; count]; count],
            received: vec![vec![None; count]; count],
            random: ChaCha8Rng::seed_from_u64(5),
            loss,
            remote_datagrams: 0,
        }
    }

    fn address(index: usize) -> Ipv4Addr {
        Ipv4Addr::from(index as u32)
    }

    fn index(address: Ipv4Addr) -> usize {
        u32::from(address) as usize
    }

    fn plan_peers(&self, own: usize, now: u64) -> Vec<PlanPeer<'static>> {
        let others = (0..self.domains.len()).filter(|other| *other != own);
        let peer = |other: usize| PlanPeer {
            address: Self::address(other),
            status: self.received[own][other].filter(|received| now - received < LIFETIME).map(
                |received| PeerStatus {
                    incarnation: ProcessIncarnation(other as u64 * 7 % 41),
                    domain: self.domains[other],
                    is_recent: now - received < RECENT,
                },
            ),
        };
        others.map(peer).collect()
    }

    /// Sends reports to a router in one datagram; returns whether it arrived.
    fn deliver(&mut self, from: usize, to: usize, reports: &[(usize, u64)], now: u64) -> bool {
        if self.domains[from] != self.domains[to] {
            self.remote_datagrams += 1;
        }
        if !self.is_alive[to] || self.random.random_bool(self.loss) {
            return false;
        }
        for (router, period) in reports {
            if *router != to && self.newest[to][*router] < Some(*period) {
                self.newest[to][*router] = Some(*period);
                self.received[to][*router] = Some(now);
            }
        }
        true
    }

    fn step(&mut self, now: u64) {
        for own in 0..self.domains.len() {
            if !self.is_alive[own] {
                continue;
            }
            let incarnation = ProcessIncarnation(own as u64 * 7 % 41);
            let plan =
                plan_reports(incarnation, self.domains[own], &self.plan_peers(own, now), now);
            for receiver in plan.direct {
                self.deliver(own, Self::index(receiver), &[(own, now)], now);
            }
            let peers: Vec<usize> = self.domain_peers(own);
            let mut bundle: Vec<(usize, u64)> = peers
                .iter()
                .filter_map(|router| Some((*router, self.newest[own][*router]?)))
                .collect();
            bundle.push((own, now));
            for receiver in plan.bundles {
                let relay = Self::index(receiver);
                if self.deliver(own, relay, &bundle, now) {
                    for router in self.domain_peers(relay) {
                        self.deliver(relay, router, &bundle, now);
                    }
                }
            }
        }
    }

    fn domain_peers(&self, own: usize) -> Vec<usize> {
        let others = (0..self.domains.len()).filter(|other| *other != own);
        others.filter(|other| self.domains[*other] == self.domains[own]).collect()
    }

    /// Returns the greatest age, in periods, of the reports that live routers have of each other.
    fn oldest(&self, now: u64) -> u64 {
        let alive = || (0..self.domains.len()).filter(|router| self.is_alive[*router]);
        let pairs = alive().flat_map(|own| alive().map(move |other| (own, other)));
        let ages = pairs
            .filter(|(own, other)| own != other)
            .map(|(own, other)| self.newest[own][other].map_or(now, |period| now - period));
        ages.max().unwrap_or(0)
    }
}

#[test]
fn small_fleets_send_to_all() {
    let mut fleet = ReportFleet::new(4, &["a", "b", "c"], 0.0);
    fleet.step(0);
    assert_eq!(fleet.oldest(0), 0);
}

#[test]
fn all_reports_arrive_within_few_periods() {
    let mut fleet = ReportFleet::new(10, &["a", "b", "c", "d"], 0.01);
    for now in 0..20 {
        fleet.step(now);
    }
    fleet.remote_datagrams = 0;
    for now in 20..220 {
        fleet.step(now);
        assert!(fleet.oldest(now) <= 10, "period {now}: {}", fleet.oldest(now));
    }
    // Sending to all would take 40 * 30 datagrams per period. Here, two relays in each of four
    // domains send bundles to three other domains.
    assert!(fleet.remote_datagrams / 200 <= 4 * 2 * 3, "{}", fleet.remote_datagrams / 200);
}

/// Relays that fail at the same moment are replaced before the reports that they relayed expire.
#[test]
fn failed_relays_are_replaced() {
    let mut fleet = ReportFleet::new(10, &["a", "b", "c", "d"], 0.01);
    for now in 0..30 {
        fleet.step(now);
    }
    for router in 0..40 {
        if router * 7 % 41 < 8 {
            fleet.is_alive[router] = false;
        }
    }
    for now in 30..60 {
        fleet.step(now);
    }
    for now in 60..200 {
        fleet.step(now);
        assert!(fleet.oldest(now) <= 10, "period {now}: {}", fleet.oldest(now));
    }
}

/// Half of the routers start later; their reports reach all others and vice versa.
#[test]
fn late_routers_exchange_reports_with_all() {
    let mut fleet = ReportFleet::new(10, &["a", "b", "c", "d"], 0.01);
    fleet.is_alive[20..].fill(false);
    for now in 0..50 {
        fleet.step(now);
    }
    fleet.is_alive.fill(true);
    for now in 50..70 {
        fleet.step(now);
    }
    for now in 70..200 {
        fleet.step(now);
        assert!(fleet.oldest(now) <= 10, "period {now}: {}", fleet.oldest(now));
    }
}
