//! Identifiers of the simulated processes, and the links between routers and agents.

use jackdaw_base::{CustomerId, DomainId, VmId};
use jackdaw_policy::{SubsetNode, SubsetPolicy, linked_agents};

use super::plan::FleetPlan;

pub(crate) const ROUTER_BASE: u64 = 1 << 63;
pub(crate) const AGENT_BASE: u64 = 3 << 62;
pub(crate) const DOMAINS: u64 = 3;
/// Number of routers that an agent selects, in addition to the routers that select it.
const ROUTERS_PER_AGENT: u32 = 2;

pub(crate) fn customer_id(index: usize) -> CustomerId {
    CustomerId((1 << 63) + index as u64)
}

pub(crate) fn router_vm(index: usize) -> VmId {
    VmId(ROUTER_BASE + index as u64)
}

pub(crate) fn agent_vm(index: usize) -> VmId {
    VmId(AGENT_BASE + index as u64)
}

/// Returns the indices of the agents that each router is linked to.
pub(crate) fn router_links(plan: &FleetPlan) -> Vec<Vec<usize>> {
    let node = |vm, index| SubsetNode { vm, domain: DomainId(index as u64 % DOMAINS) };
    let routers: Vec<SubsetNode> =
        (0..plan.routers).map(|index| node(router_vm(index), index)).collect();
    let agents: Vec<SubsetNode> =
        (0..plan.agents).map(|index| node(agent_vm(index), index)).collect();
    let policy = SubsetPolicy {
        agents_per_router: plan.agents_per_router as u32,
        routers_per_agent: ROUTERS_PER_AGENT,
    };
    let agent_index = |agent: VmId| (agent.0 - AGENT_BASE) as usize;
    let linked = |router: &SubsetNode| linked_agents(*router, &routers, &agents, &policy);
    routers.iter().map(|router| linked(router).into_iter().map(agent_index).collect()).collect()
}
