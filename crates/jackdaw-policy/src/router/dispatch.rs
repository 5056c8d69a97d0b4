//! Where waiting requests are offered.
//!
//! A request goes to a few agents, chosen as the least loaded of a few more that are sampled at
//! random (Mitzenmacher's power of two choices). Each customer may have only a few offers at
//! each agent, so that an agent holds something of every customer and a flood costs no memory.

use std::ops::Bound;

use jackdaw_base::{
    CustomerId, DomainId, ErrorKind, MonotonicTime, OfferId, RequestId, ServiceId, VmId, WorkOffer,
};
use rand::Rng;

use super::customer_queue::CustomerQueue;
use super::{AgentLink, AgentList, RequestStage, RouterCore, TimerKind};
use crate::event::RouterCommand;
use crate::rendezvous::rendezvous_weight;

/// Agents that are sampled for each that is asked.
const SAMPLES_PER_OFFER: usize = 3;
/// Offers that answer one announcement of room, for each free place.
const OFFERS_PER_PLACE: u32 = 2;
/// Most offers that answer one announcement of room.
const MAX_OFFERS_PER_ANNOUNCEMENT: u32 = 32;
/// Customers that are looked at for each such offer.
const MAX_CUSTOMERS_SCANNED: usize = 64;
/// Load up to which an agent counts as free in spite of a low mean.
const LOAD_BOUND_OFFSET: u32 = 2;

impl RouterCore {
    pub(super) fn add_agent(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        service: ServiceId,
        domain: DomainId,
        commands: &mut Vec<RouterCommand>,
    ) {
        if self.agents.contains_key(&agent) {
            self.remove_agent(now, agent, commands);
        }
        let link = AgentLink { service, domain, offers: 0, running: 0, leaving: false };
        self.agents.insert(agent, link);
        self.services.entry(service).or_default().agents.push(agent);
        self.fill_places(now, agent, self.policy.offers_per_agent, commands);
    }

    pub(super) fn remove_agent(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        commands: &mut Vec<RouterCommand>,
    ) {
        self.retire_agent(now, agent, commands);
        let Some(link) = self.agents.remove(&agent) else {
            return;
        };
        if let Some(pool) = self.services.get_mut(&link.service) {
            pool.load -= link.offers + link.running;
        }
    }

    /// Takes an agent out of the choice and offers its requests elsewhere.
    pub(super) fn retire_agent(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(link) = self.agents.get_mut(&agent) else {
            return;
        };
        if link.leaving {
            return;
        }
        link.leaving = true;
        let service = link.service;
        let Some(pool) = self.services.get_mut(&service) else {
            return;
        };
        pool.agents.retain(|other| *other != agent);
        let mut held = Vec::new();
        for queue in pool.queues.values() {
            for lane in &queue.lanes {
                if lane.offers_at(agent) > 0 {
                    held.extend(lane.offered.iter().copied());
                }
            }
        }
        for request in held {
            let Some(entry) = self.requests.get(&request) else {
                continue;
            };
            if entry.holders.contains(&agent) {
                self.release_offer(request, agent);
                self.offer_more(now, request, 1, commands);
            }
        }
        self.start_no_agent_timeout(now, service);
    }

    /// Sets a timer for each waiting request once the last agent of a service is gone.
    fn start_no_agent_timeout(&mut self, now: MonotonicTime, service: ServiceId) {
        let Some(pool) = self.services.get_mut(&service) else {
            return;
        };
        if !pool.agents.is_empty() {
            return;
        }
        pool.empty_since = now;
        let lanes = pool.queues.values().flat_map(|queue| &queue.lanes);
        let waiting: Vec<RequestId> =
            lanes.flat_map(|lane| lane.unoffered.iter().copied()).collect();
        for request in waiting {
            self.set_timer(request, now.after(self.policy.no_agent_timeout), TimerKind::Widen);
        }
    }

    /// Offers a waiting request to up to `count` further agents; returns how many were asked.
    pub(super) fn offer_more(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        count: usize,
        commands: &mut Vec<RouterCommand>,
    ) -> usize {
        let chosen = self.choose_agents(request, count);
        for agent in &chosen {
            self.offer_to(now, request, *agent, commands);
        }
        chosen.len()
    }

