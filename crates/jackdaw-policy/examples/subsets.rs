//! Prints the degrees and the connectivity of the link subsets at the planned fleet size.
//!
//! Optional arguments, in this order: numbers of routers, agents of one service and failure
//! domains.

#[path = "../tests/support/reach.rs"]
mod reach;

use std::time::Instant;

use jackdaw_base::DomainId;
use jackdaw_policy::{SubsetPolicy, linked_agents};
use reach::{SubsetReach, nodes};

fn main() {
    let mut numbers =
        std::env::args().skip(1).map(|text| text.parse().expect("arguments must be whole numbers"));
    let routers: u64 = numbers.next().unwrap_or(1_800);
    let agents: u64 = numbers.next().unwrap_or(5_600);
    let domains: u64 = numbers.next().unwrap_or(8);
    println!("{routers} routers, {agents} agents, {domains} failure domains");
    println!(
        "links | agents per router: min mean max | routers per agent: min mean max | components | components, domain failed: max | routers per agent, domain failed: min"
    );
    for policy in [
        SubsetPolicy { agents_per_router: 24, routers_per_agent: 0 },
        SubsetPolicy { agents_per_router: 64, routers_per_agent: 0 },
        SubsetPolicy::default(),
        SubsetPolicy { agents_per_router: 64, routers_per_agent: 8 },
    ] {
        let routers = nodes(1_000_000, routers, domains);
        let agents = nodes(2_000_000, agents, domains);
        let reach = SubsetReach::measure(&routers, &agents, &policy, None);
        let failed = (0..domains)
            .map(|domain| SubsetReach::measure(&routers, &agents, &policy, Some(DomainId(domain))));
        let failed: Vec<SubsetReach> = failed.collect();
        println!(
            "{} and {} | {} | {} | {} | {} | {}",
            policy.agents_per_router,
            policy.routers_per_agent,
            reach.router_degrees(),
            reach.agent_degrees(),
            reach.components,
            failed.iter().map(|reach| reach.components).max().unwrap_or(0),
            failed.iter().map(|reach| reach.agent_min()).min().unwrap_or(0),
        );
        let start = Instant::now();
        let linked = linked_agents(routers[0], &routers, &agents, &policy);
        println!("  one router computes {} links in {:?}", linked.len(), start.elapsed());
    }
}
