//! Selection of the agents that a waiting request is offered to.
//!
//! A request is offered to the least loaded agents of a random sample (Mitzenmacher's power of two
//! choices). The number of offers per customer and agent is limited, so that an agent holds offers
//! from every customer and a flood of requests from one customer does not use up its memory.

use std::ops::Bound;

use jackdaw_base::{
    CustomerId, DomainId, ErrorKind, MonotonicTime, OfferId, RequestId, ServiceId, VmId, WorkOffer,
};
use rand::Rng;

use super::customer_queue::CustomerQueue;
use super::{AgentLink, AgentList, RequestStage, RouterCore, TimerKind};
use crate::event::RouterCommand;
use crate::rendezvous::rendezvous_weight;

/// Number of agents sampled for each offer.
const SAMPLES_PER_OFFER: usize = 3;
/// Number of offers sent per free place that an agent announces.
const OFFERS_PER_PLACE: u32 = 2;
/// Maximum number of offers sent in response to one announcement of free places.
const MAX_OFFERS_PER_ANNOUNCEMENT: u32 = 32;
/// Maximum number of customers examined for each of these offers.
const MAX_CUSTOMERS_SCANNED: usize = 64;
/// Load added to the affinity bound, so that an agent with little load stays eligible while the
/// mean is low.
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

    /// Excludes an agent from selection and offers the requests that it held to other agents.
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

    /// Sets a timer for each unoffered request if a service has no agents left.
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

    /// Offers a waiting request to up to `count` further agents; returns the number of offers sent.
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

    /// Sends the first offers of an attempt: to the agent that likely caches the prefix, or else to
    /// the least loaded of a sample.
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
        // A request held back only by the offer limit of its customer needs no timer: `offer_next`
        // offers it when an earlier request leaves the queue.
        let service = entry.request.service;
        let is_capped = entry.holders.is_empty()
            && self.services.get(&service).is_some_and(|pool| !pool.agents.is_empty());
        if !is_capped {
            self.set_timer(request, now.after(delay), TimerKind::Widen);
        }
    }

    /// Offers a request that was not granted in time to further agents, or again to a random holder
    /// once `offers_max` is reached; fails it if its service has had no agent for too long.
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

    /// Offers requests to an agent with free places, taking the waiting customers round-robin.
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

    /// Offers the next request of a customer to the agents whose offers of an earlier request have
    /// ended.
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

    /// Removes an offer from the counters of its agent, service and customer.
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

    /// Sends an offer without updating the counters; an agent ignores an offer that it already
    /// holds.
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

    /// Samples agents at random and returns the least loaded ones that the request can be offered
    /// to.
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
        // A random start and a fixed stride through the pool sample without replacement.
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

    /// Returns the agent that most likely caches the request's prefix, unless its load exceeds the
    /// bound relative to the mean (consistent hashing with bounded loads, Mirrokni et al., 2018).
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

    /// Returns whether the request is waiting and can be offered to the agent within the limits.
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

    /// Returns a waiting request that can be offered to the agent, starting with the customer after
    /// the round-robin cursor, and advances the cursor.
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
