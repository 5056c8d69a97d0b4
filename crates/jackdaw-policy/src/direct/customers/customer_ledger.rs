//! Service per customer within a sliding window, summed over all routers, and its fair share.
//!
//! Shares are max-min fair: a customer that requests less than an equal share gets all of it, and
//! the others divide the remainder equally. Two totals are divided this way: the configured
//! capacity of the fleet, which customers are entitled to, and the service that the fleet has
//! actually started, which is to be distributed evenly as well.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation, plain_data};
use rustc_hash::FxHashMap;

use crate::direct::fleet::peer_report::CustomerUsage;

/// Number of buckets in the window.
const WINDOW_BUCKETS: u32 = 8;

/// Time for which computed share levels are reused.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);

plain_data! {
    copy
    /// Customer's service within the window relative to its shares.
    #[serde(rename_all = "kebab-case")]
    pub enum ShareTier {
        /// Within its share of the configured capacity and of the service actually started.
        Owed,
        /// Above one of the two shares.
        Surplus,
        /// Above both shares.
        Excess,
    }
}

/// Customer's service within the window compared with its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareStatus {
    /// Tier that decides how long the customer's requests may wait.
    pub tier: ShareTier,
    /// Service within the window divided by the customer's share of the configured capacity;
    /// zero if every customer gets all it requests.
    pub share_used: f64,
}

impl ShareStatus {
    /// Status of requests without a customer, which are not accounted for.
    pub const UNCOUNTED: ShareStatus = ShareStatus { tier: ShareTier::Owed, share_used: 0.0 };
}

/// Service within the window up to which a customer is within its share; `None` if all customers
/// get what they request.
type ShareLevel = Option<f64>;

/// Tokens requested by one customer and tokens of its started runs.
#[derive(Debug, Clone, Copy, Default)]
struct TokenCount {
    requested: u64,
    started: u64,
}

impl TokenCount {
    fn add(&mut self, other: TokenCount) {
        self.requested += other.requested;
        self.started += other.started;
    }

    fn subtract(&mut self, other: TokenCount) {
        self.requested = self.requested.saturating_sub(other.requested);
        self.started = self.started.saturating_sub(other.started);
    }
}

/// Counts of one bucket of the window.
#[derive(Debug, Clone)]
struct WindowBucket {
    start: MonotonicTime,
    counts: FxHashMap<CustomerId, TokenCount>,
}

/// Service per customer within the window, from this router and its peers.
#[derive(Debug, Clone)]
pub struct CustomerLedger {
    window: Duration,
    buckets: VecDeque<WindowBucket>,
    own: FxHashMap<CustomerId, TokenCount>,
    others: FxHashMap<CustomerId, TokenCount>,
    peers: FxHashMap<ProcessIncarnation, Vec<(CustomerId, TokenCount)>>,
    /// Share level of the configured capacity, in tokens per window.
    capacity_level: ShareLevel,
    /// Share level of the service actually started, in tokens per window.
    started_level: ShareLevel,
    level_time: Option<MonotonicTime>,
}

impl CustomerLedger {
    /// Creates an empty ledger that counts over `window`.
    pub fn new(window: Duration) -> CustomerLedger {
        CustomerLedger {
            window,
            buckets: VecDeque::new(),
            own: FxHashMap::default(),
            others: FxHashMap::default(),
            peers: FxHashMap::default(),
            capacity_level: None,
            started_level: None,
            level_time: None,
        }
    }

    /// Changes the window; counts recorded so far are kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Records the tokens of an arrived request.
    pub fn record_requested(&mut self, now: MonotonicTime, customer: CustomerId, tokens: u64) {
        self.record(now, customer, TokenCount { requested: tokens, started: 0 });
    }

    /// Records the tokens of a request that was sent to a target.
    pub fn record_started(&mut self, now: MonotonicTime, customer: CustomerId, tokens: u64) {
        self.record(now, customer, TokenCount { requested: 0, started: tokens });
    }