    /// Offers a waiting request for the first time.
    pub(super) fn offer_first(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let preferred = self.affinity_agent(request);
        let delay = match preferred {
            Some(agent) => {
                self.offer_to(now, request, agent, commands);
                self.policy.affinity_wait
            }
            None => {
                let count = self.policy.offers_per_request as usize;
                self.offer_more(now, request, count, commands);
                self.policy.widen_after
            }
        };
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.delay = delay;
        // Behind offers of its own customer a request needs no timer: it follows when one ends.
        let service = entry.request.service;
        let is_capped = entry.holders.is_empty()
            && self.services.get(&service).is_some_and(|pool| !pool.agents.is_empty());
        if !is_capped {
            self.set_timer(request, now.after(delay), TimerKind::Widen);
        }
    }

    /// Offers a request that has waited for a while to further agents.
    pub(super) fn widen(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let service = entry.request.service;
        let empty_since = match self.services.get(&service) {
            Some(pool) if pool.agents.is_empty() => Some(pool.empty_since.max(entry.arrived_at)),
            _ => None,
        };
        let timeout = self.policy.no_agent_timeout;
        if empty_since.is_some_and(|since| now.since(since) >= timeout) {
            let kind =
                if entry.may_have_run { ErrorKind::Interrupted } else { ErrorKind::NoCapacity };
            self.finish(now, request, kind, commands);
            return;
        }
        let initial_offers = self.policy.offers_per_request as usize;
        let additional = initial_offers.saturating_sub(entry.holders.len()).max(1);
        let delay = (entry.delay * 2).clamp(self.policy.widen_after, self.policy.widen_after_max);
        let holders = entry.holders.len();
        if holders < self.policy.offers_max as usize {
            self.offer_more(now, request, additional, commands);
        } else {
            let agent = entry.holders[self.rng.random_range(0..holders)];
            self.send_offer(now, request, agent, commands);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.delay = delay;
        }
        self.set_timer(request, now.after(delay), TimerKind::Widen);
    }

    /// Offers requests to an agent with free places, in turn among the waiting customers.
    pub(super) fn fill_places(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        places: u32,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(link) = self.agents.get(&agent) else {
            return;
        };
        if link.leaving {
            return;
        }
        let service = link.service;
        let wanted = places.saturating_mul(OFFERS_PER_PLACE).min(MAX_OFFERS_PER_ANNOUNCEMENT);
        for _ in 0..wanted {
            let Some(request) = self.next_request_for(service, agent) else {
                return;
            };
            self.offer_to(now, request, agent, commands);
        }
    }

    /// Offers the next request of a customer to agents that no longer hold an offer of it.
    pub(super) fn offer_next(
        &mut self,
        now: MonotonicTime,
        service: ServiceId,
        customer: CustomerId,
        lane: usize,
        freed: &[VmId],
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(pool) = self.services.get(&service) else {
            return;
        };
        let Some(queue) = pool.queues.get(&customer) else {
            return;
        };
        let Some(request) = queue.lanes[lane].unoffered.first().copied() else {
            return;
        };
        for agent in freed {
            if self.can_offer(request, *agent) {
                self.offer_to(now, request, *agent, commands);
            }
        }
        self.set_timer(request, now.after(self.policy.widen_after), TimerKind::Widen);
    }

