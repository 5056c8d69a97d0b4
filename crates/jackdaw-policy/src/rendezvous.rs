//! Rendezvous hashing (Thaler and Ravishankar, 1998): all processes with the same node list select
//! the same node for a key, and the removal of a node reassigns only the keys of that node.

use jackdaw_base::VmId;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash weight of a node for a key; the node with the highest weight is selected.
pub fn rendezvous_weight(key: u64, node: VmId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&node.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Returns the node with the highest weight for a key; `None` if there are no nodes.
pub fn rendezvous_first(key: u64, nodes: &[VmId]) -> Option<VmId> {
    nodes.iter().copied().max_by_key(|node| (rendezvous_weight(key, *node), *node))
}

/// Returns the `count` nodes with the highest weights for a key, highest first.
pub fn rendezvous_top(key: u64, nodes: &[VmId], count: usize) -> Vec<VmId> {
    let mut ranked: Vec<(u64, VmId)> =
        nodes.iter().map(|node| (rendezvous_weight(key, *node), *node)).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}