    /// Returns a customer's share status for a fleet with a capacity of `tokens_per_second`.
    pub fn share_status(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        tokens_per_second: u64,
    ) -> ShareStatus {
        self.drop_expired(now);
        let is_fresh = self.level_time.is_some_and(|time| now.since(time) < LEVEL_LIFETIME);
        if !is_fresh {
            self.update_levels(tokens_per_second);
            self.level_time = Some(now);
        }
        let started = self.total(customer).started as f64;
        let exceeds = |level: ShareLevel| level.is_some_and(|level| started > level);
        let tier = match (exceeds(self.capacity_level), exceeds(self.started_level)) {
            (false, false) => ShareTier::Owed,
            (true, true) => ShareTier::Excess,
            (true, false) | (false, true) => ShareTier::Surplus,
        };
        let share_used = self.capacity_level.map_or(0.0, |level| started / level.max(1.0));
        ShareStatus { tier, share_used }
    }

    /// Returns this router's counts for its report, rounded up to hundreds of tokens.
    pub fn own_usage(&mut self, now: MonotonicTime) -> Vec<CustomerUsage> {
        self.drop_expired(now);
        let usages = self.own.iter().map(|(customer, count)| CustomerUsage {
            customer: *customer,
            requested_hundreds: count.requested.div_ceil(100) as u32,
            started_hundreds: count.started.div_ceil(100) as u32,
        });
        usages.collect()
    }

    /// Replaces the counts of another router by those of its latest report.
    pub fn apply_report(&mut self, incarnation: ProcessIncarnation, usages: &[CustomerUsage]) {
        self.remove_peer(incarnation);
        let mut counts = Vec::with_capacity(usages.len());
        for usage in usages {
            let count = TokenCount {
                requested: u64::from(usage.requested_hundreds) * 100,
                started: u64::from(usage.started_hundreds) * 100,
            };
            self.others.entry(usage.customer).or_default().add(count);
            counts.push((usage.customer, count));
        }
        self.peers.insert(incarnation, counts);
    }

    /// Drops the counts of a router that no longer reports.
    pub fn remove_peer(&mut self, incarnation: ProcessIncarnation) {
        let Some(counts) = self.peers.remove(&incarnation) else {
            return;
        };
        for (customer, count) in counts {
            if let Some(others) = self.others.get_mut(&customer) {
                others.subtract(count);
            }
        }
    }

    fn total(&self, customer: CustomerId) -> TokenCount {
        let mut total = self.own.get(&customer).copied().unwrap_or_default();
        if let Some(others) = self.others.get(&customer) {
            total.add(*others);
        }
        total
    }

    fn update_levels(&mut self, tokens_per_second: u64) {
        let totals: Vec<TokenCount> =
            self.customers().into_iter().map(|customer| self.total(customer)).collect();
        let capacity = tokens_per_second as f64 * self.window.as_secs_f64();
        let started = totals.iter().map(|total| total.started as f64).sum();
        // A request may have arrived before the window and started within it.
        let requested = totals.iter().map(|total| total.requested.max(total.started) as f64);
        let mut requested: Vec<f64> = requested.collect();
        requested.sort_by(f64::total_cmp);
        self.capacity_level = max_min_level(&requested, capacity);
        self.started_level = max_min_level(&requested, started);
    }

    fn customers(&self) -> Vec<CustomerId> {
        let mut customers: Vec<CustomerId> = self.own.keys().copied().collect();
        customers.extend(self.others.keys().filter(|customer| !self.own.contains_key(customer)));
        customers
    }

    fn record(&mut self, now: MonotonicTime, customer: CustomerId, count: TokenCount) {
        self.drop_expired(now);
        let bucket_span = self.window / WINDOW_BUCKETS;
        let is_open =
            self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < bucket_span);
        if !is_open {
            self.buckets.push_back(WindowBucket { start: now, counts: FxHashMap::default() });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.counts.entry(customer).or_default().add(count);
        }
        self.own.entry(customer).or_default().add(count);
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) >= self.window) {
            let Some(bucket) = self.buckets.pop_front() else {
                return;
            };
            for (customer, count) in bucket.counts {
                if let Some(own) = self.own.get_mut(&customer) {
                    own.subtract(count);
                }
            }
            self.own.retain(|_, count| count.requested > 0 || count.started > 0);
        }
    }
}

/// Returns the max-min fair level: the cap at which the capped amounts sum to `total`. Returns
/// `None` if the uncapped amounts do not exceed `total`. `amounts` must be sorted in ascending
/// order.
fn max_min_level(amounts: &[f64], total: f64) -> ShareLevel {
    let mut left = total;
    for (index, amount) in amounts.iter().enumerate() {
        let even = left / (amounts.len() - index) as f64;
        if *amount > even {
            return Some(even);
        }
        left -= amount;
    }
    None
}
