//! Discrete-event simulation of a small fleet: router and agent cores exchange messages through
//! one seeded event queue.

#[path = "faults.rs"]
mod faults;
#[path = "links.rs"]
mod links;
#[path = "plan.rs"]
pub(crate) mod plan;
#[path = "runs.rs"]
mod runs;

use std::collections::{BTreeMap, BTreeSet};

use jackdaw_base::{
    DomainId, MonotonicTime, NormalisedService, OfferId, ProcessIncarnation, RequestId, ServiceId,
    VmId,
};
use jackdaw_policy::{
    AgentCommand, AgentCore, AgentEvent, GapMonitor, RouterCommand, RouterCore, RouterEvent,
    gap_bound,
};
use links::{AGENT_BASE, DOMAINS, ROUTER_BASE, agent_vm, customer_id, router_links, router_vm};
use plan::{FleetFault, FleetPlan, PLACE_RATE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Microseconds per second.
const SECOND: u64 = 1_000_000;
/// Delay until the other process learns of the start or end of a run, in microseconds.
const RUN_DELAY: u64 = 700;
// The identifier encodes to the same length as a hashed name, so that measured message sizes are
// realistic.
const SERVICE: ServiceId = ServiceId(1 << 63);

/// Measurements of a simulation; gap, bound and service are in tokens.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetResult {
    pub(crate) gap: u64,
    pub(crate) bound: u64,
    pub(crate) mean_service: u64,
    pub(crate) utilisation: f64,
    /// Longest time without service for a backlogged customer, in seconds.
    pub(crate) starved: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) fairness_bytes: u64,
    pub(crate) violations: Vec<String>,
}

/// Event of the simulation; agents, routers and customers are given by index.
#[derive(Clone)]
enum SimulationEvent {
    Agent(usize, AgentEvent),
    Router(usize, RouterEvent),
    /// Agent, router and offer of a request that arrives to be run.
    StartRun(usize, VmId, OfferId),
    /// Agent and offer of a run that generates its due tokens.
    AdvanceRun(usize, OfferId),
    /// Customer and router of a new request.
    SubmitRequest(usize, usize),
    Fault(FleetFault),
}

/// Event between two processes, dropped if one of them has restarted since it was scheduled.
struct ScheduledEvent {
    /// VM and incarnation of both processes; incarnation zero matches any.
    endpoints: [(VmId, u64); 2],
    event: SimulationEvent,
}

struct Run {
    router: VmId,
    customer: usize,
    cost: u64,
    completed: u64,
    started: u64,
}

struct AgentNode {
    core: AgentCore,
    runs: BTreeMap<OfferId, Run>,
    timer: Option<MonotonicTime>,
}

struct RouterNode {
    core: RouterCore,
    timer: Option<MonotonicTime>,
    sequence: u64,
}

pub(crate) struct FleetSimulation {
    plan: FleetPlan,
    now: u64,
    sequence: u64,
    /// Scheduled events by time and order of scheduling.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    rng: ChaCha8Rng,
    incarnations: BTreeMap<VmId, u64>,
    agents: Vec<AgentNode>,
    routers: Vec<RouterNode>,
    /// Agents linked to each router.
    links: Vec<Vec<usize>>,
    /// Customer and cost of each request without an outcome yet.
    requests: BTreeMap<RequestId, (usize, u64)>,
    started_requests: BTreeSet<RequestId>,
    monitor: GapMonitor,
    /// Time at which each backlogged customer was last served.
    last_served: BTreeMap<usize, u64>,
    /// Sum over all places of the time that each was in use, in microseconds.
    busy_time: u64,
    running: u64,
    /// Whether the links between routers are cut.
    partitioned: bool,
    paused: BTreeSet<usize>,
    result: FleetResult,
}

