//! Prints the fairness gap, utilisation and control traffic of the three share policies.
//!
//! Arguments, all optional: seed, seconds, routers, agents, and the only load to run.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use fleet::FleetSimulation;
use fleet::plan::FleetPlan;
use jackdaw_policy::SharePolicy;

const POLICIES: [SharePolicy; 3] = [SharePolicy::Fleet, SharePolicy::Local, SharePolicy::FirstCome];

fn main() {
    let only_load = std::env::args().nth(5);
    let mut numbers = std::env::args()
        .skip(1)
        .take(4)
        .map(|text| text.parse().expect("the first four arguments must be whole numbers"));
    let seed: u64 = numbers.next().unwrap_or(1);
    let seconds = numbers.next().unwrap_or(240);
    let routers = numbers.next().unwrap_or(40) as usize;
    let agents = numbers.next().unwrap_or(120) as usize;
    println!("seed {seed}, {seconds} s, {routers} routers, {agents} agents of 8 places");
    println!(
        "load | policy | gap | bound | mean service | utilisation | starved s | messages/s | bytes/s/node | fairness bytes/s/node"
    );
    for load in
        ["even", "flood", "uneven", "hints", "shares", "returns", "cut", "split", "restarts"]
    {
        if only_load.as_deref().is_some_and(|only| only != load) {
            continue;
        }
        for policy in POLICIES {
            let mut plan = FleetPlan::even(seed, policy, routers, agents);
            plan.seconds = seconds;
            let plan = plan.with_load(load);
            let nodes = (routers + agents) as u64;
            let result = FleetSimulation::new(plan).run();
            println!(
                "{load} | {policy:?} | {} | {} | {} | {:.2} | {} | {} | {} | {}",
                result.gap,
                result.bound,
                result.mean_service,
                result.utilisation,
                result.starved,
                result.messages / seconds,
                result.bytes / seconds / nodes,
                result.fairness_bytes / seconds / nodes,
            );
            for violation in result.violations.iter().take(3) {
                println!("  violation: {violation}");
            }
        }
    }
}
