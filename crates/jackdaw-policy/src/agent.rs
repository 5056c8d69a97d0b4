//! The agent's decisions: which waiting offer is granted, what it is charged, how many run.

pub mod fair_queue;
pub mod place_limit;

mod policy;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{
    CustomerId, MonotonicTime, NormalisedService, OfferId, ProcessIncarnation, RequestClass,
    ServiceReport, VmId, WorkOffer, WorkUnits, plain_data,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::estimate::CostEstimator;
use crate::event::{AgentCommand, AgentEvent, SharePolicy};
use crate::rendezvous::rendezvous_first;
use fair_queue::FairQueue;
use place_limit::PlaceLimit;
pub use policy::AgentPolicy;
pub use snapshot::{AgentCustomer, AgentSnapshot};

/// Routers that are told of free places at a time.
const ROOM_FANOUT: usize = 4;
/// Factor by which the pause between announcements of room grows.
const ROOM_BACKOFF: u32 = 2;

plain_data! {
    copy
    /// Stage of an offer at an agent.
    pub enum OfferStage {
        /// It waits for a place.
        Waiting,
        /// It has been granted; the request has not arrived.
        Granted,
        /// The request is at the target.
        Running,
    }
}

#[derive(Debug, Clone)]
struct OfferEntry {
    router: VmId,
    customer: CustomerId,
    class: RequestClass,
    hint: WorkUnits,
    expires: MonotonicTime,
    stage: OfferStage,
    charged: NormalisedService,
    reserved: WorkUnits,
    units: WorkUnits,
    granted: MonotonicTime,
}

/// The agent's state machine.
#[derive(Debug, Clone)]
pub struct AgentCore {
    policy: AgentPolicy,
    vm: VmId,
    incarnation: ProcessIncarnation,
    rng: ChaCha8Rng,
    routers: Vec<VmId>,
    offers: BTreeMap<OfferId, OfferEntry>,
    queue: FairQueue,
    limit: PlaceLimit,
    estimator: CostEstimator,
    grants: BTreeSet<(MonotonicTime, OfferId)>,
    granted: u32,
    running: u32,
    draining: bool,
    drained: bool,
    next_report: MonotonicTime,
    next_room: MonotonicTime,
    room_pause: Duration,
}

impl AgentCore {
    /// Creates the state of an agent that knows nobody.
    pub fn new(
        policy: AgentPolicy,
        vm: VmId,
        incarnation: ProcessIncarnation,
        seed: u64,
    ) -> AgentCore {
        AgentCore {
            vm,
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: Vec::new(),
            offers: BTreeMap::new(),
            queue: FairQueue::new(policy.share_policy, policy.stale_after()),
            limit: PlaceLimit::new(policy.latency_goal.clone(), policy.places),
            estimator: CostEstimator::default(),
            grants: BTreeSet::new(),
            granted: 0,
            running: 0,
            draining: false,
            drained: false,
            next_report: MonotonicTime::default(),
            next_room: MonotonicTime::default(),
            room_pause: policy.room_interval,
            policy,
        }
    }

    /// Takes in an event and appends what is to be done.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: AgentEvent,
        commands: &mut Vec<AgentCommand>,
    ) {
        match event {
            AgentEvent::RouterJoined { router } => self.join_router(now, router, commands),
            AgentEvent::RouterLost { router } => self.lose_router(now, router),
            AgentEvent::OfferReceived { router, offer } => self.take_offer(now, router, &offer),
            AgentEvent::OfferWithdrawn { router, offer } => self.void_offer(now, router, offer),
            AgentEvent::GrantDeclined { router, offer } => self.void_offer(now, router, offer),
            AgentEvent::RunStarted { offer } => self.start_run(offer),
            AgentEvent::RunProgressed { offer, units } => self.progress_run(now, offer, units),
            AgentEvent::RunEnded { offer, units } => self.end_run(now, offer, units),
            AgentEvent::FirstToken { elapsed } => self.limit.first_token(now, elapsed),
            AgentEvent::NextToken { elapsed } => self.limit.next_token(now, elapsed),
            AgentEvent::TotalsReceived { totals } => {
                for total in totals {
                    self.queue.hear(now, total);
                }
            }
            AgentEvent::PlaceLimitChanged { places } => self.limit.set_most(places),
            AgentEvent::DrainStarted => self.start_drain(now, commands),
            AgentEvent::TimerFired => {}
        }
        self.expire_grants(now);
        self.grant_waiting(now, commands);
        self.announce_room(now, commands);
        self.send_reports(now, commands);
        self.finish_drain(commands);
        self.check_state(commands);
    }

