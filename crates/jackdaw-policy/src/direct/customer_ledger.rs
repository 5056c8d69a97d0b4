//! Service of customers within a sliding window, over all routers, against their fair share.
//!
//! The share is max-min: a customer that asks for less than an even part gets what it asks for,
//! and the others divide the rest evenly. What is divided is both what the fleet is stated to
//! produce, which customers are owed, and what it really started, which is to be even as well.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation, plain_data};

use crate::direct::peer_report::CustomerUsage;

/// Parts into which the window is cut.
const WINDOW_PARTS: u32 = 8;

/// Time for which computed levels are used.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);

plain_data! {
    copy
    /// How a customer's service within the window compares with its shares.
    #[serde(rename_all = "kebab-case")]
    pub enum ShareTier {
        /// Below its share of what the fleet is stated to produce, and below an even division
        /// of what the fleet really started.
        Owed,
        /// Beyond one of the two.
        Surplus,
        /// Beyond both.
        Excess,
    }
}

/// What a customer has had against its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareStatus {
    /// The tier.
    pub tier: ShareTier,
    /// The service of the customer within the window, divided by its share of what the fleet is
    /// stated to produce; zero where every customer gets all that it asks for.
    pub share_used: f64,
}

impl ShareStatus {
    /// The standing of requests without a customer.
    pub const UNCOUNTED: ShareStatus = ShareStatus { tier: ShareTier::Owed, share_used: 0.0 };
}

/// The highest service within the window at which customers still have part in a division;
/// `None` where all get what they ask for.
type ShareLevel = Option<f64>;

/// Counts of one customer.
#[derive(Debug, Clone, Copy, Default)]
struct UseCount {
    asked: u64,
    started: u64,
}

impl UseCount {
    fn add(&mut self, other: UseCount) {
        self.asked += other.asked;
        self.started += other.started;
    }

    fn subtract(&mut self, other: UseCount) {
        self.asked = self.asked.saturating_sub(other.asked);
        self.started = self.started.saturating_sub(other.started);
    }
}

/// One part of the window.
#[derive(Debug, Clone)]
struct WindowPart {
    start: MonotonicTime,
    counts: HashMap<CustomerId, UseCount>,
}

/// Customers' service within the window.
#[derive(Debug, Clone)]
pub struct CustomerLedger {
    window: Duration,
    parts: VecDeque<WindowPart>,
    own: HashMap<CustomerId, UseCount>,
    others: HashMap<CustomerId, UseCount>,
    peers: HashMap<ProcessIncarnation, Vec<(CustomerId, UseCount)>>,
    /// The level of what the fleet is stated to produce, in tokens a window.
    stated_level: ShareLevel,
    /// The level of what the fleet really started, in tokens a window.
    started_level: ShareLevel,
    level_time: Option<MonotonicTime>,
}

impl CustomerLedger {
    /// Creates an empty ledger.
    pub fn new(window: Duration) -> CustomerLedger {
        CustomerLedger {
            window,
            parts: VecDeque::new(),
            own: HashMap::new(),
            others: HashMap::new(),
            peers: HashMap::new(),
            stated_level: None,
            started_level: None,
            level_time: None,
        }
    }

    /// Sets the window anew.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Notes that a customer asks for service.
    pub fn record_requested(&mut self, now: MonotonicTime, customer: CustomerId, tokens: u64) {
        self.note(now, customer, UseCount { asked: tokens, started: 0 });
    }

    /// Notes that a customer's request was sent to a target.
    pub fn record_started(&mut self, now: MonotonicTime, customer: CustomerId, tokens: u64) {
        self.note(now, customer, UseCount { asked: 0, started: tokens });
    }