impl FleetSimulation {
    pub(crate) fn new(plan: FleetPlan) -> FleetSimulation {
        let mut simulation = FleetSimulation {
            now: 1,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            incarnations: BTreeMap::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            links: Vec::new(),
            requests: BTreeMap::new(),
            started_requests: BTreeSet::new(),
            monitor: GapMonitor::new(),
            last_served: BTreeMap::new(),
            busy_time: 0,
            running: 0,
            partitioned: false,
            paused: BTreeSet::new(),
            result: FleetResult::default(),
            plan,
        };
        for index in 0..simulation.plan.agents {
            let node = simulation.agent_node(index);
            simulation.agents.push(node);
        }
        for index in 0..simulation.plan.routers {
            let node = simulation.router_node(index);
            simulation.routers.push(node);
        }
        simulation.links = router_links(&simulation.plan);
        for customer in 0..simulation.plan.customers.len() {
            simulation.monitor.add_customer(customer_id(customer));
            simulation.last_served.insert(customer, 0);
        }
        for index in 0..simulation.plan.routers {
            simulation.connect_router(index);
        }
        for (second, fault) in simulation.plan.faults.clone() {
            simulation.schedule(second * SECOND, SimulationEvent::Fault(fault));
        }
        simulation
    }

    /// Runs the plan to its end and returns the measurements.
    pub(crate) fn run(mut self) -> FleetResult {
        let mut next_sample = SECOND;
        while let Some(((time, _), scheduled)) = self.queue.pop_first() {
            if time > self.plan.seconds * SECOND {
                break;
            }
            self.busy_time += self.running * (time - self.now);
            self.now = time;
            if time >= next_sample {
                next_sample += SECOND;
                self.monitor.sample();
                let oldest = self.last_served.values().min().copied().unwrap_or(self.now);
                self.result.starved = self.result.starved.max((self.now - oldest) / SECOND);
            }
            let is_current = |(vm, incarnation): &(VmId, u64)| {
                *incarnation == 0 || self.incarnations.get(vm) == Some(incarnation)
            };
            if scheduled.endpoints.iter().all(is_current) {
                self.handle_event(scheduled.event);
            }
        }
        self.monitor.sample();
        let bound = gap_bound(&self.plan.gap_terms());
        let places = self.plan.agents as u64 * u64::from(self.plan.agent_policy.places);
        let shares: u64 = self.plan.customers.iter().map(|load| u64::from(load.share)).sum();
        self.result.utilisation = 100.0 * self.busy_time as f64 / (places * self.now) as f64;
        self.result.gap = self.monitor.max_gap().0 / NormalisedService::SCALE;
        self.result.bound = bound.0 / NormalisedService::SCALE;
        self.result.mean_service = self.busy_time * PLACE_RATE / SECOND / shares;
        self.result.violations.extend(self.monitor.violation(bound));
        self.result
    }

    fn agent_node(&mut self, index: usize) -> AgentNode {
        let incarnation = self.new_incarnation(agent_vm(index));
        let policy = self.plan.agent_policy.clone();
        let core = AgentCore::new(policy, agent_vm(index), incarnation, self.rng.random());
        AgentNode { core, runs: BTreeMap::new(), timer: None }
    }

    fn router_node(&mut self, index: usize) -> RouterNode {
        let incarnation = self.new_incarnation(router_vm(index));
        let policy = self.plan.router_policy.clone();
        let core = RouterCore::new(policy, router_vm(index), incarnation, self.rng.random());
        RouterNode { core, timer: None, sequence: 0 }
    }

    fn new_incarnation(&mut self, vm: VmId) -> ProcessIncarnation {
        let incarnation = self.rng.random_range(1..u64::MAX);
        self.incarnations.insert(vm, incarnation);
        ProcessIncarnation(incarnation)
    }

    /// Connects a new router to its agents and peers and submits the load of its customers.
    fn connect_router(&mut self, index: usize) {
        for agent in self.links[index].clone() {
            self.connect(index, agent);
        }
        let router = router_vm(index);
        for other in (0..self.plan.routers).filter(|other| *other != index) {
            if self.is_cut(router, router_vm(other)) {
                continue;
            }
            self.deliver_to_router(other, RouterEvent::PeerLost { router });
            self.deliver_to_router(other, RouterEvent::PeerJoined { router });
            self.deliver_to_router(index, RouterEvent::PeerJoined { router: router_vm(other) });
        }
        for customer in 0..self.plan.customers.len() {
            if !self.plan.customers[customer].routers.contains(&index) {
                continue;
            }
            self.fill_queue(customer, index);
        }
    }

