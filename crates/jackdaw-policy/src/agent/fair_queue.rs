//! Fair queue of an agent's waiting offers, ordered by the service that each customer received.
//!
//! The queue has two levels: a set of customers ordered by counter, and for each customer its
//! offers in order of arrival. Selecting an offer and updating a counter take
//! O(log backlogged customers).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, FleetTotal, MonotonicTime, NormalisedService, OfferId, RequestClass,
    WorkUnits,
};

use crate::event::SharePolicy;

/// Number of consecutive short requests of a customer that may overtake its long ones.
const MAX_CONSECUTIVE_SHORT: u8 = 4;

/// Minimum time between two reports of a customer.
const MIN_REPORT_DELAY: Duration = Duration::from_millis(1);

/// Maximum number of customers scanned for a confirmed counter.
const MAX_SCANNED_CUSTOMERS: usize = 8;

/// Offer in a lane, with its sequence number in order of arrival.
#[derive(Debug, Clone, Copy)]
struct QueuedOffer {
    sequence: u64,
    offer: OfferId,
}

/// Base of a customer's counter: a total, and the part of it that this agent contributed.
#[derive(Debug, Clone, Copy)]
struct CounterBase {
    total: NormalisedService,
    own: NormalisedService,
}

/// Account of a customer at an agent.
#[derive(Debug, Clone)]
pub struct CustomerAccount {
    /// Share of capacity, as stated by the customer's newest offer.
    pub share: CustomerShare,
    /// Normalised service charged here since the agent started, including reservations.
    pub given: NormalisedService,
    /// Number of waiting offers.
    pub waiting: u32,
    /// Number of requests that are granted or running.
    pub active: u32,
    /// Time of the last change.
    pub changed: MonotonicTime,
    /// Number of reports still to be sent for the last change.
    pub pending_reports: u8,
    /// Time at which the account is next due to be reported or evicted.
    check: MonotonicTime,
    /// Time at which a fleet total was last received; `None` before the first.
    pub total_received: Option<MonotonicTime>,
    base: CounterBase,
    lanes: [VecDeque<QueuedOffer>; 2],
    consecutive_short: u8,
    order_key: u64,
}

/// Waiting offers of an agent, served in the order of the share policy.
#[derive(Debug, Clone)]
pub struct FairQueue {
    policy: SharePolicy,
    stale_after: Duration,
    accounts: BTreeMap<CustomerId, CustomerAccount>,
    /// Service of customers whose account was evicted, kept because reports are cumulative.
    evicted_service: BTreeMap<CustomerId, NormalisedService>,
    checks: BTreeSet<(MonotonicTime, CustomerId)>,
    order: BTreeSet<(u64, CustomerId)>,
    /// Sequence number of each waiting offer; a queued offer without one has been removed.
    waiting_offers: BTreeMap<OfferId, u64>,
    next_sequence: u64,
    virtual_time: NormalisedService,
    /// Like `virtual_time`, but ignoring counters that no account home has confirmed.
    confirmed_time: NormalisedService,
}

impl FairQueue {
    /// Creates an empty queue.
    ///
    /// When an idle customer returns and its counter was not updated for `stale_after`, the
    /// counter is lifted to the virtual time, so that being idle earns no credit.
    pub fn new(policy: SharePolicy, stale_after: Duration) -> FairQueue {
        FairQueue {
            policy,
            stale_after,
            accounts: BTreeMap::new(),
            evicted_service: BTreeMap::new(),
            checks: BTreeSet::new(),
            order: BTreeSet::new(),
            waiting_offers: BTreeMap::new(),
            next_sequence: 0,
            virtual_time: NormalisedService::default(),
            confirmed_time: NormalisedService::default(),
        }
    }

    /// Returns the number of waiting offers.
    pub fn len(&self) -> usize {
        self.waiting_offers.len()
    }

