//! Degrees and connected components of the links between routers and agents.

use std::collections::{BTreeMap, BTreeSet};

use jackdaw_base::{DomainId, VmId};
use jackdaw_policy::{SubsetNode, SubsetPolicy, choose_subset};

pub(crate) fn nodes(base: u64, count: u64, domains: u64) -> Vec<SubsetNode> {
    let node = |index| SubsetNode { vm: VmId(base + index), domain: DomainId(index % domains) };
    (0..count).map(node).collect()
}

pub(crate) struct SubsetReach {
    pub(crate) routers: Vec<usize>,
    agents: Vec<usize>,
    pub(crate) components: usize,
}

impl SubsetReach {
    /// Measures the links between live nodes; the nodes of `failed_domain` have failed but are
    /// still listed, so other nodes may select them.
    pub(crate) fn measure(
        routers: &[SubsetNode],
        agents: &[SubsetNode],
        policy: &SubsetPolicy,
        failed_domain: Option<DomainId>,
    ) -> SubsetReach {
        let is_live = |node: &&SubsetNode| Some(node.domain) != failed_domain;
        let live: BTreeSet<VmId> =
            routers.iter().chain(agents).filter(is_live).map(|node| node.vm).collect();
        let mut links: BTreeMap<VmId, BTreeSet<VmId>> =
            live.iter().map(|vm| (*vm, BTreeSet::new())).collect();
        let mut link = |from: VmId, selected: Vec<VmId>| {
            for to in selected.into_iter().filter(|to| live.contains(to)) {
                links.entry(from).or_default().insert(to);
                links.entry(to).or_default().insert(from);
            }
        };
        for node in routers.iter().filter(is_live) {
            link(node.vm, choose_subset(node.vm, agents, policy.agents_per_router as usize));
        }
        for node in agents.iter().filter(is_live) {
            link(node.vm, choose_subset(node.vm, routers, policy.routers_per_agent as usize));
        }
        let degrees = |nodes: &[SubsetNode]| {
            nodes.iter().filter(is_live).map(|node| links[&node.vm].len()).collect()
        };
        SubsetReach {
            routers: degrees(routers),
            agents: degrees(agents),
            components: count_components(&links),
        }
    }

    pub(crate) fn agent_min(&self) -> usize {
        self.agents.iter().min().copied().unwrap_or(0)
    }

    pub(crate) fn agent_degrees(&self) -> String {
        degree_summary(&self.agents)
    }

    pub(crate) fn router_degrees(&self) -> String {
        degree_summary(&self.routers)
    }
}

/// Formats the minimum, mean and maximum degree.
fn degree_summary(degrees: &[usize]) -> String {
    let min = degrees.iter().min().copied().unwrap_or(0);
    let max = degrees.iter().max().copied().unwrap_or(0);
    let mean = degrees.iter().sum::<usize>() as f64 / degrees.len().max(1) as f64;
    format!("{min} {mean:.1} {max}")
}

/// Returns the number of connected components.
fn count_components(links: &BTreeMap<VmId, BTreeSet<VmId>>) -> usize {
    let mut seen = BTreeSet::new();
    let mut count = 0;
    for start in links.keys() {
        if !seen.insert(*start) {
            continue;
        }
        count += 1;
        let mut frontier = vec![*start];
        while let Some(node) = frontier.pop() {
            frontier.extend(links[&node].iter().copied().filter(|other| seen.insert(*other)));
        }
    }
    count
}