    fn fill_queue(&mut self, customer: usize, router: usize) {
        for _ in 0..self.plan.customers[customer].queue_depth {
            let time = self.now + self.rng.random_range(0..SECOND / 10);
            self.schedule(time, SimulationEvent::SubmitRequest(customer, router));
        }
    }

    fn connect(&mut self, router: usize, agent: usize) {
        self.deliver_to_agent(agent, AgentEvent::RouterJoined { router: router_vm(router) });
        let domain = DomainId(agent as u64 % DOMAINS);
        let joined = RouterEvent::AgentJoined { agent: agent_vm(agent), service: SERVICE, domain };
        self.deliver_to_router(router, joined);
    }

    /// Returns whether the partition separates two processes.
    fn is_cut(&self, one: VmId, other: VmId) -> bool {
        self.partitioned && one.0 % 2 != other.0 % 2
    }

    /// Schedules an event that no restart cancels.
    fn schedule(&mut self, time: u64, event: SimulationEvent) {
        self.schedule_between(time, [(VmId(0), 0); 2], event);
    }

    /// Schedules an event that is dropped if one of its endpoints restarts before it is due.
    fn schedule_between(&mut self, time: u64, endpoints: [(VmId, u64); 2], event: SimulationEvent) {
        self.sequence += 1;
        self.queue.insert((time.max(self.now), self.sequence), ScheduledEvent { endpoints, event });
    }

    fn endpoints(&self, from: VmId, to: VmId) -> [(VmId, u64); 2] {
        [from, to].map(|vm| (vm, self.incarnations.get(&vm).copied().unwrap_or(0)))
    }

    /// Sends a control message, which may be lost, duplicated or reordered.
    fn send(&mut self, from: VmId, to: VmId, length: usize, event: &SimulationEvent) {
        self.result.messages += 1;
        self.result.bytes += length as u64;
        let mut copies = 1;
        let mut delay = self.rng.random_range(300..1_500);
        match self.rng.random_range(0..1_000) {
            roll if roll < self.plan.loss_permille => copies = 0,
            roll if roll < 2 * self.plan.loss_permille => copies = 2,
            roll if roll < 3 * self.plan.loss_permille => delay *= 50,
            _ => {}
        }
        let endpoints = self.endpoints(from, to);
        for _ in 0..copies {
            self.schedule_between(self.now + delay, endpoints, event.clone());
        }
    }

    fn send_to_agent(&mut self, from: VmId, agent: VmId, event: AgentEvent) {
        let length = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
        if matches!(event, AgentEvent::TotalsReceived { .. }) {
            self.result.fairness_bytes += length as u64;
        }
        let index = (agent.0 - AGENT_BASE) as usize;
        self.send(from, agent, length, &SimulationEvent::Agent(index, event));
    }

