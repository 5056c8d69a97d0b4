//! Routers find each other through a list in the store if the seeds in their settings are gone.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use jackdaw_policy::direct::{MAX_CONTACTS, plan_contacts, unheard_contacts};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn address(index: usize) -> Ipv4Addr {
    Ipv4Addr::from(index as u32 + 1)
}

/// A fleet whose routers hear those in their group.
struct SplitFleet {
    groups: Vec<BTreeSet<usize>>,
    contacts: Vec<Ipv4Addr>,
    writes: usize,
}

impl SplitFleet {
    /// A router reads the list, as it is or as it was, writes it if nobody else has, and reports to the
    /// contacts that it does not hear, which introduce it to their group.
    fn review(&mut self, router: usize, seen: &[Ipv4Addr]) {
        let own = self.groups.iter().position(|group| group.contains(&router)).expect("group");
        let heard: Vec<Ipv4Addr> = self.groups[own].iter().map(|index| address(*index)).collect();
        if seen == self.contacts
            && let Some(contacts) = plan_contacts(seen, address(router), &heard)
        {
            assert!(contacts.len() <= MAX_CONTACTS);
            self.contacts = contacts;
            self.writes += 1;
        }
        for contact in unheard_contacts(seen, address(router), &heard) {
            let other = u32::from(contact) as usize - 1;
            let found = self.groups.iter().position(|group| group.contains(&other));
            let own = self.groups.iter().position(|group| group.contains(&router)).expect("group");
            if let Some(found) = found.filter(|found| *found != own) {
                let merged = std::mem::take(&mut self.groups[found]);
                self.groups[own].extend(merged);
            }
        }
        self.groups.retain(|group| !group.is_empty());
    }

    /// Returns after how many rounds, in which every router reads the list once, all hear each other.
    fn rounds_until_whole(&mut self, random: &mut ChaCha8Rng) -> usize {
        let mut routers: Vec<usize> = self.groups.iter().flatten().copied().collect();
        for round in 1..=10 {
            let before = self.contacts.clone();
            routers.shuffle(random);
            for router in &routers {
                let is_stale = random.random_bool(0.3);
                let seen = if is_stale { before.clone() } else { self.contacts.clone() };
                self.review(*router, &seen);
            }
            if self.groups.len() == 1 {
                return round;
            }
        }
        panic!("{} groups are left", self.groups.len());
    }
}

/// Routers whose seeds are all gone never heard of each other.
#[test]
fn isolated_routers_find_each_other() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(2..100);
        let groups = (0..count).map(|index| BTreeSet::from([index])).collect();
        let gone = (500..500 + random.random_range(0..20)).map(address).take(MAX_CONTACTS);
        let mut fleet = SplitFleet { groups, contacts: gone.collect(), writes: 0 };
        let rounds = fleet.rounds_until_whole(&mut random);
        assert!(rounds <= 3, "seed {seed}: {rounds} rounds");
    }
}

/// Parts of a fleet that were started with different seeds stayed apart.
#[test]
fn parts_of_a_fleet_find_each_other() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let groups = vec![(0..30).collect(), (30..40).collect(), (40..42).collect()];
        let contacts = vec![address(700), address(3), address(701)];
        let mut fleet = SplitFleet { groups, contacts, writes: 0 };
        let rounds = fleet.rounds_until_whole(&mut random);
        assert!(rounds <= 3, "seed {seed}: {rounds} rounds");
    }
}

/// The platform charges every write, so a fleet that is whole leaves the list alone.
#[test]
fn whole_fleet_writes_few_contacts() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = SplitFleet { groups: vec![(0..20).collect()], contacts: Vec::new(), writes: 0 };
    for _ in 0..50 {
        for router in 0..20 {
            let seen = fleet.contacts.clone();
            fleet.review(router, &seen);
        }
        fleet.rounds_until_whole(&mut random);
    }
    assert!(fleet.writes <= 3, "{} writes", fleet.writes);
}

/// Contacts that are gone make room, those that run stay.
#[test]
fn contacts_that_are_gone_make_room() {
    let stored: Vec<Ipv4Addr> = (10..10 + MAX_CONTACTS).map(address).collect();
    let contacts = plan_contacts(&stored, address(1), &[stored[7], stored[6]]).expect("a change");
    assert_eq!(contacts[..3], [address(1), stored[6], stored[7]]);
    assert_eq!(contacts.len(), MAX_CONTACTS);
    assert_eq!(plan_contacts(&contacts, address(2), &contacts[..3]), None);
}