    /// Takes an offer out of the books of its agent and customer.
    pub(super) fn release_offer(&mut self, request: RequestId, agent: VmId) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(position) = entry.holders.iter().position(|holder| *holder == agent) else {
            return;
        };
        entry.holders.swap_remove(position);
        if let Some(link) = self.agents.get_mut(&agent) {
            link.offers -= 1;
        }
        let Some(pool) = self.services.get_mut(&entry.request.service) else {
            return;
        };
        pool.load -= 1;
        let Some(queue) = pool.queues.get_mut(&entry.request.customer) else {
            return;
        };
        let lane = &mut queue.lanes[CustomerQueue::lane_index(entry.request.class)];
        lane.remove_offer(agent);
        if entry.holders.is_empty() && lane.offered.remove(&request) {
            lane.unoffered.insert(request);
        }
    }

    fn offer_to(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        agent: VmId,
        commands: &mut Vec<RouterCommand>,
    ) {
        self.send_offer(now, request, agent, commands);
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let arrived = &entry.request;
        entry.holders.push(agent);
        if let Some(link) = self.agents.get_mut(&agent) {
            link.offers += 1;
        }
        if let Some(pool) = self.services.get_mut(&arrived.service) {
            pool.load += 1;
            let queue = pool.queues.entry(arrived.customer).or_default();
            let lane = &mut queue.lanes[CustomerQueue::lane_index(arrived.class)];
            lane.add_offer(agent);
            lane.unoffered.remove(&request);
            lane.offered.insert(request);
        }
    }

    /// Sends an offer without a change of the books; an agent passes over one that it has.
    fn send_offer(
        &self,
        now: MonotonicTime,
        request: RequestId,
        agent: VmId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let arrived = &entry.request;
        let offer = WorkOffer {
            id: OfferId { request, attempt: entry.attempt },
            customer: arrived.customer,
            share: arrived.share,
            service: arrived.service,
            class: arrived.class,
            estimate: entry.estimate,
            prefix: arrived.prefix,
            patience_micros: entry.deadline.since(now).as_micros() as u64,
        };
        commands.push(RouterCommand::SendOffer { agent, offer });
    }

    /// Draws agents at random and returns the least loaded of those that may hold the request.
    fn choose_agents(&mut self, request: RequestId, count: usize) -> AgentList {
        let Some(entry) = self.requests.get(&request) else {
            return AgentList::new();
        };
        let Some(pool) = self.services.get(&entry.request.service) else {
            return AgentList::new();
        };
        let total = pool.agents.len();
        let samples = (count * SAMPLES_PER_OFFER).min(total);
        if samples == 0 {
            return AgentList::new();
        }
        // A random start and a stride through the pool draw without repetition.
        let start = self.rng.random_range(0..total);
        let stride = total / samples;
        let mut sampled: smallvec::SmallVec<[(u32, VmId); 16]> = smallvec::SmallVec::new();
        for step in 0..samples {
            let agent = pool.agents[(start + step * stride) % total];
            if self.can_offer(request, agent) {
                let load = self.agents.get(&agent).map_or(0, |link| link.offers + link.running);
                sampled.push((load, agent));
            }
        }
        sampled.sort_unstable();
        sampled.iter().take(count).map(|(_, agent)| *agent).collect()
    }

    /// Returns the agent that most likely caches the request's prefix, unless it is loaded
    /// beyond the mean (consistent hashing with bounded loads, Mirrokni et al., 2018).
    fn affinity_agent(&self, request: RequestId) -> Option<VmId> {
        let entry = self.requests.get(&request)?;
        let prefix = entry.request.prefix;
        if prefix == 0 {
            return None;
        }
        let pool = self.services.get(&entry.request.service)?;
        let total = u32::try_from(pool.agents.len()).ok()?;
        let slack = u64::from(100 + self.policy.affinity_slack_percent);
        let mean = u64::from(pool.load) * slack / 100 / u64::from(total.max(1));
        let bound = mean + u64::from(LOAD_BOUND_OFFSET);
        let agent =
            pool.agents.iter().copied().max_by_key(|agent| rendezvous_weight(prefix, *agent))?;
        let link = self.agents.get(&agent)?;
        let is_free = u64::from(link.offers + link.running) <= bound;
        (is_free && self.can_offer(request, agent)).then_some(agent)
    }

    /// Returns whether an agent may be offered a request within the limits.
    fn can_offer(&self, request: RequestId, agent: VmId) -> bool {
        let Some(entry) = self.requests.get(&request) else {
            return false;
        };
        let Some(link) = self.agents.get(&agent) else {
            return false;
        };
        if entry.stage != RequestStage::Waiting || entry.holders.contains(&agent) || link.leaving {
            return false;
        }
        let Some(pool) = self.services.get(&entry.request.service) else {
            return false;
        };
        let lane = CustomerQueue::lane_index(entry.request.class);
        let held = match pool.queues.get(&entry.request.customer) {
            Some(queue) => queue.lanes[lane].offers_at(agent),
            None => 0,
        };
        held < self.policy.offers_per_agent
    }

    /// Returns a waiting request that the agent does not hold, of the customer after the last.
    fn next_request_for(&mut self, service: ServiceId, agent: VmId) -> Option<RequestId> {
        let pool = self.services.get(&service)?;
        let cursor = pool.cursor.unwrap_or(CustomerId(u64::MAX));
        let after = (Bound::Excluded(cursor), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(cursor));
        let customers = pool.queues.range(after).chain(pool.queues.range(up_to));
        let customers = customers.take(MAX_CUSTOMERS_SCANNED);
        let mut found = None;
        for (customer, queue) in customers {
            for lane in &queue.lanes {
                let waiting = lane.unoffered.iter().chain(lane.offered.iter());
                let mut free = waiting.take(self.policy.offers_per_agent as usize + 1);
                let request = free.find(|request| self.can_offer(**request, agent));
                if let Some(request) = request {
                    found = Some((*customer, *request));
                    break;
                }
            }
            if found.is_some() {
                break;
            }
        }
        let (customer, request) = found?;
        self.services.get_mut(&service)?.cursor = Some(customer);
        Some(request)
    }
}