    /// Returns whether no offer is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting_offers.is_empty()
    }

    /// Returns the number of customers with waiting offers.
    pub fn backlogged_customers(&self) -> usize {
        self.order.len()
    }

    /// Returns the accounts by customer.
    pub fn accounts(&self) -> &BTreeMap<CustomerId, CustomerAccount> {
        &self.accounts
    }

    /// Returns the agent's virtual time: the lowest counter of a waiting customer when an offer
    /// was last taken from the queue.
    pub fn virtual_time(&self) -> NormalisedService {
        self.virtual_time
    }

    /// Returns the lowest confirmed counter among the first few waiting customers, leaving out
    /// `customer`. If there is none, returns the confirmed counter that was served last, or zero
    /// if there never was one.
    pub fn lowest_counter_except(&self, customer: CustomerId) -> NormalisedService {
        if self.policy == SharePolicy::FirstCome {
            return self.confirmed_time;
        }
        for (key, other) in self.order.iter().take(MAX_SCANNED_CUSTOMERS) {
            if *other != customer && self.is_confirmed(*other) {
                return NormalisedService(*key);
            }
        }
        self.confirmed_time
    }

    /// Returns whether a customer's counter is meaningful in the whole order: under the fleet
    /// policy only once a fleet total was received, otherwise always.
    fn is_confirmed(&self, customer: CustomerId) -> bool {
        match self.policy {
            SharePolicy::Fleet => {
                self.accounts.get(&customer).is_some_and(|account| account.total_received.is_some())
            }
            SharePolicy::Local | SharePolicy::FirstCome => true,
        }
    }

    /// Returns the counter of a customer: the last fleet total with this agent's part of it kept
    /// current; the virtual time for a customer without an account.
    pub fn counter(&self, customer: CustomerId) -> NormalisedService {
        match self.accounts.get(&customer) {
            Some(account) => account.counter(),
            None => self.virtual_time,
        }
    }

    /// Returns the counter from which a new account home can start; zero if no fleet total was
    /// received.
    pub fn known_total(&self, customer: CustomerId) -> NormalisedService {
        match self.accounts.get(&customer) {
            Some(account) if account.total_received.is_some() => account.counter(),
            _ => NormalisedService::default(),
        }
    }

    /// Appends an offer; an offer that is already waiting keeps its position.
    pub fn push(
        &mut self,
        now: MonotonicTime,
        offer: OfferId,
        customer: CustomerId,
        share: CustomerShare,
        class: RequestClass,
    ) {
        if self.waiting_offers.contains_key(&offer) {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting_offers.insert(offer, sequence);
        let floor = self.virtual_time;
        let evicted_service = &mut self.evicted_service;
        let account = self.accounts.entry(customer).or_insert_with(|| {
            CustomerAccount::new(share, evicted_service.remove(&customer).unwrap_or_default())
        });
        account.share = share;
        account.waiting += 1;
        account.lanes[lane_index(class)].push_back(QueuedOffer { sequence, offer });
        if account.waiting == 1 {
            if account.active == 0 && now.since(account.last_update()) >= self.stale_after {
                account.lift(floor);
            }
            account.mark_changed(now, &mut self.checks, customer);
        }
        self.update_order(customer);
    }

    /// Removes a waiting offer; returns whether it was waiting.
    pub fn remove(&mut self, now: MonotonicTime, customer: CustomerId, offer: OfferId) -> bool {
        if self.waiting_offers.remove(&offer).is_none() {
            return false;
        }
        self.finish_removal(now, customer);
        true
    }

    /// Returns the customer to be served next.
    pub fn first_customer(&self) -> Option<CustomerId> {
        self.order.first().map(|(_, customer)| *customer)
    }

    /// Removes and returns the next offer of the customer to be served next.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<(CustomerId, OfferId)> {
        let (key, customer) = self.order.first().copied()?;
        if self.policy != SharePolicy::FirstCome {
            self.virtual_time = NormalisedService(key);
        }
        // An agent that has just started has no fleet counter and must not report one.
        if self.is_confirmed(customer) {
            self.confirmed_time = self.virtual_time;
        }
        let policy = self.policy;
        let account = self.accounts.get_mut(&customer)?;
        let lane = account.select_lane(policy)?;
        let queued = account.lanes[lane].pop_front()?;
        self.waiting_offers.remove(&queued.offer);
        self.finish_removal(now, customer);
        Some((customer, queued.offer))
    }

    /// Replaces the charge `charged` for a request by that for `units` and returns the new charge;
    /// returns `charged` unchanged for a customer without an account.
    pub fn adjust_charge(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        charged: NormalisedService,
        units: WorkUnits,
    ) -> NormalisedService {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return charged;
        };
        let charge = NormalisedService::from_units(units, account.share);
        if charge == charged {
            return charged;
        }
        account.given = account.given.saturating_sub(charged) + charge;
        account.mark_changed(now, &mut self.checks, customer);
        self.update_order(customer);
        charge
    }

    /// Counts a request of the customer as granted or running.
    pub fn add_active(&mut self, customer: CustomerId) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.active += 1;
        }
    }

    /// Counts a granted or running request of the customer as ended.
    pub fn remove_active(&mut self, customer: CustomerId) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.active = account.active.saturating_sub(1);
        }
    }

    /// Applies the fleet total of a customer; ignored for a customer without an account.
    pub fn apply_total(&mut self, now: MonotonicTime, total: FleetTotal) {
        let Some(account) = self.accounts.get_mut(&total.customer) else {
            return;
        };
        account.total_received = Some(now);
        account.base = CounterBase { total: total.total, own: total.own };
        self.update_order(total.customer);
    }

    /// Returns when [`FairQueue::take_due_reports`] next has an account to process.
    pub fn next_check(&self) -> Option<MonotonicTime> {
        self.checks.first().map(|(time, _)| *time)
    }

    /// Returns the customers due for a report: those that changed, and those still waiting
    /// `heartbeat` after their last report. Evicts the accounts of customers that were idle for
    /// `memory`.
    pub fn take_due_reports(
        &mut self,
        now: MonotonicTime,
        heartbeat: Duration,
        memory: Duration,
    ) -> Vec<CustomerId> {
        let mut due = Vec::new();
        let later = now.after(MIN_REPORT_DELAY);
        while let Some((time, customer)) = self.checks.first().copied() {
            if time > now {
                break;
            }
            self.checks.pop_first();
            let Some(account) = self.accounts.get_mut(&customer) else {
                continue;
            };
            let is_idle = account.waiting == 0 && account.active == 0;
            if is_idle && account.pending_reports == 0 && now.since(account.changed) >= memory {
                self.evicted_service.insert(customer, account.given);
                self.accounts.remove(&customer);
                continue;
            }
            if account.pending_reports > 0 || account.waiting > 0 {
                due.push(customer);
                account.pending_reports = account.pending_reports.saturating_sub(1);
            }
            account.check = match account.pending_reports {
                0 if account.waiting > 0 => now.after(heartbeat),
                0 => now.after(memory),
                _ => later,
            };
            self.checks.insert((account.check, customer));
        }
        due
    }

    /// Returns a description of an inconsistency between the two levels of the queue, if any.
    pub fn inconsistency(&self) -> Option<String> {
        let Some((key, customer)) = self.order.first() else {
            return (!self.waiting_offers.is_empty()).then(|| {
                format!(
                    "{} offers are waiting but no customer is backlogged",
                    self.waiting_offers.len()
                )
            });
        };
        let account = self.accounts.get(customer)?;
        if account.waiting == 0 || account.order_key != *key {
            return Some(format!(
                "customer {customer} is first in the order under key {key} but has {} waiting offers and key {}",
                account.waiting, account.order_key
            ));
        }
        None
    }

    /// Updates the account of a customer after one of its offers was removed from the queue.
    fn finish_removal(&mut self, now: MonotonicTime, customer: CustomerId) {
        let waiting_offers = &self.waiting_offers;
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.waiting = account.waiting.saturating_sub(1);
            account.prune_lanes(waiting_offers);
            if account.waiting == 0 {
                account.mark_changed(now, &mut self.checks, customer);
            }
        }
        self.update_order(customer);
    }

    /// Recomputes a customer's key and its position in the order.
    fn update_order(&mut self, customer: CustomerId) {
        let policy = self.policy;
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        let key = match policy {
            SharePolicy::Fleet | SharePolicy::Local => account.counter().0,
            SharePolicy::FirstCome => account.oldest_sequence(),
        };
        if key != account.order_key || account.waiting == 0 {
            self.order.remove(&(account.order_key, customer));
        }
        account.order_key = key;
        if account.waiting > 0 {
            self.order.insert((key, customer));
        }
    }
}

