//! Who is linked to whom, so that no process knows the whole fleet.
//!
//! A node ranks the others by rendezvous hashing and takes as many of each failure domain, so
//! that a missing domain leaves it the rest. A link exists where either end has chosen the
//! other: a router's own choice spreads its requests, an agent's choice keeps it in reach.
//! Everyone who holds the same list computes the same links, and a VM that comes or goes moves
//! only its own.

use std::collections::BTreeMap;

use jackdaw_base::{DomainId, VmId, plain_data};

use crate::rendezvous::{rendezvous_top, rendezvous_weight};

/// Key by which the routers that keep account homes are ranked.
const HOME_KEY: u64 = 0x6163_636f_756e_7473;

plain_data! {
    copy
    /// A VM that may be linked to.
    pub struct SubsetNode {
        /// The VM.
        pub vm: VmId,
        /// Its failure domain.
        pub domain: DomainId,
    }
}

plain_data! {
    copy
    /// Size of subsets.
    pub struct SubsetPolicy {
        /// The agents of each service that a router chooses.
        pub agents_per_router: u32,
        /// The routers that an agent chooses.
        pub routers_per_agent: u32,
    }
}

impl Default for SubsetPolicy {
    fn default() -> SubsetPolicy {
        SubsetPolicy { agents_per_router: 24, routers_per_agent: 8 }
    }
}

/// Returns the `count` nodes that a VM chooses, evenly over failure domains; all of them where
/// there are no more.
pub fn choose_subset(vm: VmId, nodes: &[SubsetNode], count: usize) -> Vec<VmId> {
    if nodes.len() <= count {
        return nodes.iter().map(|node| node.vm).collect();
    }
    let mut domains: BTreeMap<DomainId, Vec<(u64, VmId)>> = BTreeMap::new();
    for node in nodes {
        let weight = rendezvous_weight(vm.0, node.vm);
        domains.entry(node.domain).or_default().push((weight, node.vm));
    }
    // Domains take turns, so that small ones give all they have and large ones fill the rest.
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

/// Returns the agents of one service that a router keeps links to, in ascending order.
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

/// Returns whether [`choose_subset`] of `vm` has `node`, by ranking the node's domain only.
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

/// Returns the routers that keep account homes; every router keeps a link to each of them.
pub fn home_routers(routers: &[VmId], count: usize) -> Vec<VmId> {
    rendezvous_top(HOME_KEY, routers, count)
}
