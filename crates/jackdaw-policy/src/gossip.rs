//! How configuration spreads: who asks the platform, and who tells whom.
//!
//! A few relays watch the platform, so that its load does not grow with the fleet. A router
//! that learns something new tells a few linked routers picked at random, once; what this
//! leaves out is found by comparing digests with a few others each second. (Rumour mongering
//! with anti-entropy, after Demers et al., "Epidemic Algorithms for Replicated Database
//! Maintenance", 1987.)

use std::collections::BTreeMap;

use jackdaw_base::{DomainId, VmId};
use rand::Rng;
use rand::seq::index::sample;

use crate::rendezvous::rendezvous_top;
use crate::subset::SubsetNode;

/// The routers of each failure domain that watch the platform.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// The linked routers that are told of something new.
pub const GOSSIP_FANOUT: usize = 8;

/// The linked routers with which a digest is compared each second.
pub const DIGEST_FANOUT: usize = 2;

/// Key by which relays are ranked.
const RELAY_KEY: u64 = 0x7265_6c61_7973;

/// Returns the routers that watch the platform for all others.
pub fn relay_routers(routers: &[SubsetNode]) -> Vec<VmId> {
    let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
    for node in routers {
        domains.entry(node.domain).or_default().push(node.vm);
    }
    let mut relays = Vec::new();
    for members in domains.values() {
        relays.extend(rendezvous_top(RELAY_KEY, members, RELAYS_PER_DOMAIN));
    }
    relays
}

/// Returns `count` of the peers at random without `source`, or all of them where there are no
/// more.
pub fn pick_peers<R: Rng>(
    rng: &mut R,
    peers: &[VmId],
    source: Option<VmId>,
    count: usize,
) -> Vec<VmId> {
    let mut others: Vec<VmId> = peers.to_vec();
    others.retain(|peer| Some(*peer) != source);
    if others.len() <= count {
        return others;
    }
    sample(rng, others.len(), count).into_iter().map(|index| others[index]).collect()
}
