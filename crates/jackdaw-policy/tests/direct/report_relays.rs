//! Reports reach all routers of a large fleet, with few datagrams between failure domains.

use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{PeerStatus, PlanPeer, plan_reports};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Periods after which a router that was not heard is not counted on.
const RECENT: u64 = 7;

/// Periods after which a silent router counts as unheard.
const LIFETIME: u64 = 40;

/// Routers as they exchange reports, one step a period.
struct ReportFleet {
    domains: Vec<&'static str>,
    is_alive: Vec<bool>,
    /// For each router the newest report of each other that it has: its period.
    newest: Vec<Vec<Option<u64>>>,
    /// For each router the period in which it last had news of each other.
    heard: Vec<Vec<Option<u64>>>,
    random: ChaCha8Rng,
    loss: f64,
    between_domains: u64,
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
            heard: vec![vec![None; count]; count],
            random: ChaCha8Rng::seed_from_u64(5),
            loss,
            between_domains: 0,
        }
    }

    fn address(index: usize) -> Ipv4Addr {
        Ipv4Addr::from(index as u32)
    }

    fn index(address: Ipv4Addr) -> usize {
        u32::from(address) as usize
    }

    fn view(&self, own: usize, now: u64) -> Vec<PlanPeer<'static>> {
        let others = (0..self.domains.len()).filter(|other| *other != own);
        let peer = |other: usize| PlanPeer {
            address: Self::address(other),
            status: self.heard[own][other].filter(|heard| now - heard < LIFETIME).map(|heard| {
                PeerStatus {
                    incarnation: ProcessIncarnation(other as u64 * 7 % 41),
                    domain: self.domains[other],
                    is_recent: now - heard < RECENT,
                }
            }),
        };
        others.map(peer).collect()
    }

    /// Brings reports to a router; returns whether the datagram arrived.
    fn deliver(&mut self, from: usize, to: usize, reports: &[(usize, u64)], now: u64) -> bool {
        if self.domains[from] != self.domains[to] {
            self.between_domains += 1;
        }
        if !self.is_alive[to] || self.random.random_bool(self.loss) {
            return false;
        }
        for (router, period) in reports {
            if *router != to && self.newest[to][*router] < Some(*period) {
                self.newest[to][*router] = Some(*period);
                self.heard[to][*router] = Some(now);
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
            let plan = plan_reports(incarnation, self.domains[own], &self.view(own, now), now);
            for receiver in plan.direct {
                self.deliver(own, Self::index(receiver), &[(own, now)], now);
            }
            let near: Vec<usize> = self.near(own);
            let mut pack: Vec<(usize, u64)> = near
                .iter()
                .filter_map(|router| Some((*router, self.newest[own][*router]?)))
                .collect();
            pack.push((own, now));
            for receiver in plan.bundles {
                let relay = Self::index(receiver);
                if self.deliver(own, relay, &pack, now) {
                    for router in self.near(relay) {
                        self.deliver(relay, router, &pack, now);
                    }
                }
            }
        }
    }

    fn near(&self, own: usize) -> Vec<usize> {
        let others = (0..self.domains.len()).filter(|other| *other != own);
        others.filter(|other| self.domains[*other] == self.domains[own]).collect()
    }

    /// Returns the greatest age, in periods, of what living routers know of each other.
    fn oldest(&self, now: u64) -> u64 {
        let living = || (0..self.domains.len()).filter(|router| self.is_alive[*router]);
        let pairs = living().flat_map(|own| living().map(move |other| (own, other)));
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
fn all_hear_of_all_within_few_periods() {
    let mut fleet = ReportFleet::new(10, &["a", "b", "c", "d"], 0.01);
    for now in 0..20 {
        fleet.step(now);
    }
    fleet.between_domains = 0;
    for now in 20..220 {
        fleet.step(now);
        assert!(fleet.oldest(now) <= 10, "period {now}: {}", fleet.oldest(now));
    }
    // All to all would be 40 * 30 a period; a pack goes to three domains from two relays of four.
    assert!(fleet.between_domains / 200 <= 4 * 2 * 3, "{}", fleet.between_domains / 200);
}

/// Relays that end at the same moment are replaced before what they relayed is too old to count.
#[test]
fn dead_relays_are_replaced() {
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

/// A fleet whose routers all start at once, and one that half of them join later.
#[test]
fn late_routers_are_heard_and_hear() {
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
