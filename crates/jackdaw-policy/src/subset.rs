//! Subsets of the fleet that each node links to, so that no process knows all of it.
//!
//! A node ranks the others by rendezvous hashing and selects equal numbers from each failure
//! domain, so that it keeps the other links if a domain fails. A link exists if either end selects
//! the other: the selection by a router distributes its requests, the selection by an agent keeps
//! the agent reachable. Nodes with the same list compute the same links, and a VM that joins or
//! leaves changes only its own links.

use std::collections::BTreeMap;

use jackdaw_base::{DomainId, VmId, plain_data};

use crate::rendezvous::{rendezvous_top, rendezvous_weight};

/// Rendezvous key that ranks the routers to select account homes.
const HOME_KEY: u64 = 0x6163_636f_756e_7473;

plain_data! {
    copy
    /// A VM that is a candidate for links.
    pub struct SubsetNode {
        /// Identifier of the VM.
        pub vm: VmId,
        /// Failure domain of the VM.
        pub domain: DomainId,
    }
}

plain_data! {
    copy
    /// Sizes of the subsets that nodes select.
    pub struct SubsetPolicy {
        /// Number of agents of each service that a router selects.
        pub agents_per_router: u32,
        /// Number of routers that an agent selects.
        pub routers_per_agent: u32,
    }
}

impl Default for SubsetPolicy {
    fn default() -> SubsetPolicy {
        SubsetPolicy { agents_per_router: 24, routers_per_agent: 8 }
    }
}

/// Returns the `count` nodes that a VM selects, evenly distributed over failure domains, or all
/// nodes if there are not more.
pub fn choose_subset(vm: VmId, nodes: &[SubsetNode], count: usize) -> Vec<VmId> {
    if nodes.len() <= count {
        return nodes.iter().map(|node| node.vm).collect();
    }
    let mut domains: BTreeMap<DomainId, Vec<(u64, VmId)>> = BTreeMap::new();
    for node in nodes {
        let weight = rendezvous_weight(vm.0, node.vm);
        domains.entry(node.domain).or_default().push((weight, node.vm));
    }
    // Domains are taken round-robin: small ones are exhausted and large ones supply the rest.
    let mut ranked: Vec<(usize, u64, VmId)> = Vec::new();
    for (domain, mut members) in domains {
        if count < members.len() {
            members.select_nth_unstable_by(count, |a, b| b.cmp(a));
            members.truncate(count);
        }
        members.sort_unstable_by(|a, b| b.cmp(a));
        let domain_weight = rendezvous_weight(vm.0, VmId(domain.0));
        ranked.extend(
            members.iter().enumerate().map(|(round, (_, node))| (round, domain_weight, *node)),
        );
    }
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, node)| node).collect()
}

/// Returns the agents of one service that a router is linked to, in ascending order.
pub fn linked_agents(
    router: SubsetNode,
    routers: &[SubsetNode],
    agents: &[SubsetNode],
    policy: &SubsetPolicy,
) -> Vec<VmId> {
    let mut linked = choose_subset(router.vm, agents, policy.agents_per_router as usize);
    let mut domains: BTreeMap<DomainId, Vec<VmId>> = BTreeMap::new();
    for node in routers {
        domains.entry(node.domain).or_default().push(node.vm);
    }
    let count = policy.routers_per_agent as usize;
    for agent in agents {
        if is_chosen(agent.vm, router, &domains, count) {
            linked.push(agent.vm);
        }
    }
    linked.sort_unstable();
    linked.dedup();
    linked
}

/// Returns whether [`choose_subset`] for `vm` contains `node`; ranks only the nodes of its domain.
fn is_chosen(
    vm: VmId,
    node: SubsetNode,
    domains: &BTreeMap<DomainId, Vec<VmId>>,
    count: usize,
) -> bool {
    let Some(members) = domains.get(&node.domain) else {
        return false;
    };
    let rank = |other: VmId| (rendezvous_weight(vm.0, other), other);
    let own = rank(node.vm);
    let round = members.iter().filter(|other| rank(**other) > own).count();
    if round >= count {
        return false;
    }
    let domain_weight = rendezvous_weight(vm.0, VmId(node.domain.0));
    let mut before = 0;
    for (domain, others) in domains {
        before += others.len().min(round);
        let is_earlier = rendezvous_weight(vm.0, VmId(domain.0)) < domain_weight;
        before += usize::from(is_earlier && others.len() > round);
    }
    before < count
}

/// Returns the `count` routers that serve as account homes; every router is linked to all of them.
pub fn home_routers(routers: &[VmId], count: usize) -> Vec<VmId> {
    rendezvous_top(HOME_KEY, routers, count)
}
