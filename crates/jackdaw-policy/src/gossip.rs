//! Gossip parameters and peer selection for the distribution of configuration.
//!
//! Only a few relays watch the platform, so that the load on it does not grow with the fleet. A
//! router that receives an update forwards it once to a few random linked routers. Updates that
//! this misses are found by comparing digests with a few others each second. (Rumour mongering
//! with anti-entropy, after Demers et al., "Epidemic Algorithms for Replicated Database
//! Maintenance", 1987.)

use std::collections::BTreeMap;

use jackdaw_base::{DomainId, VmId};
use rand::Rng;
use rand::seq::index::sample;

use crate::rendezvous::rendezvous_top;
use crate::subset::SubsetNode;

/// Number of routers in each failure domain that watch the platform.
pub const RELAYS_PER_DOMAIN: usize = 2;

/// Number of linked routers that an update is forwarded to.
pub const GOSSIP_FANOUT: usize = 8;

/// Number of linked routers whose digests are compared each second.
pub const DIGEST_FANOUT: usize = 2;

/// Rendezvous key that ranks the routers to select relays.
const RELAY_KEY: u64 = 0x7265_6c61_7973;

/// Returns the routers that watch the platform on behalf of the fleet.
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

/// Returns `count` random peers other than `source`, or all of these if there are not more.
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
