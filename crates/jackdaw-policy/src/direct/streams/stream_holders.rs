//! Which routers keep the software version of a stream for the others.
//!
//! All routers rank the failure domains, and the routers in them, by rendezvous hashing of the stream's
//! key. The router that begins a stream tells the first router of each of the first domains; a router
//! that a caller comes back to asks the first few of them, since the two may know slightly different
//! fleets. What is told and asked grows with a router's own streams, not with the fleet.

use std::net::Ipv4Addr;

use jackdaw_base::VmId;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::streams::stream_table::StreamKey;
use crate::rendezvous::rendezvous_weight;

/// Number of failure domains that keep a stream.
const HOLDING_DOMAINS: usize = 2;

/// Routers that are told of a stream in each of these domains, and routers that are asked there.
const TOLD_PER_DOMAIN: usize = 1;
const ASKED_PER_DOMAIN: usize = 2;

/// Addresses of the routers that are told or asked.
pub type HolderList = SmallVec<[Ipv4Addr; HOLDING_DOMAINS * ASKED_PER_DOMAIN]>;

/// Another router that may keep streams.
#[derive(Debug, Clone, Copy)]
pub struct HolderPeer<'a> {
    /// Address of the router.
    pub address: Ipv4Addr,
    /// Failure domain of the router.
    pub domain: &'a str,
}

/// The routers that may keep streams, by failure domain.
#[derive(Debug, Default)]
pub struct HolderMap<'a> {
    domains: Vec<HolderDomain<'a>>,
}

/// Routers of one failure domain.
#[derive(Debug)]
struct HolderDomain<'a> {
    name: &'a str,
    node: VmId,
    members: Vec<Ipv4Addr>,
}

impl<'a> HolderMap<'a> {
    /// Creates the map of the routers that report.
    pub fn new(peers: &[HolderPeer<'a>]) -> HolderMap<'a> {
        let mut map = HolderMap::default();
        for peer in peers {
            match map.domains.iter_mut().find(|domain| domain.name == peer.domain) {
                Some(domain) => domain.members.push(peer.address),
                None => map.domains.push(HolderDomain {
                    name: peer.domain,
                    node: VmId(xxh3_64(peer.domain.as_bytes())),
                    members: vec![peer.address],
                }),
            }
        }
        map
    }

    /// Returns the routers that are told of a stream.
    pub fn receivers(&self, key: StreamKey) -> HolderList {
        self.rank(key, TOLD_PER_DOMAIN)
    }

    /// Returns the routers that are asked for a stream.
    pub fn sources(&self, key: StreamKey) -> HolderList {
        self.rank(key, ASKED_PER_DOMAIN)
    }

    fn rank(&self, key: StreamKey, per_domain: usize) -> HolderList {
        let mut domains: SmallVec<[(u64, &HolderDomain<'_>); 8]> = SmallVec::new();
        let weighted =
            self.domains.iter().map(|domain| (rendezvous_weight(key.0, domain.node), domain));
        domains.extend(weighted);
        domains.sort_unstable_by(|a, b| (b.0, b.1.name).cmp(&(a.0, a.1.name)));
        domains.truncate(HOLDING_DOMAINS);
        // With a single domain, its routers stand in for those of another one.
        let count = per_domain * HOLDING_DOMAINS / domains.len().max(1);
        domains.iter().flat_map(|(_, domain)| domain.top(key, count)).collect()
    }
}

impl HolderDomain<'_> {
    fn top(&self, key: StreamKey, count: usize) -> HolderList {
        let mut ranked: SmallVec<[(u64, Ipv4Addr); 4]> = SmallVec::new();
        for address in &self.members {
            let node = VmId(u64::from(u32::from(*address)));
            let weighted = (rendezvous_weight(key.0, node), *address);
            let position = ranked.partition_point(|other| *other >= weighted);
            if position < count {
                ranked.truncate(count - 1);
                ranked.insert(position, weighted);
            }
        }
        ranked.into_iter().map(|(_, address)| address).collect()
    }
}

/// Returns the routers that are told of a stream; `peers` are those that report.
pub fn stream_receivers(key: StreamKey, peers: &[HolderPeer<'_>]) -> HolderList {
    HolderMap::new(peers).receivers(key)
}

/// Returns the routers that are asked for a stream.
pub fn stream_sources(key: StreamKey, peers: &[HolderPeer<'_>]) -> HolderList {
    HolderMap::new(peers).sources(key)
}
