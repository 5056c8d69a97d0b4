//! Fairness gap and utilisation, from what the engines did while work waited.

use std::time::Duration;

use jackdaw_base::{CustomerShare, plain_data};
use jackdaw_standin::EngineUsage;

plain_data! {
    /// A customer during the measured window.
    pub struct CustomerStats {
        /// The name.
        pub name: String,
        /// The share of capacity.
        pub share: CustomerShare,
        /// The tokens that engines produced for it.
        pub tokens: u64,
        /// The tokens divided by the share.
        pub normal_tokens: f64,
        /// Whether it had requests waiting at every sample.
        pub is_backlogged: bool,
    }
}

plain_data! {
    /// Figures of the measured window.
    pub struct WindowStats {
        /// The length of the window in seconds.
        pub seconds: f64,
        /// The customers.
        pub customers: Vec<CustomerStats>,
        /// The largest difference in tokens divided by share between backlogged customers.
        pub fairness_gap_tokens: f64,
        /// The mean of tokens divided by share over backlogged customers.
        pub mean_normal_tokens: f64,
        /// The place-time that was busy while work waited, in percent.
        pub utilisation_percent: f64,
        /// The part of the window in which work waited, in percent.
        pub waiting_percent: f64,
    }
}

/// A customer while the window is open.
#[derive(Debug, Clone)]
struct MeteredCustomer {
    /// The name.
    name: String,
    /// The share.
    share: CustomerShare,
    /// The tokens before the window.
    tokens_before: u64,
    /// Whether it has had requests waiting at every sample.
    is_backlogged: bool,
}

/// Meter of one window.
#[derive(Debug, Clone)]
pub struct FleetMeter {
    /// The customers.
    customers: Vec<MeteredCustomer>,
    /// The places of all engines.
    places: usize,
    /// The busy place-time at the last sample.
    place_time: Duration,
    /// The time of the last sample since the window was opened.
    last_sample: Duration,
    /// Whether work waited at the last sample.
    is_work_waiting: bool,
    /// The time in which work waited.
    waiting_time: Duration,
    /// The busy place-time while work waited.
    waiting_place_time: Duration,
}

impl FleetMeter {
    /// Opens a window over customers, given by name and share, and engines with `places`
    /// places in all.
    pub fn open(
        customers: &[(String, CustomerShare)],
        places: usize,
        usages: &[EngineUsage],
    ) -> FleetMeter {
        let mut metered = Vec::with_capacity(customers.len());
        for (name, share) in customers {
            metered.push(MeteredCustomer {
                name: name.clone(),
                share: *share,
                tokens_before: sum_tokens(usages, name),
                is_backlogged: true,
            });
        }
        FleetMeter {
            customers: metered,
            places,
            place_time: sum_place_time(usages),
            last_sample: Duration::ZERO,
            is_work_waiting: false,
            waiting_time: Duration::ZERO,
            waiting_place_time: Duration::ZERO,
        }
    }

    /// Takes a sample: the time since the window was opened, the open requests of each
    /// customer in the order of [`FleetMeter::open`], and the engines' usage.
    ///
    /// An interval counts as one in which work waits when work waited at both of its ends.
    pub fn sample(&mut self, elapsed: Duration, open_requests: &[usize], usages: &[EngineUsage]) {
        let mut any_waiting = false;
        for (customer, open) in self.customers.iter_mut().zip(open_requests) {
            let is_waiting = *open > sum_running(usages, &customer.name);
            customer.is_backlogged &= is_waiting;
            any_waiting |= is_waiting;
        }
        let place_time = sum_place_time(usages);
        if self.is_work_waiting && any_waiting {
            self.waiting_time += elapsed.saturating_sub(self.last_sample);
            self.waiting_place_time += place_time.saturating_sub(self.place_time);
        }
        self.is_work_waiting = any_waiting;
        self.place_time = place_time;
        self.last_sample = elapsed;
    }

    /// Closes the window and returns its figures.
    pub fn close(self, usages: &[EngineUsage]) -> WindowStats {
        let mut customers = Vec::with_capacity(self.customers.len());
        for customer in &self.customers {
            let tokens = sum_tokens(usages, &customer.name) - customer.tokens_before;
            customers.push(CustomerStats {
                name: customer.name.clone(),
                share: customer.share,
                tokens,
                normal_tokens: tokens as f64 / f64::from(customer.share.0),
                is_backlogged: customer.is_backlogged,
            });
        }
        let (gap, mean) = gap_and_mean(&customers);
        let capacity_time = self.waiting_time.as_secs_f64() * self.places as f64;
        WindowStats {
            seconds: self.last_sample.as_secs_f64(),
            customers,
            fairness_gap_tokens: gap,
            mean_normal_tokens: mean,
            utilisation_percent: percent(self.waiting_place_time.as_secs_f64(), capacity_time),
            waiting_percent: percent(
                self.waiting_time.as_secs_f64(),
                self.last_sample.as_secs_f64(),
            ),
        }
    }
}

/// Returns the largest difference and the mean of normalised tokens over backlogged customers.
fn gap_and_mean(customers: &[CustomerStats]) -> (f64, f64) {
    let mut min = f64::INFINITY;
    let mut max = f64::NEG_INFINITY;
    let mut sum = 0.0;
    let mut count = 0;
    for customer in customers {
        if customer.is_backlogged {
            min = min.min(customer.normal_tokens);
            max = max.max(customer.normal_tokens);
            sum += customer.normal_tokens;
            count += 1;
        }
    }
    if count == 0 {
        return (0.0, 0.0);
    }
    (max - min, sum / f64::from(count))
}

/// Returns a part in percent; zero where the whole is zero.
fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { 100.0 * part / whole } else { 0.0 }
}

/// Returns the tokens that all engines produced for a user.
fn sum_tokens(usages: &[EngineUsage], user: &str) -> u64 {
    usages.iter().filter_map(|usage| usage.users.get(user)).map(|user| user.tokens).sum()
}

/// Returns the requests of a user that run on all engines.
fn sum_running(usages: &[EngineUsage], user: &str) -> usize {
    usages.iter().filter_map(|usage| usage.users.get(user)).map(|user| user.running).sum()
}

/// Returns the busy place-time of all engines.
fn sum_place_time(usages: &[EngineUsage]) -> Duration {
    usages.iter().map(|usage| usage.place_time).sum()
}