impl CustomerAccount {
    fn new(share: CustomerShare, given: NormalisedService) -> CustomerAccount {
        CustomerAccount {
            share,
            given,
            waiting: 0,
            active: 0,
            changed: MonotonicTime::default(),
            pending_reports: 0,
            check: MonotonicTime::default(),
            total_received: None,
            base: CounterBase { total: NormalisedService::default(), own: given },
            lanes: [VecDeque::new(), VecDeque::new()],
            consecutive_short: 0,
            order_key: 0,
        }
    }

    /// Returns the counter: the base total with this agent's part of it kept current.
    pub fn counter(&self) -> NormalisedService {
        (self.base.total + self.given).saturating_sub(self.base.own)
    }

    fn last_update(&self) -> MonotonicTime {
        self.total_received.map_or(self.changed, |received| received.max(self.changed))
    }

    /// Raises the counter to `floor` if it is lower.
    fn lift(&mut self, floor: NormalisedService) {
        let missing = floor.saturating_sub(self.counter());
        self.base.total += missing;
    }

    /// Records a change and makes the account due for a report.
    fn mark_changed(
        &mut self,
        now: MonotonicTime,
        checks: &mut BTreeSet<(MonotonicTime, CustomerId)>,
        customer: CustomerId,
    ) {
        self.changed = now;
        checks.remove(&(self.check, customer));
        self.check = now;
        checks.insert((now, customer));
        // Report the last change twice: if an older report arrives after the first, the second one
        // corrects it.
        let is_last = self.waiting == 0 && self.active == 0;
        self.pending_reports = if is_last { 2 } else { 1 };
    }

