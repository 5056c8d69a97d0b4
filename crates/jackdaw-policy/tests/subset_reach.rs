//! Degree and connectivity of the links between routers and agents, at a quarter of the planned
//! fleet size.

#[path = "support/reach.rs"]
mod reach;

use jackdaw_base::{DomainId, VmId};
use jackdaw_policy::{SubsetPolicy, choose_subset, linked_agents};
use reach::{SubsetReach, nodes};

const DOMAINS: u64 = 8;

#[test]
fn agents_in_reach() {
    let routers = nodes(1_000, 450, DOMAINS);
    let agents = nodes(10_000, 1_400, DOMAINS);
    let policy = SubsetPolicy::default();
    let reach = SubsetReach::measure(&routers, &agents, &policy, None);
    println!("{} | {}", reach.router_degrees(), reach.agent_degrees());
    assert_eq!(reach.components, 1);
    assert!(reach.agent_min() >= 8);
    assert!(reach.routers.iter().all(|degree| *degree <= 100));
}

#[test]
fn domain_gone() {
    let routers = nodes(1_000, 450, DOMAINS);
    let agents = nodes(10_000, 1_400, DOMAINS);
    for domain in 0..DOMAINS {
        let policy = SubsetPolicy::default();
        let reach = SubsetReach::measure(&routers, &agents, &policy, Some(DomainId(domain)));
        assert_eq!(reach.components, 1);
        assert!(reach.agent_min() >= 7);
    }
}

#[test]
fn even_domains() {
    let agents = nodes(10_000, 1_400, DOMAINS);
    let chosen = choose_subset(VmId(7), &agents, 24);
    for domain in 0..DOMAINS {
        let count = chosen.iter().filter(|vm| vm.0 % DOMAINS == (10_000 + domain) % DOMAINS);
        assert_eq!(count.count(), 3);
    }
}

#[test]
fn stable_choice() {
    let mut agents = nodes(10_000, 400, DOMAINS);
    let before = choose_subset(VmId(7), &agents, 24);
    let removed =
        agents.remove(agents.iter().position(|node| node.vm == before[0]).expect("chosen"));
    let after = choose_subset(VmId(7), &agents, 24);
    assert!(!after.contains(&removed.vm));
    let kept = before.iter().filter(|vm| after.contains(vm)).count();
    assert_eq!(kept, 23);
}

#[test]
fn both_ends_agree() {
    let routers = nodes(1_000, 40, DOMAINS);
    let agents = nodes(10_000, 30, DOMAINS);
    let policy = SubsetPolicy { agents_per_router: 16, routers_per_agent: 4 };
    for agent in &agents {
        let chosen = choose_subset(agent.vm, &routers, 4);
        for router in &routers {
            let linked = linked_agents(*router, &routers, &agents, &policy);
            let own = choose_subset(router.vm, &agents, 16);
            let is_linked = chosen.contains(&router.vm) || own.contains(&agent.vm);
            assert_eq!(linked.contains(&agent.vm), is_linked);
        }
    }
}
