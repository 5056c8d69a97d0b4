//! Fairness gap and utilisation, computed from the usage counters of the engines.

use std::time::Duration;

use jackdaw_base::{CustomerShare, plain_data};
use jackdaw_standin::EngineUsage;

plain_data! {
    /// Statistics of a customer over the measured window.
    pub struct CustomerStats {
        /// The name of the customer.
        pub name: String,
        /// The share of the capacity that the customer is entitled to.
        pub share: CustomerShare,
        /// The number of tokens that the engines produced for the customer.
        pub tokens: u64,
        /// The number of tokens divided by the share.
        pub normal_tokens: f64,
        /// Whether the customer had requests waiting at every sample.
        pub is_backlogged: bool,
    }
}

plain_data! {
    /// Statistics of the measured window.
    pub struct WindowStats {
        /// The length of the window in seconds.
        pub seconds: f64,
        /// The statistics of each customer.
        pub customers: Vec<CustomerStats>,
        /// The largest difference between backlogged customers in tokens divided by share.
        pub fairness_gap_tokens: f64,
        /// The mean of tokens divided by share over backlogged customers.
        pub mean_normal_tokens: f64,
        /// The percentage of all places that were busy, averaged over the time during which
        /// requests waited.
        pub utilisation_percent: f64,
        /// The percentage of the window during which requests waited.
        pub waiting_percent: f64,
    }
}

/// Measurement state of a customer while the window is open.
#[derive(Debug, Clone)]
struct MeteredCustomer {
    /// The name of the customer.
    name: String,
    /// The share of the capacity that the customer is entitled to.
    share: CustomerShare,
    /// The number of tokens produced before the window was opened.
    tokens_before: u64,
    /// Whether the customer has had requests waiting at every sample so far.
    is_backlogged: bool,
}

/// Measures fairness and utilisation over one window.
#[derive(Debug, Clone)]
pub struct FleetMeter {
    /// The measurement state of each customer.
    customers: Vec<MeteredCustomer>,
    /// The total number of places of all engines; a place runs one request at a time.
    places: usize,
    /// The cumulative busy place time at the last sample.
    place_time: Duration,
    /// The time from the opening of the window to the last sample.
    last_sample: Duration,
    /// Whether any request was waiting at the last sample.
    is_work_waiting: bool,
    /// The total time during which requests waited.
    waiting_time: Duration,
    /// The busy place time accumulated while requests waited.
    waiting_place_time: Duration,
}

impl FleetMeter {
    /// Opens a window for customers, given by name and share, and engines with `places` places in
    /// total and the current counters `usages`.
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

    /// Adds a sample: the time since the window was opened, the number of open requests of each
    /// customer in the order given to [`FleetMeter::open`], and the usage counters of the engines.
    ///
    /// Requests count as waiting during an interval if some waited at both its start and its end.
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

    /// Closes the window and returns its statistics.
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

/// Returns the largest difference and the mean of tokens divided by share over backlogged
/// customers; zeros if there are none.
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

/// Returns `part` as a percentage of `whole`; zero if `whole` is zero.
fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { 100.0 * part / whole } else { 0.0 }
}

/// Returns the number of tokens that all engines produced for a user.
fn sum_tokens(usages: &[EngineUsage], user: &str) -> u64 {
    usages.iter().filter_map(|usage| usage.users.get(user)).map(|user| user.tokens).sum()
}

/// Returns the number of requests of a user that are running on all engines.
fn sum_running(usages: &[EngineUsage], user: &str) -> usize {
    usages.iter().filter_map(|usage| usage.users.get(user)).map(|user| user.running).sum()
}

/// Returns the total busy place time of all engines.
fn sum_place_time(usages: &[EngineUsage]) -> Duration {
    usages.iter().map(|usage| usage.place_time).sum()
}
