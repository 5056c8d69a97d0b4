//! Which routers have to be told again of streams that began earlier.
//!
//! Each stream is known to a few routers. As these stop, are killed or start again without what they
//! knew, the others pass on what they know, so that a caller who comes back finds its stream even after
//! every router has been restarted in turn. A router that stops passes everything on.

use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;

use jackdaw_base::ProcessIncarnation;

use crate::direct::streams::stream_holders::{HolderMap, HolderPeer};
use crate::direct::streams::stream_table::StreamBinding;

/// Streams to tell each router of.
pub type TellingPlan = BTreeMap<Ipv4Addr, Vec<StreamBinding>>;

/// The other routers that can keep streams, as of the last update.
#[derive(Debug, Default)]
pub struct HolderRoster {
    members: BTreeMap<Ipv4Addr, HolderMember>,
}

/// Another router that can keep streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderMember {
    /// Incarnation of the router: another one knows nothing of before.
    pub incarnation: ProcessIncarnation,
    /// Failure domain of the router.
    pub domain: String,
}

impl HolderRoster {
    /// Returns how many of the routers are not among `present` any more, or have started again without what
    /// they knew.
    pub fn count_lost(&self, present: &BTreeMap<Ipv4Addr, HolderMember>) -> usize {
        self.members.iter().filter(|(ip, member)| present.get(ip) != Some(member)).count()
    }

    /// Replaces the routers that can keep streams, and returns which of them have to be told of which
    /// of `known`: routers that are new or started again, and those that take the place of others.
    pub fn update(
        &mut self,
        present: BTreeMap<Ipv4Addr, HolderMember>,
        known: impl Iterator<Item = StreamBinding>,
    ) -> TellingPlan {
        if self.members == present {
            return TellingPlan::new();
        }
        let before = std::mem::replace(&mut self.members, present);
        let (old_peers, new_peers) = (peers_of(&before), peers_of(&self.members));
        let (old_map, new_map) = (HolderMap::new(&old_peers), HolderMap::new(&new_peers));
        let is_unchanged = |ip: &Ipv4Addr| before.get(ip) == self.members.get(ip);
        let unchanged: HashSet<Ipv4Addr> = before.keys().copied().filter(is_unchanged).collect();
        let mut plan = TellingPlan::new();
        for binding in known {
            let told = old_map.receivers(binding.key);
            for receiver in new_map.receivers(binding.key) {
                if !told.contains(&receiver) || !unchanged.contains(&receiver) {
                    plan.entry(receiver).or_default().push(binding);
                }
            }
        }
        plan
    }
}

/// Returns which routers a router that stops tells of what it knows: all that are asked for a stream,
/// since some of them may stop as well.
pub fn plan_handover(
    peers: &[HolderPeer<'_>],
    known: impl Iterator<Item = StreamBinding>,
) -> TellingPlan {
    let map = HolderMap::new(peers);
    let mut plan = TellingPlan::new();
    for binding in known {
        for receiver in map.sources(binding.key) {
            plan.entry(receiver).or_default().push(binding);
        }
    }
    plan
}

fn peers_of(members: &BTreeMap<Ipv4Addr, HolderMember>) -> Vec<HolderPeer<'_>> {
    let peers = members.iter();
    peers.map(|(ip, member)| HolderPeer { address: *ip, domain: &member.domain }).collect()
}