    fn send_to_router(&mut self, from: VmId, router: VmId, event: RouterEvent) {
        if from.0 < AGENT_BASE && self.is_cut(from, router) {
            return;
        }
        let length = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
        if !matches!(event, RouterEvent::GrantReceived { .. } | RouterEvent::RoomAnnounced { .. }) {
            self.result.fairness_bytes += length as u64;
        }
        let index = (router.0 - ROUTER_BASE) as usize;
        self.send(from, router, length, &SimulationEvent::Router(index, event));
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Agent(index, event) => self.deliver_to_agent(index, event),
            SimulationEvent::Router(index, event) => self.deliver_to_router(index, event),
            SimulationEvent::StartRun(agent, router, offer) => self.start_run(agent, router, offer),
            SimulationEvent::AdvanceRun(agent, offer) => self.advance_run(agent, offer),
            SimulationEvent::SubmitRequest(customer, router) => {
                self.submit_request(customer, router);
            }
            SimulationEvent::Fault(fault) => self.inject_fault(fault),
        }
    }

    fn deliver_to_agent(&mut self, index: usize, event: AgentEvent) {
        let mut commands = Vec::new();
        let node = &mut self.agents[index];
        node.core.handle(MonotonicTime(self.now), event, &mut commands);
        let timer = node.core.next_timer();
        let agent = agent_vm(index);
        if timer != node.timer {
            node.timer = timer;
            if let Some(time) = timer {
                let endpoints = self.endpoints(agent, agent);
                self.schedule_between(
                    time.0,
                    endpoints,
                    SimulationEvent::Agent(index, AgentEvent::TimerFired),
                );
            }
        }
        for command in commands {
            match command {
                AgentCommand::SendGrant { router, offer } => {
                    self.send_to_router(agent, router, RouterEvent::GrantReceived { agent, offer });
                }
                AgentCommand::SendReports { router, reports } => {
                    let event = RouterEvent::ReportsReceived { sender: agent, reports };
                    self.send_to_router(agent, router, event);
                }
                AgentCommand::AnnounceRoom { router, places } => {
                    self.send_to_router(
                        agent,
                        router,
                        RouterEvent::RoomAnnounced { agent, places },
                    );
                }
                AgentCommand::ReportViolation { message } => self.result.violations.push(message),
                AgentCommand::AnnounceLeaving { .. } | AgentCommand::FinishDrain => {}
            }
        }
    }

    fn deliver_to_router(&mut self, index: usize, event: RouterEvent) {
        let mut commands = Vec::new();
        let node = &mut self.routers[index];
        node.core.handle(MonotonicTime(self.now), event, &mut commands);
        let timer = node.core.next_timer();
        let vm = router_vm(index);
        if timer != node.timer {
            node.timer = timer;
            if let Some(time) = timer {
                let endpoints = self.endpoints(vm, vm);
                self.schedule_between(
                    time.0,
                    endpoints,
                    SimulationEvent::Router(index, RouterEvent::TimerFired),
                );
            }
        }
        for command in commands {
            self.execute_router_command(index, command);
        }
    }

    fn execute_router_command(&mut self, index: usize, command: RouterCommand) {
        let router = router_vm(index);
        match command {
            RouterCommand::SendOffer { agent, offer } => {
                self.send_to_agent(router, agent, AgentEvent::OfferReceived { router, offer });
            }
            RouterCommand::SendWithdraw { agent, offer } => {
                self.send_to_agent(router, agent, AgentEvent::OfferWithdrawn { router, offer });
            }
            RouterCommand::SendDecline { agent, offer } => {
                self.send_to_agent(router, agent, AgentEvent::GrantDeclined { router, offer });
            }
            RouterCommand::SendTotals { agent, totals } => {
                self.send_to_agent(router, agent, AgentEvent::TotalsReceived { totals });
            }
            RouterCommand::ForwardReports { router: home, reports } => {
                let event = RouterEvent::ReportsReceived { sender: router, reports };
                self.send_to_router(router, home, event);
            }
            RouterCommand::ForwardTotals { router: via, agent, totals } => {
                self.send_to_router(router, via, RouterEvent::TotalsReceived { agent, totals });
            }
            RouterCommand::StartRun { agent, offer } => {
                let start =
                    SimulationEvent::StartRun((agent.0 - AGENT_BASE) as usize, router, offer);
                self.schedule_between(self.now + RUN_DELAY, self.endpoints(router, agent), start);
                if let (0, Some((customer, _))) = (offer.attempt, self.requests.get(&offer.request))
                {
                    self.schedule(self.now, SimulationEvent::SubmitRequest(*customer, index));
                }
            }
            RouterCommand::Answer { request, kind, .. } => self.record_answer(index, request, kind),
            RouterCommand::ReportViolation { message } => self.result.violations.push(message),
        }
    }
}