    /// Returns when [`AgentEvent::TimerFired`] is due; `None` while nothing is.
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        let mut next = self.grants.first().map(|(expiry, _)| *expiry);
        let mut consider = |time: MonotonicTime| {
            next = Some(next.map_or(time, |next| next.min(time)));
        };
        if !self.routers.is_empty() {
            if let Some(check) = self.queue.next_check() {
                consider(check.max(self.next_report));
            }
            if self.has_room() {
                consider(self.next_room);
            }
        }
        next
    }

    /// Returns whether an offer is granted to a router and not yet running.
    ///
    /// A run whose grant is no longer held must be refused before the target sees it.
    pub fn holds_grant(&self, router: VmId, offer: OfferId) -> bool {
        self.offers
            .get(&offer)
            .is_some_and(|entry| entry.router == router && entry.stage == OfferStage::Granted)
    }

    fn join_router(&mut self, now: MonotonicTime, router: VmId, commands: &mut Vec<AgentCommand>) {
        if self.draining {
            commands.push(AgentCommand::AnnounceLeaving { router });
        }
        if let Err(position) = self.routers.binary_search(&router) {
            self.routers.insert(position, router);
        }
        self.room_pause = self.policy.room_interval;
        self.next_room = now;
    }

    fn lose_router(&mut self, now: MonotonicTime, router: VmId) {
        if let Ok(position) = self.routers.binary_search(&router) {
            self.routers.remove(position);
        }
        let is_void =
            |entry: &OfferEntry| entry.router == router && entry.stage != OfferStage::Running;
        let void: Vec<OfferId> = self
            .offers
            .iter()
            .filter(|(_, entry)| is_void(entry))
            .map(|(offer, _)| *offer)
            .collect();
        for offer in void {
            self.void_offer(now, router, offer);
        }
    }

    fn take_offer(&mut self, now: MonotonicTime, router: VmId, offer: &WorkOffer) {
        if self.draining || self.offers.contains_key(&offer.id) {
            return;
        }
        let entry = OfferEntry {
            router,
            customer: offer.customer,
            class: offer.class,
            hint: offer.estimate,
            expires: now.after(Duration::from_micros(offer.patience_micros)),
            stage: OfferStage::Waiting,
            charged: NormalisedService::default(),
            reserved: WorkUnits::default(),
            units: WorkUnits::default(),
            granted: now,
        };
        self.offers.insert(offer.id, entry);
        self.queue.push(now, offer.id, offer.customer, offer.share, offer.class);
        self.room_pause = self.policy.room_interval;
    }

    /// Voids an offer or grant; a running request is not touched.
    fn void_offer(&mut self, now: MonotonicTime, router: VmId, offer: OfferId) {
        let Some(entry) = self.offers.get(&offer) else {
            return;
        };
        if entry.router != router || entry.stage == OfferStage::Running {
            return;
        }
        let Some(entry) = self.offers.remove(&offer) else {
            return;
        };
        match entry.stage {
            OfferStage::Waiting => {
                self.queue.remove(now, entry.customer, offer);
            }
            OfferStage::Granted => {
                self.granted -= 1;
                self.grants.remove(&(entry.granted.after(self.policy.grant_timeout), offer));
                self.queue.leave(entry.customer);
                self.queue.recharge(now, entry.customer, entry.charged, WorkUnits::default());
            }
            OfferStage::Running => {}
        }
    }

    fn expire_grants(&mut self, now: MonotonicTime) {
        while let Some((expiry, offer)) = self.grants.first().copied() {
            if expiry > now {
                return;
            }
            self.grants.pop_first();
            if let Some(router) = self.offers.get(&offer).map(|entry| entry.router) {
                self.void_offer(now, router, offer);
            }
        }
    }

    fn start_run(&mut self, offer: OfferId) {
        let Some(entry) = self.offers.get_mut(&offer) else {
            return;
        };
        if entry.stage != OfferStage::Granted {
            return;
        }
        entry.stage = OfferStage::Running;
        self.grants.remove(&(entry.granted.after(self.policy.grant_timeout), offer));
        self.granted -= 1;
        self.running += 1;
    }

    fn progress_run(&mut self, now: MonotonicTime, offer: OfferId, units: WorkUnits) {
        let Some(entry) = self.offers.get_mut(&offer) else {
            return;
        };
        if entry.stage != OfferStage::Running || units <= entry.units {
            return;
        }
        entry.units = units;
        // The reservation covers the run until it costs more than was predicted.
        let due = units.max(entry.reserved);
        entry.charged = self.queue.recharge(now, entry.customer, entry.charged, due);
    }

    fn end_run(&mut self, now: MonotonicTime, offer: OfferId, units: WorkUnits) {
        let Some(entry) = self.offers.get(&offer) else {
            return;
        };
        if entry.stage != OfferStage::Running {
            return;
        }
        let Some(entry) = self.offers.remove(&offer) else {
            return;
        };
        self.running -= 1;
        self.queue.leave(entry.customer);
        self.queue.recharge(now, entry.customer, entry.charged, units);
        self.estimator.observe(entry.customer, entry.class, entry.hint, units);
    }

    fn has_room(&self) -> bool {
        !self.draining && self.queue.is_empty() && self.granted + self.running < self.limit.places()
    }

    fn grant_waiting(&mut self, now: MonotonicTime, commands: &mut Vec<AgentCommand>) {
        if self.draining {
            return;
        }
        while self.granted + self.running < self.limit.places() {
            let Some((customer, offer)) = self.queue.pop(now) else {
                return;
            };
            self.grant_offer(now, customer, offer, commands);
        }
        self.limit.note_full();
    }

    fn grant_offer(
        &mut self,
        now: MonotonicTime,
        customer: CustomerId,
        offer: OfferId,
        commands: &mut Vec<AgentCommand>,
    ) {
        let Some(entry) = self.offers.get_mut(&offer) else {
            let message = format!("offer {offer:?} waits without an entry");
            commands.push(AgentCommand::ReportViolation { message });
            return;
        };
        if entry.expires <= now {
            self.offers.remove(&offer);
            return;
        }
        let predicted = self.estimator.predict(customer, entry.class, entry.hint);
        entry.reserved = predicted.min(self.policy.reservation_max);
        entry.stage = OfferStage::Granted;
        entry.granted = now;
        let none = NormalisedService::default();
        entry.charged = self.queue.recharge(now, customer, none, entry.reserved);
        self.queue.enter(customer);
        self.granted += 1;
        self.grants.insert((now.after(self.policy.grant_timeout), offer));
        commands.push(AgentCommand::SendGrant { router: entry.router, offer });
        if self.granted + self.running > self.limit.places() {
            let message = format!(
                "{} granted and {} running exceed {} places",
                self.granted,
                self.running,
                self.limit.places()
            );
            commands.push(AgentCommand::ReportViolation { message });
        }
    }

    fn announce_room(&mut self, now: MonotonicTime, commands: &mut Vec<AgentCommand>) {
        if now < self.next_room || self.routers.is_empty() || !self.has_room() {
            return;
        }
        let places = self.limit.places() - self.granted - self.running;
        let count = self.routers.len();
        let first = self.rng.random_range(0..count);
        for step in 0..ROOM_FANOUT.min(count) {
            let router = self.routers[(first + step) % count];
            commands.push(AgentCommand::AnnounceRoom { router, places });
        }
        self.next_room = now.after(self.room_pause);
        self.room_pause = (self.room_pause * ROOM_BACKOFF).min(self.policy.room_interval_max);
    }

    fn send_reports(&mut self, now: MonotonicTime, commands: &mut Vec<AgentCommand>) {
        if now < self.next_report || self.routers.is_empty() {
            return;
        }
        self.next_report = now.after(self.policy.report_interval);
        let heartbeat = self.policy.heartbeat_interval;
        let due = self.queue.take_due(now, heartbeat, self.policy.customer_memory);
        if due.is_empty() || self.policy.share_policy != SharePolicy::Fleet {
            return;
        }
        let Some(router) = rendezvous_first(self.vm.0, &self.routers) else {
            return;
        };
        let mut reports = Vec::with_capacity(due.len());
        for customer in due {
            let Some(account) = self.queue.accounts().get(&customer) else {
                continue;
            };
            reports.push(ServiceReport {
                agent: self.incarnation,
                vm: self.vm,
                customer,
                given: account.given,
                known_total: self.queue.known_total(customer),
                virtual_time: self.queue.lowest_other(customer),
                waiting: account.waiting > 0,
            });
        }
        commands.push(AgentCommand::SendReports { router, reports });
    }

    fn start_drain(&mut self, now: MonotonicTime, commands: &mut Vec<AgentCommand>) {
        if self.draining {
            return;
        }
        self.draining = true;
        for router in &self.routers {
            commands.push(AgentCommand::AnnounceLeaving { router: *router });
        }
        let waiting: Vec<(VmId, OfferId)> = self
            .offers
            .iter()
            .filter(|(_, entry)| entry.stage == OfferStage::Waiting)
            .map(|(offer, entry)| (entry.router, *offer))
            .collect();
        for (router, offer) in waiting {
            self.void_offer(now, router, offer);
        }
    }

    fn finish_drain(&mut self, commands: &mut Vec<AgentCommand>) {
        if self.draining && !self.drained && self.granted + self.running == 0 {
            self.drained = true;
            commands.push(AgentCommand::FinishDrain);
        }
    }

    fn check_state(&self, commands: &mut Vec<AgentCommand>) {
        let held = self.granted as usize + self.running as usize + self.queue.len();
        if held != self.offers.len() {
            let message = format!("{} offers are held but {held} counted", self.offers.len());
            commands.push(AgentCommand::ReportViolation { message });
        }
        if let Some(message) = self.queue.inconsistency() {
            commands.push(AgentCommand::ReportViolation { message });
        }
    }
}
