//! Customers of the demo, their shares, traffic patterns and assignment to routers.

use jackdaw_base::CustomerShare;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::args::DemoSettings;

/// Traffic pattern of a customer's completions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CustomerRole {
    /// Sends at a fixed mean rate far above its share, without waiting for answers.
    Flooding,
    /// Keeps a fixed number of requests open while the load lasts.
    Backlogged,
    /// Sends short requests at a low rate.
    Interactive,
}

/// A customer of the demo.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerPlan {
    /// The name, which callers send as `user`.
    pub name: String,
    /// The API key.
    pub key: String,
    /// The share of the capacity that the customer is entitled to.
    pub share: CustomerShare,
    /// The traffic pattern.
    pub role: CustomerRole,
    /// The percentage of requests that ask for a long answer.
    pub long_answer_percent: u32,
    /// The indices of the routers that receive its requests.
    pub routers: Vec<usize>,
    /// The number of requests that a backlogged customer keeps open; zero for other customers.
    pub concurrency: usize,
}

/// The open requests of a backlogged customer for each place that its share entitles it to.
const CONCURRENCY_PER_PLACE: usize = 4;

/// The open requests of a backlogged customer in addition to those for its places.
const BASE_CONCURRENCY: usize = 12;

/// Plans the customers for engines with `places` places in total.
///
/// The first customer floods, the last is interactive, and the others are backlogged with shares
/// of 1, 2 and 4. A customer uses one or several routers.
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

/// Picks the routers of a customer; every second customer uses a single router.
fn pick_routers(index: usize, routers: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..routers).collect();
    all.shuffle(rng);
    let count = if index % 2 == 1 { 1 } else { rng.random_range(1..=routers) };
    all.truncate(count);
    all
}

/// Gives each backlogged customer enough open requests that some of them always wait.
fn set_concurrency(plans: &mut [CustomerPlan], places: usize) {
    let total: usize = plans.iter().map(|plan| plan.share.0 as usize).sum();
    for plan in plans {
        if plan.role == CustomerRole::Backlogged {
            let fair_places = (places * plan.share.0 as usize).div_ceil(total);
            plan.concurrency = BASE_CONCURRENCY + CONCURRENCY_PER_PLACE * fair_places;
        }
    }
}
