//! Routers of a large fleet find each other from a few seeds.
//!
//! Pattern: all routers start at the same moment, and the seeds are in some of the failure domains
//! only.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    PeerStatus, PlanPeer, introduce_peers, needs_introduction, plan_reports,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Periods between two lists of known routers in a router's reports.
const LIST_INTERVAL: u64 = 8;

/// Periods within which all routers must have found those of their own domain: with a period of
/// 150 ms, well within the time that a restarted fleet has until callers return.
const DISCOVERY_PERIODS: u64 = 12;

struct DiscoveringRouter {
    domain: usize,
    /// Known routers, with whether a report of theirs has arrived.
    known: BTreeSet<usize>,
    heard: BTreeSet<usize>,
}

struct DiscoveringFleet {
    routers: Vec<DiscoveringRouter>,
    random: ChaCha8Rng,
    loss: f64,
    datagrams: u64,
}

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(index as u32)
}

fn index(address: Ipv4Addr) -> usize {
    u32::from(address) as usize
}

fn incarnation(index: usize) -> ProcessIncarnation {
    ProcessIncarnation(index as u64 * 7919 % 1009)
}

impl DiscoveringFleet {
    fn new(count: usize, seeds: &[usize], loss: f64, seed: u64) -> DiscoveringFleet {
        let router = |index: usize| DiscoveringRouter {
            domain: index % DOMAINS.len(),
            known: seeds.iter().copied().filter(|known| *known != index).collect(),
            heard: BTreeSet::new(),
        };
        DiscoveringFleet {
            routers: (0..count).map(router).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss,
            datagrams: 0,
        }
    }

    fn plan_peers(&self, own: usize) -> Vec<PlanPeer<'static>> {
        let router = &self.routers[own];
        let peer = |other: &usize| PlanPeer {
            address: address(*other),
            status: router.heard.contains(other).then(|| PeerStatus {
                incarnation: incarnation(*other),
                domain: DOMAINS[self.routers[*other].domain],
                is_recent: true,
            }),
        };
        router.known.iter().map(peer).collect()
    }

    /// Delivers reports with a list of known routers, and an introduction in return.
    fn deliver(&mut self, from: usize, to: usize, reports: &[usize], known: &[usize]) -> bool {
        self.datagrams += 1;
        if self.random.random_bool(self.loss) {
            return false;
        }
        let is_first = !self.routers[to].heard.contains(&from);
        let domains = [from, to].map(|router| DOMAINS[self.routers[router].domain]);
        let is_introduced = reports == [from]
            && known.is_empty()
            && needs_introduction(is_first, domains[0], domains[1], self.routers[to].known.len());
        for router in reports.iter().chain(known) {
            if *router != to {
                self.routers[to].known.insert(*router);
            }
        }
        self.routers[to].heard.extend(reports.iter().filter(|router| **router != to));
        if is_introduced {
            let introduced = introduce_peers(domains[0], &self.plan_peers(to));
            let introduced: Vec<usize> = introduced.into_iter().map(index).collect();
            assert!(!introduced.is_empty(), "an introduction must be recognizable");
            self.deliver(to, from, &[to], &introduced);
        }
        true
    }

    fn step(&mut self, period: u64) {
        for own in 0..self.routers.len() {
            let domain = DOMAINS[self.routers[own].domain];
            let plan = plan_reports(incarnation(own), domain, &self.plan_peers(own), period);
            let known: Vec<usize> = match period % LIST_INTERVAL {
                0 => self.routers[own].heard.iter().copied().collect(),
                _ => Vec::new(),
            };
            for receiver in plan.direct {
                self.deliver(own, index(receiver), &[own], &known);
            }
            let mut bundle = self.heard_in_domain(own);
            bundle.push(own);
            for receiver in plan.bundles {
                let relay = index(receiver);
                if self.deliver(own, relay, &bundle, &[]) {
                    for router in self.heard_in_domain(relay) {
                        self.deliver(relay, router, &bundle, &[]);
                    }
                }
            }
        }
    }

    fn heard_in_domain(&self, own: usize) -> Vec<usize> {
        let router = &self.routers[own];
        let is_same = |other: &usize| self.routers[*other].domain == router.domain;
        router.heard.iter().copied().filter(is_same).collect()
    }

    /// Returns the fewest routers of its own domain that a router has heard, beside itself.
    fn fewest_heard_in_domain(&self) -> usize {
        let counts = (0..self.routers.len()).map(|own| self.heard_in_domain(own).len());
        counts.min().unwrap_or(0)
    }

    fn fewest_heard(&self) -> usize {
        self.routers.iter().map(|router| router.heard.len()).min().unwrap_or(0)
    }
}

#[test]
fn domains_without_seeds_are_discovered() {
    for (loss, seed) in [(0.0, 1), (0.02, 2), (0.02, 3), (0.1, 4)] {
        // The seeds are in the domains a, b and c.
        let mut fleet = DiscoveringFleet::new(100, &[0, 1, 2], loss, seed);
        for period in 0..DISCOVERY_PERIODS {
            fleet.step(period);
        }
        assert_eq!(fleet.fewest_heard_in_domain(), 19, "loss {loss}");
        for period in DISCOVERY_PERIODS..2 * DISCOVERY_PERIODS {
            fleet.step(period);
        }
        assert_eq!(fleet.fewest_heard(), 99, "loss {loss}");
    }
}

/// Introductions end once the routers know each other.
#[test]
fn discovery_does_not_add_to_the_steady_load() {
    let mut fleet = DiscoveringFleet::new(100, &[0, 1, 2], 0.0, 1);
    for period in 0..40 {
        fleet.step(period);
    }
    fleet.datagrams = 0;
    for period in 40..70 {
        fleet.step(period);
    }
    // Each router reports to 19 others, and two relays of five domains send a bundle to each of
    // the four others every third period, which is forwarded to 19.
    let expected = 100 * 19 + 5 * 2 * 4 * 20 / 3;
    assert!(fleet.datagrams / 30 <= expected + 10, "{} of {expected}", fleet.datagrams / 30);
}
