//! Waiting offers of an agent, ordered by what each customer has received.
//!
//! Two levels: a set of customers ordered by counter, and for each customer its offers in order
//! of arrival. Choosing an offer and changing a counter take O(log backlogged customers).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, FleetTotal, MonotonicTime, NormalisedService, OfferId, RequestClass,
    WorkUnits,
};

use crate::event::SharePolicy;

/// Short requests of a customer that may pass its long ones in a row.
const MAX_SHORTS_IN_ROW: u8 = 4;

/// Shortest time between two reports of a customer.
const MIN_CHECK: Duration = Duration::from_millis(1);

/// Customers that are looked at in search of a known counter.
const MAX_LOOK: usize = 8;

/// Place of an offer in a customer's lane.
#[derive(Debug, Clone, Copy)]
struct QueueSlot {
    sequence: u64,
    offer: OfferId,
}

/// Point from which a customer's counter goes on: a total, and the agent's own part of it.
#[derive(Debug, Clone, Copy)]
struct CounterBase {
    total: NormalisedService,
    own: NormalisedService,
}

/// What an agent knows of a customer.
#[derive(Debug, Clone)]
pub struct CustomerAccount {
    /// The customer's share of capacity, from its newest offer.
    pub share: CustomerShare,
    /// The service given here since the agent started, reservations included.
    pub given: NormalisedService,
    /// The number of offers that wait.
    pub waiting: u32,
    /// The number of requests that are granted or running.
    pub active: u32,
    /// The time of the last change.
    pub changed: MonotonicTime,
    /// The number of reports that are still to be sent for the last change.
    pub unreported: u8,
    /// The time at which the account is looked at next, to be reported or forgotten.
    check: MonotonicTime,
    /// The time at which a total of the fleet was last heard.
    pub heard: Option<MonotonicTime>,
    base: CounterBase,
    lanes: [VecDeque<QueueSlot>; 2],
    shorts_in_row: u8,
    key: u64,
}

/// Offers that wait at an agent.
#[derive(Debug, Clone)]
pub struct FairQueue {
    policy: SharePolicy,
    stale_after: Duration,
    accounts: BTreeMap<CustomerId, CustomerAccount>,
    /// The service given to customers that have been forgotten: reports stay cumulative.
    archive: BTreeMap<CustomerId, NormalisedService>,
    checks: BTreeSet<(MonotonicTime, CustomerId)>,
    order: BTreeSet<(u64, CustomerId)>,
    live: BTreeMap<OfferId, u64>,
    next_sequence: u64,
    virtual_time: NormalisedService,
    /// The virtual time, but for counters that no account home has confirmed.
    known_time: NormalisedService,
}

impl FairQueue {
    /// Creates an empty queue; a counter that was not renewed for `stale_after` while its
    /// customer was idle earns the customer no credit.
    pub fn new(policy: SharePolicy, stale_after: Duration) -> FairQueue {
        FairQueue {
            policy,
            stale_after,
            accounts: BTreeMap::new(),
            archive: BTreeMap::new(),
            checks: BTreeSet::new(),
            order: BTreeSet::new(),
            live: BTreeMap::new(),
            next_sequence: 0,
            virtual_time: NormalisedService::default(),
            known_time: NormalisedService::default(),
        }
    }

    /// Returns the number of offers that wait.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether no offer waits.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Returns the number of customers with waiting offers.
    pub fn backlogged(&self) -> usize {
        self.order.len()
    }

    /// Returns the accounts of all known customers.
    pub fn accounts(&self) -> &BTreeMap<CustomerId, CustomerAccount> {
        &self.accounts
    }

    /// Returns the agent's virtual time: the lowest counter that recently waited here.
    pub fn virtual_time(&self) -> NormalisedService {
        self.virtual_time
    }

    /// Returns the lowest counter among the first few waiting customers other than `customer`
    /// whose counters are known; that which was last served where there are none, zero if there
    /// never was one.
    pub fn lowest_other(&self, customer: CustomerId) -> NormalisedService {
        if self.policy == SharePolicy::FirstCome {
            return self.known_time;
        }
        for (key, other) in self.order.iter().take(MAX_LOOK) {
            if *other != customer && self.is_known(*other) {
                return NormalisedService(*key);
            }
        }
        self.known_time
    }

    /// Returns whether a customer's counter says something about the whole order.
    fn is_known(&self, customer: CustomerId) -> bool {
        match self.policy {
            SharePolicy::Fleet => {
                self.accounts.get(&customer).is_some_and(|account| account.heard.is_some())
            }
            SharePolicy::Local | SharePolicy::FirstCome => true,
        }
    }