    fn oldest_sequence(&self) -> u64 {
        let fronts = self.lanes.iter().filter_map(|lane| lane.front());
        fronts.map(|queued| queued.sequence).min().unwrap_or(u64::MAX)
    }

    /// Selects the lane of the customer's next offer and counts consecutive short requests.
    fn select_lane(&mut self, policy: SharePolicy) -> Option<usize> {
        let heads = [self.lanes[0].front(), self.lanes[1].front()];
        let lane = match heads {
            [None, None] => return None,
            [Some(_), None] => 0,
            [None, Some(_)] => 1,
            [Some(short), Some(long)] if policy == SharePolicy::FirstCome => {
                usize::from(long.sequence < short.sequence)
            }
            [Some(_), Some(_)] => usize::from(self.consecutive_short >= MAX_CONSECUTIVE_SHORT),
        };
        self.consecutive_short =
            if lane == 0 { self.consecutive_short.saturating_add(1) } else { 0 };
        Some(lane)
    }

    /// Drops removed offers from the front of each lane, and from everywhere once they outnumber
    /// the waiting ones.
    fn prune_lanes(&mut self, waiting_offers: &BTreeMap<OfferId, u64>) {
        let is_waiting =
            |queued: &QueuedOffer| waiting_offers.get(&queued.offer) == Some(&queued.sequence);
        let mut queued_len = 0;
        for lane in &mut self.lanes {
            while lane.front().is_some_and(|queued| !is_waiting(queued)) {
                lane.pop_front();
            }
            queued_len += lane.len();
        }
        if queued_len > 2 * self.waiting as usize + 8 {
            for lane in &mut self.lanes {
                lane.retain(is_waiting);
            }
        }
    }
}

fn lane_index(class: RequestClass) -> usize {
    match class {
        RequestClass::Short | RequestClass::Read | RequestClass::Recording => 0,
        RequestClass::Long => 1,
    }
}