    /// Returns what a customer has had, where the fleet produces `tokens_per_second`.
    pub fn share_status(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        tokens_per_second: u64,
    ) -> ShareStatus {
        self.drop_old(now);
        let is_fresh = self.level_time.is_some_and(|time| now.since(time) < LEVEL_LIFETIME);
        if !is_fresh {
            self.update_levels(tokens_per_second);
            self.level_time = Some(now);
        }
        let started = self.total(customer).started as f64;
        let is_beyond = |level: ShareLevel| level.is_some_and(|level| started > level);
        let tier = match (is_beyond(self.stated_level), is_beyond(self.started_level)) {
            (false, false) => ShareTier::Owed,
            (true, true) => ShareTier::Excess,
            (true, false) | (false, true) => ShareTier::Surplus,
        };
        let share_used = self.stated_level.map_or(0.0, |level| started / level.max(1.0));
        ShareStatus { tier, share_used }
    }

    /// Returns this router's counts, for its report.
    pub fn own_usage(&mut self, now: MonotonicTime) -> Vec<CustomerUsage> {
        self.drop_old(now);
        let uses = self.own.iter().map(|(customer, count)| CustomerUsage {
            customer: *customer,
            requested_hundreds: count.asked.div_ceil(100) as u32,
            started_hundreds: count.started.div_ceil(100) as u32,
        });
        uses.collect()
    }

    /// Takes in another router's counts in place of its earlier ones.
    pub fn apply_report(&mut self, incarnation: ProcessIncarnation, uses: &[CustomerUsage]) {
        self.remove_peer(incarnation);
        let mut counts = Vec::with_capacity(uses.len());
        for usage in uses {
            let count = UseCount {
                asked: u64::from(usage.requested_hundreds) * 100,
                started: u64::from(usage.started_hundreds) * 100,
            };
            self.others.entry(usage.customer).or_default().add(count);
            counts.push((usage.customer, count));
        }
        self.peers.insert(incarnation, counts);
    }

    /// Drops the counts of a router that fell silent.
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

    fn total(&self, customer: CustomerId) -> UseCount {
        let mut total = self.own.get(&customer).copied().unwrap_or_default();
        if let Some(others) = self.others.get(&customer) {
            total.add(*others);
        }
        total
    }

    fn update_levels(&mut self, tokens_per_second: u64) {
        let totals: Vec<UseCount> =
            self.customers().into_iter().map(|customer| self.total(customer)).collect();
        let stated = tokens_per_second as f64 * self.window.as_secs_f64();
        let started = totals.iter().map(|total| total.started as f64).sum();
        // A request may have been asked for before the window and started within it.
        let asked = totals.iter().map(|total| total.asked.max(total.started) as f64);
        let mut asked: Vec<f64> = asked.collect();
        asked.sort_by(f64::total_cmp);
        self.stated_level = max_min_level(&asked, stated);
        self.started_level = max_min_level(&asked, started);
    }

    fn customers(&self) -> Vec<CustomerId> {
        let mut customers: Vec<CustomerId> = self.own.keys().copied().collect();
        customers.extend(self.others.keys().filter(|customer| !self.own.contains_key(customer)));
        customers
    }

    fn note(&mut self, now: MonotonicTime, customer: CustomerId, count: UseCount) {
        self.drop_old(now);
        let span = self.window / WINDOW_PARTS;
        let is_open = self.parts.back().is_some_and(|part| now.since(part.start) < span);
        if !is_open {
            self.parts.push_back(WindowPart { start: now, counts: HashMap::new() });
        }
        if let Some(part) = self.parts.back_mut() {
            part.counts.entry(customer).or_default().add(count);
        }
        self.own.entry(customer).or_default().add(count);
    }

    fn drop_old(&mut self, now: MonotonicTime) {
        while self.parts.front().is_some_and(|part| now.since(part.start) >= self.window) {
            let Some(part) = self.parts.pop_front() else {
                return;
            };
            for (customer, count) in part.counts {
                if let Some(own) = self.own.get_mut(&customer) {
                    own.subtract(count);
                }
            }
            self.own.retain(|_, count| count.asked > 0 || count.started > 0);
        }
    }
}

/// Returns the level at which amounts, each cut there, add up to a total; `None` where they do
/// not reach it uncut. The amounts are in rising order.
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