    /// Returns the counter of a customer: the fleet's total with this agent's own part renewed.
    pub fn counter(&self, customer: CustomerId) -> NormalisedService {
        match self.accounts.get(&customer) {
            Some(account) => account.counter(),
            None => self.virtual_time,
        }
    }

    /// Returns the counter that a new account home can start from; zero if none was heard.
    pub fn known_total(&self, customer: CustomerId) -> NormalisedService {
        match self.accounts.get(&customer) {
            Some(account) if account.heard.is_some() => account.counter(),
            _ => NormalisedService::default(),
        }
    }

    /// Adds an offer; an offer that already waits is left where it is.
    pub fn push(
        &mut self,
        now: MonotonicTime,
        offer: OfferId,
        customer: CustomerId,
        share: CustomerShare,
        class: RequestClass,
    ) {
        if self.live.contains_key(&offer) {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.live.insert(offer, sequence);
        let floor = self.virtual_time;
        let archive = &mut self.archive;
        let account = self.accounts.entry(customer).or_insert_with(|| {
            CustomerAccount::new(share, archive.remove(&customer).unwrap_or_default())
        });
        account.share = share;
        account.waiting += 1;
        account.lanes[lane_index(class)].push_back(QueueSlot { sequence, offer });
        if account.waiting == 1 {
            if account.active == 0 && now.since(account.renewed()) >= self.stale_after {
                account.lift(floor);
            }
            account.touch(now, &mut self.checks, customer);
        }
        self.rekey(customer);
    }

    /// Removes a waiting offer; returns whether it waited.
    pub fn remove(&mut self, now: MonotonicTime, customer: CustomerId, offer: OfferId) -> bool {
        if self.live.remove(&offer).is_none() {
            return false;
        }
        self.settle(now, customer);
        true
    }

    /// Returns the customer whose turn it is.
    pub fn first_customer(&self) -> Option<CustomerId> {
        self.order.first().map(|(_, customer)| *customer)
    }

    /// Takes the next offer of the customer whose turn it is.
    pub fn pop(&mut self, now: MonotonicTime) -> Option<(CustomerId, OfferId)> {
        let (key, customer) = self.order.first().copied()?;
        if self.policy != SharePolicy::FirstCome {
            self.virtual_time = NormalisedService(key);
        }
        // An agent that has just started knows no counter of the fleet and must not state one.
        if self.is_known(customer) {
            self.known_time = self.virtual_time;
        }
        let policy = self.policy;
        let account = self.accounts.get_mut(&customer)?;
        let lane = account.next_lane(policy)?;
        let slot = account.lanes[lane].pop_front()?;
        self.live.remove(&slot.offer);
        self.settle(now, customer);
        Some((customer, slot.offer))
    }

    /// Adjusts the service given to a customer from one amount of work to another.
    pub fn recharge(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        charged: NormalisedService,
        units: WorkUnits,
    ) -> NormalisedService {
        let Some(account) = self.accounts.get_mut(&customer) else {
            return charged;
        };
        let due = NormalisedService::from_units(units, account.share);
        if due == charged {
            return charged;
        }
        account.given = account.given.saturating_sub(charged) + due;
        account.touch(now, &mut self.checks, customer);
        self.rekey(customer);
        due
    }

    /// Counts a request of the customer as granted or running.
    pub fn enter(&mut self, customer: CustomerId) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.active += 1;
        }
    }

    /// Counts a granted or running request of the customer as ended.
    pub fn leave(&mut self, customer: CustomerId) {
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.active = account.active.saturating_sub(1);
        }
    }

    /// Takes in a total of the whole fleet.
    pub fn hear(&mut self, now: MonotonicTime, fleet: FleetTotal) {
        let Some(account) = self.accounts.get_mut(&fleet.customer) else {
            return;
        };
        account.heard = Some(now);
        account.base = CounterBase { total: fleet.total, own: fleet.own };
        self.rekey(fleet.customer);
    }

    /// Returns when [`FairQueue::take_due`] next has something to do.
    pub fn next_check(&self) -> Option<MonotonicTime> {
        self.checks.first().map(|(time, _)| *time)
    }

    /// Returns the customers that are to be reported: those that changed, and those that still
    /// wait `heartbeat` after their last report. Forgets those that were idle for `memory`.
    pub fn take_due(
        &mut self,
        now: MonotonicTime,
        heartbeat: Duration,
        memory: Duration,
    ) -> Vec<CustomerId> {
        let mut due = Vec::new();
        let later = now.after(MIN_CHECK);
        while let Some((time, customer)) = self.checks.first().copied() {
            if time > now {
                break;
            }
            self.checks.pop_first();
            let Some(account) = self.accounts.get_mut(&customer) else {
                continue;
            };
            let is_idle = account.waiting == 0 && account.active == 0;
            if is_idle && account.unreported == 0 && now.since(account.changed) >= memory {
                self.archive.insert(customer, account.given);
                self.accounts.remove(&customer);
                continue;
            }
            if account.unreported > 0 || account.waiting > 0 {
                due.push(customer);
                account.unreported = account.unreported.saturating_sub(1);
            }
            account.check = match account.unreported {
                0 if account.waiting > 0 => now.after(heartbeat),
                0 => now.after(memory),
                _ => later,
            };
            self.checks.insert((account.check, customer));
        }
        due
    }

    /// Describes the first inconsistency between the two levels, if there is one.
    pub fn inconsistency(&self) -> Option<String> {
        let Some((key, customer)) = self.order.first() else {
            return (!self.live.is_empty())
                .then(|| format!("{} offers wait but no customer does", self.live.len()));
        };
        let account = self.accounts.get(customer)?;
        if account.waiting == 0 || account.key != *key {
            return Some(format!(
                "customer {customer} stands first with {} offers",
                account.waiting
            ));
        }
        None
    }

    fn settle(&mut self, now: MonotonicTime, customer: CustomerId) {
        let live = &self.live;
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.waiting = account.waiting.saturating_sub(1);
            account.drop_dead(live);
            if account.waiting == 0 {
                account.touch(now, &mut self.checks, customer);
            }
        }
        self.rekey(customer);
    }

    fn rekey(&mut self, customer: CustomerId) {
        let policy = self.policy;
        let Some(account) = self.accounts.get_mut(&customer) else {
            return;
        };
        let key = match policy {
            SharePolicy::Fleet | SharePolicy::Local => account.counter().0,
            SharePolicy::FirstCome => account.oldest(),
        };
        if key != account.key || account.waiting == 0 {
            self.order.remove(&(account.key, customer));
        }
        account.key = key;
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
            unreported: 0,
            check: MonotonicTime::default(),
            heard: None,
            base: CounterBase { total: NormalisedService::default(), own: given },
            lanes: [VecDeque::new(), VecDeque::new()],
            shorts_in_row: 0,
            key: 0,
        }
    }

    /// Returns the counter: the base total with this agent's own part renewed.
    pub fn counter(&self) -> NormalisedService {
        (self.base.total + self.given).saturating_sub(self.base.own)
    }

    fn renewed(&self) -> MonotonicTime {
        self.heard.map_or(self.changed, |heard| heard.max(self.changed))
    }

    fn lift(&mut self, floor: NormalisedService) {
        let missing = floor.saturating_sub(self.counter());
        self.base.total += missing;
    }

    fn touch(
        &mut self,
        now: MonotonicTime,
        checks: &mut BTreeSet<(MonotonicTime, CustomerId)>,
        customer: CustomerId,
    ) {
        self.changed = now;
        checks.remove(&(self.check, customer));
        self.check = now;
        checks.insert((now, customer));
        // The last change is reported twice: an older report that overtakes it does no harm.
        let is_last = self.waiting == 0 && self.active == 0;
        self.unreported = if is_last { 2 } else { 1 };
    }

    fn oldest(&self) -> u64 {
        let fronts = self.lanes.iter().filter_map(|lane| lane.front());
        fronts.map(|slot| slot.sequence).min().unwrap_or(u64::MAX)
    }

    fn next_lane(&mut self, policy: SharePolicy) -> Option<usize> {
        let heads = [self.lanes[0].front(), self.lanes[1].front()];
        let lane = match heads {
            [None, None] => return None,
            [Some(_), None] => 0,
            [None, Some(_)] => 1,
            [Some(short), Some(long)] if policy == SharePolicy::FirstCome => {
                usize::from(long.sequence < short.sequence)
            }
            [Some(_), Some(_)] => usize::from(self.shorts_in_row >= MAX_SHORTS_IN_ROW),
        };
        self.shorts_in_row = if lane == 0 { self.shorts_in_row.saturating_add(1) } else { 0 };
        Some(lane)
    }

    fn drop_dead(&mut self, live: &BTreeMap<OfferId, u64>) {
        let is_live = |slot: &QueueSlot| live.get(&slot.offer) == Some(&slot.sequence);
        let mut held = 0;
        for lane in &mut self.lanes {
            while lane.front().is_some_and(|slot| !is_live(slot)) {
                lane.pop_front();
            }
            held += lane.len();
        }
        if held > 2 * self.waiting as usize + 8 {
            for lane in &mut self.lanes {
                lane.retain(is_live);
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
