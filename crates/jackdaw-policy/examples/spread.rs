//! Prints how many routers a configuration update reaches by gossip, hop by hop, at the planned
//! fleet size.
//!
//! Arguments: `--routers N`, `--domains N`, `--homes N`, `--seed N`. The links are selected as in a
//! router; a hop is one message between linked routers.

use std::collections::BTreeSet;

use jackdaw_base::{DomainId, VmId};
use jackdaw_policy::subset::{SubsetNode, home_routers};
use jackdaw_policy::{DIGEST_FANOUT, GOSSIP_FANOUT, pick_peers, relay_routers};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of digest rounds after the last router has forwarded the update.
const DIGEST_ROUNDS: usize = 5;

fn main() {
    let count = read_option("--routers", 1800);
    let domains = read_option("--domains", 8);
    let homes = read_option("--homes", 200);
    let seed = read_option("--seed", 1) as u64;
    let mut nodes = Vec::new();
    for index in 0..count {
        let vm = VmId::from_name(&format!("router-{index}"));
        nodes.push(SubsetNode { vm, domain: DomainId((index % domains) as u64) });
    }
    let links = link_routers(&nodes, homes);
    let relays: Vec<usize> = relay_routers(&nodes).iter().map(|vm| position(&nodes, *vm)).collect();
    println!("{count} routers, {} relays, fan-out {GOSSIP_FANOUT}, seed {seed}", relays.len());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Only one relay has the update: the worst case, in which all other relays are cut off.
    let mut informed = BTreeSet::from([relays[0]]);
    let mut fresh = vec![relays[0]];
    let mut hop = 0;
    let mut copies = 0;
    while !fresh.is_empty() {
        hop += 1;
        let mut next = Vec::new();
        for router in fresh {
            for peer in pick(&mut rng, &links[router], GOSSIP_FANOUT) {
                copies += 1;
                if informed.insert(peer) {
                    next.push(peer);
                }
            }
        }
        println!("hop {hop}: {} informed, {copies} copies", informed.len());
        fresh = next;
    }
    for round in 1..=DIGEST_ROUNDS {
        let before = informed.clone();
        for (router, linked) in links.iter().enumerate() {
            for peer in pick(&mut rng, linked, DIGEST_FANOUT) {
                if before.contains(&router) || before.contains(&peer) {
                    informed.insert(router);
                    informed.insert(peer);
                }
            }
        }
        println!("digest round {round}: {} informed", informed.len());
    }
}

/// Links every router to each account home, as routers do.
fn link_routers(nodes: &[SubsetNode], homes: usize) -> Vec<Vec<usize>> {
    let ids: Vec<VmId> = nodes.iter().map(|node| node.vm).collect();
    let homes: BTreeSet<VmId> = home_routers(&ids, homes).into_iter().collect();
    let mut links = vec![Vec::new(); nodes.len()];
    for (index, router) in ids.iter().enumerate() {
        for (other, peer) in ids.iter().enumerate() {
            if index != other && (homes.contains(router) || homes.contains(peer)) {
                links[index].push(other);
            }
        }
    }
    links
}

fn pick(rng: &mut ChaCha8Rng, links: &[usize], count: usize) -> Vec<usize> {
    let peers: Vec<VmId> = links.iter().map(|index| VmId(*index as u64)).collect();
    pick_peers(rng, &peers, None, count).iter().map(|peer| peer.0 as usize).collect()
}

fn position(nodes: &[SubsetNode], vm: VmId) -> usize {
    nodes.iter().position(|node| node.vm == vm).expect("a relay is one of the routers")
}

fn read_option(name: &str, default: usize) -> usize {
    let mut arguments = std::env::args();
    while let Some(argument) = arguments.next() {
        if argument == name {
            return arguments
                .next()
                .and_then(|value| value.parse().ok())
                .expect("the option value must be a number");
        }
    }
    default
}
