//! Fairness of shares across a simulated fleet, compared with policies that do not provide it.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::plan::{COST_MAX, FleetPlan, PLACE_RATE};
use fleet::{FleetResult, FleetSimulation};
use jackdaw_policy::SharePolicy;

/// Seed of every run unless `JACKDAW_SEED` is set.
const DEFAULT_SEED: u64 = 11;

/// Maximum time without service for a backlogged customer, in seconds: the longest possible run,
/// after which every place has been granted again.
const MAX_STARVATION: u64 = COST_MAX / PLACE_RATE;

fn seed() -> u64 {
    let seed = std::env::var("JACKDAW_SEED").ok().and_then(|text| text.parse().ok());
    seed.unwrap_or(DEFAULT_SEED)
}

fn plan(policy: SharePolicy) -> FleetPlan {
    let seed = seed();
    println!("seed {seed}");
    let mut plan = FleetPlan::even(seed, policy, 8, 24);
    plan.agents_per_router = 8;
    plan.agent_policy.places = 2;
    plan
}

fn run(plan: FleetPlan, load: &str) -> FleetResult {
    let result = FleetSimulation::new(plan.with_load(load)).run();
    println!("{load}: {result:?}");
    result
}

fn assert_fair(result: &FleetResult) {
    assert_eq!(result.violations, Vec::<String>::new());
    assert!(result.gap <= result.bound);
    assert!(result.utilisation >= 97.0);
    assert!(result.starved <= MAX_STARVATION);
}

#[test]
fn even_load() {
    assert_fair(&run(plan(SharePolicy::Fleet), "even"));
}

#[test]
fn flooding_customer() {
    let fleet = run(plan(SharePolicy::Fleet), "flood");
    assert_fair(&fleet);
    let first_come = run(plan(SharePolicy::FirstCome), "flood");
    assert!(first_come.gap > first_come.bound);
    assert!(first_come.starved > fleet.starved);
}

#[test]
fn uneven_routers() {
    let fleet = run(plan(SharePolicy::Fleet), "uneven");
    assert_fair(&fleet);
    let local = run(plan(SharePolicy::Local), "uneven");
    assert!(local.gap >= 5 * fleet.gap);
    let mut longer = plan(SharePolicy::Local);
    longer.seconds = 480;
    let local = run(longer, "uneven");
    assert!(local.gap > local.bound);
}

#[test]
fn wrong_hints() {
    assert_fair(&run(plan(SharePolicy::Fleet), "hints"));
}

#[test]
fn router_partition() {
    assert_fair(&run(plan(SharePolicy::Fleet), "cut"));
}

#[test]
fn fleet_partition() {
    let result = run(plan(SharePolicy::Fleet), "split");
    assert_eq!(result.violations, Vec::<String>::new());
    assert!(result.starved <= MAX_STARVATION);
}

#[test]
fn restarts_and_message_loss() {
    let result = run(plan(SharePolicy::Fleet), "restarts");
    assert_eq!(result.violations, Vec::<String>::new());
}

#[test]
fn unequal_shares() {
    assert_fair(&run(plan(SharePolicy::Fleet), "shares"));
}

#[test]
fn returning_customer() {
    let mut plan = plan(SharePolicy::Fleet);
    plan.customers.truncate(4);
    plan.seconds = 200;
    assert_fair(&run(plan, "returns"));
}
