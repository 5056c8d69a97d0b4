//! The customers of the demo and how they spread over routers.

use jackdaw_base::CustomerShare;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::args::DemoSettings;

/// How a customer sends completions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CustomerRole {
    /// Sends at a fixed rate, far over its share, whether answered or not.
    Flooding,
    /// Keeps a number of requests open for as long as the load lasts.
    Backlogged,
    /// Sends short requests now and then.
    Interactive,
}

/// A customer of the demo.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerPlan {
    /// The name, which the caller sends as `user`.
    pub name: String,
    /// The secret key.
    pub key: String,
    /// The share of capacity.
    pub share: CustomerShare,
    /// The way it sends.
    pub role: CustomerRole,
    /// The requests in a hundred that ask for a long draft.
    pub long_answer_percent: u32,
    /// The routers that it sends to, by position.
    pub routers: Vec<usize>,
    /// The requests that a backlogged customer keeps open.
    pub concurrency: usize,
}

/// Open requests of a backlogged customer for each place that it is fair_places.
const CONCURRENCY_PER_PLACE: usize = 4;

/// Open requests that a backlogged customer keeps beyond its share.
const BASE_CONCURRENCY: usize = 12;

/// Plans the customers: the first floods, the last is interactive, the others are backlogged
/// with shares of 1, 2 and 4, on one router or on several.
pub fn plan_customers(settings: &DemoSettings, places: usize) -> Vec<CustomerPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut plans = Vec::with_capacity(settings.customers);
    for index in 0..settings.customers {
        let role = if index == 0 {
            CustomerRole::Flooding
        } else if index + 1 == settings.customers {
            CustomerRole::Interactive
        } else {
            CustomerRole::Backlogged
        };
        let share = match role {
            CustomerRole::Backlogged => 1 << (index % 3),
            CustomerRole::Flooding | CustomerRole::Interactive => 1,
        };
        let long_answer_percent = match role {
            CustomerRole::Backlogged => [0, 20, 100, 50][index % 4],
            CustomerRole::Flooding | CustomerRole::Interactive => 0,
        };
        plans.push(CustomerPlan {
            name: format!("customer-{index:02}"),
            key: format!("demo-key-{index:02}-{:016x}", rng.random::<u64>()),
            share: CustomerShare(share),
            role,
            long_answer_percent,
            routers: pick_routers(index, settings.routers, &mut rng),
            concurrency: 0,
        });
    }
    set_concurrency(&mut plans, places);
    plans
}

/// Picks the routers of a customer: every other customer sits on a single one.
fn pick_routers(index: usize, routers: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..routers).collect();
    all.shuffle(rng);
    let count = if index % 2 == 1 { 1 } else { rng.random_range(1..=routers) };
    all.truncate(count);
    all
}

/// Gives each backlogged customer enough open requests to have some waiting at any time.
fn set_concurrency(plans: &mut [CustomerPlan], places: usize) {
    let total: usize = plans.iter().map(|plan| plan.share.0 as usize).sum();
    for plan in plans {
        if plan.role == CustomerRole::Backlogged {
            let fair_places = (places * plan.share.0 as usize).div_ceil(total);
            plan.concurrency = BASE_CONCURRENCY + CONCURRENCY_PER_PLACE * fair_places;
        }
    }
}
