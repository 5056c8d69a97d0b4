//! Small in-memory fleet: one seeded event queue between the cores.

#[path = "faults.rs"]
mod faults;
#[path = "links.rs"]
mod links;
#[path = "plan.rs"]
pub(crate) mod plan;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{
    CustomerShare, DomainId, ErrorKind, MonotonicTime, NormalisedService, OfferId,
    ProcessIncarnation, RequestClass, RequestId, RequestOutcome, ServiceId, VmId, WorkUnits,
};
use jackdaw_policy::{
    AgentCommand, AgentCore, AgentEvent, ArrivedRequest, GapMonitor, RouterCommand, RouterCore,
    RouterEvent, RunFault, gap_bound,
};
use links::{AGENT_BASE, DOMAINS, ROUTER_BASE, agent_vm, customer_id, links, router_vm};
use plan::{COST_MAX, FleetFault, FleetPlan, HintError, PLACE_RATE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECOND: u64 = 1_000_000;
/// Time between two reports of a run's progress, in microseconds.
const STEP: u64 = SECOND / 4;
/// Time from the start or end of a run until the other side knows, in microseconds.
const RUN_DELAY: u64 = 700;
// Identifiers are as long on the wire as hashed names are.
const SERVICE: ServiceId = ServiceId(1 << 63);

/// What a run of the fleet has shown; gap, bound and service in tokens.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetResult {
    pub(crate) gap: u64,
    pub(crate) bound: u64,
    pub(crate) mean_service: u64,
    pub(crate) utilisation: f64,
    /// The longest time for which a backlogged customer had no service, in seconds.
    pub(crate) starved: u64,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
    pub(crate) fairness_bytes: u64,
    pub(crate) violations: Vec<String>,
}

#[derive(Clone)]
enum Happening {
    Agent(usize, AgentEvent),
    Router(usize, RouterEvent),
    Start(usize, VmId, OfferId),
    Step(usize, OfferId),
    Arrive(usize, usize),
    Fault(FleetFault),
}

/// A happening that is void once one of its ends has restarted.
struct Envelope {
    ends: [(VmId, u64); 2],
    happening: Happening,
}

struct Run {
    router: VmId,
    customer: usize,
    cost: u64,
    done: u64,
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

pub(crate) struct Fleet {
    plan: FleetPlan,
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Envelope>,
    rng: ChaCha8Rng,
    incarnations: BTreeMap<VmId, u64>,
    agents: Vec<AgentNode>,
    routers: Vec<RouterNode>,
    links: Vec<Vec<usize>>,
    /// Customer and cost of each request without an outcome.
    requests: BTreeMap<RequestId, (usize, u64)>,
    ran: BTreeSet<RequestId>,
    monitor: GapMonitor,
    /// When each backlogged customer last had service.
    served: BTreeMap<usize, u64>,
    busy: u64,
    running: u64,
    cut: bool,
    paused: BTreeSet<usize>,
    result: FleetResult,
}

impl Fleet {
    pub(crate) fn new(plan: FleetPlan) -> Fleet {
        let mut fleet = Fleet {
            now: 1,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            incarnations: BTreeMap::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            links: Vec::new(),
            requests: BTreeMap::new(),
            ran: BTreeSet::new(),
            monitor: GapMonitor::new(),
            served: BTreeMap::new(),
            busy: 0,
            running: 0,
            cut: false,
            paused: BTreeSet::new(),
            result: FleetResult::default(),
            plan,
        };
        for index in 0..fleet.plan.agents {
            let node = fleet.agent_node(index);
            fleet.agents.push(node);
        }
        for index in 0..fleet.plan.routers {
            let node = fleet.router_node(index);
            fleet.routers.push(node);
        }
        fleet.links = links(&fleet.plan);
        for customer in 0..fleet.plan.customers.len() {
            fleet.monitor.add_customer(customer_id(customer));
            fleet.served.insert(customer, 0);
        }
        for index in 0..fleet.plan.routers {
            fleet.join(index);
        }
        for (second, fault) in fleet.plan.faults.clone() {
            fleet.schedule(second * SECOND, Happening::Fault(fault));
        }
        fleet
    }

    /// Runs the plan to its end.
    pub(crate) fn run(mut self) -> FleetResult {
        let mut next_sample = SECOND;
        while let Some(((time, _), envelope)) = self.queue.pop_first() {
            if time > self.plan.seconds * SECOND {
                break;
            }
            self.busy += self.running * (time - self.now);
            self.now = time;
            if time >= next_sample {
                next_sample += SECOND;
                self.monitor.sample();
                let since = self.served.values().min().copied().unwrap_or(self.now);
                self.result.starved = self.result.starved.max((self.now - since) / SECOND);
            }
            let known = |(vm, incarnation): &(VmId, u64)| {
                *incarnation == 0 || self.incarnations.get(vm) == Some(incarnation)
            };
            if envelope.ends.iter().all(known) {
                self.happen(envelope.happening);
            }
        }
        self.monitor.sample();
        let bound = gap_bound(&self.plan.terms());
        let places = self.plan.agents as u64 * u64::from(self.plan.agent_policy.places);
        let shares: u64 = self.plan.customers.iter().map(|load| u64::from(load.share)).sum();
        self.result.utilisation = 100.0 * self.busy as f64 / (places * self.now) as f64;
        self.result.gap = self.monitor.max_gap().0 / NormalisedService::SCALE;
        self.result.bound = bound.0 / NormalisedService::SCALE;
        self.result.mean_service = self.busy * PLACE_RATE / SECOND / shares;
        self.result.violations.extend(self.monitor.violation(bound));
        self.result
    }

    fn agent_node(&mut self, index: usize) -> AgentNode {
        let incarnation = self.incarnate(agent_vm(index));
        let policy = self.plan.agent_policy.clone();
        let core = AgentCore::new(policy, agent_vm(index), incarnation, self.rng.random());
        AgentNode { core, runs: BTreeMap::new(), timer: None }
    }

    fn router_node(&mut self, index: usize) -> RouterNode {
        let incarnation = self.incarnate(router_vm(index));
        let policy = self.plan.router_policy.clone();
        let core = RouterCore::new(policy, router_vm(index), incarnation, self.rng.random());
        RouterNode { core, timer: None, sequence: 0 }
    }

    fn incarnate(&mut self, vm: VmId) -> ProcessIncarnation {
        let incarnation = self.rng.random_range(1..u64::MAX);
        self.incarnations.insert(vm, incarnation);
        ProcessIncarnation(incarnation)
    }

    /// Links a new router to its agents and peers and brings its customers.
    fn join(&mut self, index: usize) {
        for agent in self.links[index].clone() {
            self.link(index, agent);
        }
        let router = router_vm(index);
        for other in (0..self.plan.routers).filter(|other| *other != index) {
            if self.is_cut(router, router_vm(other)) {
                continue;
            }
            self.tell_router(other, RouterEvent::PeerLost { router });
            self.tell_router(other, RouterEvent::PeerJoined { router });
            self.tell_router(index, RouterEvent::PeerJoined { router: router_vm(other) });
        }
        for customer in 0..self.plan.customers.len() {
            if !self.plan.customers[customer].routers.contains(&index) {
                continue;
            }
            self.fill(customer, index);
        }
    }

    fn fill(&mut self, customer: usize, router: usize) {
        for _ in 0..self.plan.customers[customer].depth {
            let time = self.now + self.rng.random_range(0..SECOND / 10);
            self.schedule(time, Happening::Arrive(customer, router));
        }
    }

    fn link(&mut self, router: usize, agent: usize) {
        self.tell_agent(agent, AgentEvent::RouterJoined { router: router_vm(router) });
        let domain = DomainId(agent as u64 % DOMAINS);
        let joined = RouterEvent::AgentJoined { agent: agent_vm(agent), service: SERVICE, domain };
        self.tell_router(router, joined);
    }

    fn is_cut(&self, one: VmId, other: VmId) -> bool {
        self.cut && one.0 % 2 != other.0 % 2
    }

    fn schedule(&mut self, time: u64, happening: Happening) {
        self.enqueue(time, [(VmId(0), 0); 2], happening);
    }

    fn enqueue(&mut self, time: u64, ends: [(VmId, u64); 2], happening: Happening) {
        self.sequence += 1;
        self.queue.insert((time.max(self.now), self.sequence), Envelope { ends, happening });
    }

    fn ends(&self, from: VmId, to: VmId) -> [(VmId, u64); 2] {
        [from, to].map(|vm| (vm, self.incarnations.get(&vm).copied().unwrap_or(0)))
    }

    /// Sends a control message, which may be lost, doubled or overtaken.
    fn send(&mut self, from: VmId, to: VmId, length: usize, happening: &Happening) {
        self.result.messages += 1;
        self.result.bytes += length as u64;
        let mut copies = 1;
        let mut delay = self.rng.random_range(300..1_500);
        match self.rng.random_range(0..1_000) {
            roll if roll < self.plan.loss => copies = 0,
            roll if roll < 2 * self.plan.loss => copies = 2,
            roll if roll < 3 * self.plan.loss => delay *= 50,
            _ => {}
        }
        let ends = self.ends(from, to);
        for _ in 0..copies {
            self.enqueue(self.now + delay, ends, happening.clone());
        }
    }

    fn send_agent(&mut self, from: VmId, agent: VmId, event: AgentEvent) {
        let length = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
        if matches!(event, AgentEvent::TotalsReceived { .. }) {
            self.result.fairness_bytes += length as u64;
        }
        let index = (agent.0 - AGENT_BASE) as usize;
        self.send(from, agent, length, &Happening::Agent(index, event));
    }

    fn send_router(&mut self, from: VmId, router: VmId, event: RouterEvent) {
        if from.0 < AGENT_BASE && self.is_cut(from, router) {
            return;
        }
        let length = postcard::to_stdvec(&event).map_or(0, |bytes| bytes.len());
        if !matches!(event, RouterEvent::GrantReceived { .. } | RouterEvent::RoomAnnounced { .. }) {
            self.result.fairness_bytes += length as u64;
        }
        let index = (router.0 - ROUTER_BASE) as usize;
        self.send(from, router, length, &Happening::Router(index, event));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Agent(index, event) => self.tell_agent(index, event),
            Happening::Router(index, event) => self.tell_router(index, event),
            Happening::Start(agent, router, offer) => self.start(agent, router, offer),
            Happening::Step(agent, offer) => self.step(agent, offer),
            Happening::Arrive(customer, router) => self.arrive(customer, router),
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    fn tell_agent(&mut self, index: usize, event: AgentEvent) {
        let mut commands = Vec::new();
        let node = &mut self.agents[index];
        node.core.handle(MonotonicTime(self.now), event, &mut commands);
        let timer = node.core.next_timer();
        let agent = agent_vm(index);
        if timer != node.timer {
            node.timer = timer;
            if let Some(time) = timer {
                let ends = self.ends(agent, agent);
                self.enqueue(time.0, ends, Happening::Agent(index, AgentEvent::TimerFired));
            }
        }
        for command in commands {
            match command {
                AgentCommand::SendGrant { router, offer } => {
                    self.send_router(agent, router, RouterEvent::GrantReceived { agent, offer });
                }
                AgentCommand::SendReports { router, reports } => {
                    let event = RouterEvent::ReportsReceived { sender: agent, reports };
                    self.send_router(agent, router, event);
                }
                AgentCommand::AnnounceRoom { router, places } => {
                    self.send_router(agent, router, RouterEvent::RoomAnnounced { agent, places });
                }
                AgentCommand::ReportViolation { message } => self.result.violations.push(message),
                AgentCommand::AnnounceLeaving { .. } | AgentCommand::FinishDrain => {}
            }
        }
    }

    fn tell_router(&mut self, index: usize, event: RouterEvent) {
        let mut commands = Vec::new();
        let node = &mut self.routers[index];
        node.core.handle(MonotonicTime(self.now), event, &mut commands);
        let timer = node.core.next_timer();
        let vm = router_vm(index);
        if timer != node.timer {
            node.timer = timer;
            if let Some(time) = timer {
                let ends = self.ends(vm, vm);
                self.enqueue(time.0, ends, Happening::Router(index, RouterEvent::TimerFired));
            }
        }
        for command in commands {
            self.obey_router(index, command);
        }
    }

    fn obey_router(&mut self, index: usize, command: RouterCommand) {
        let router = router_vm(index);
        match command {
            RouterCommand::SendOffer { agent, offer } => {
                self.send_agent(router, agent, AgentEvent::OfferReceived { router, offer });
            }
            RouterCommand::SendWithdraw { agent, offer } => {
                self.send_agent(router, agent, AgentEvent::OfferWithdrawn { router, offer });
            }
            RouterCommand::SendDecline { agent, offer } => {
                self.send_agent(router, agent, AgentEvent::GrantDeclined { router, offer });
            }
            RouterCommand::SendTotals { agent, totals } => {
                self.send_agent(router, agent, AgentEvent::TotalsReceived { totals });
            }
            RouterCommand::ForwardReports { router: home, reports } => {
                let event = RouterEvent::ReportsReceived { sender: router, reports };
                self.send_router(router, home, event);
            }
            RouterCommand::ForwardTotals { router: via, agent, totals } => {
                self.send_router(router, via, RouterEvent::TotalsReceived { agent, totals });
            }
            RouterCommand::StartRun { agent, offer } => {
                let start = Happening::Start((agent.0 - AGENT_BASE) as usize, router, offer);
                self.enqueue(self.now + RUN_DELAY, self.ends(router, agent), start);
                if let (0, Some((customer, _))) = (offer.attempt, self.requests.get(&offer.request))
                {
                    self.schedule(self.now, Happening::Arrive(*customer, index));
                }
            }
            RouterCommand::Answer { request, kind, .. } => self.answer(index, request, kind),
            RouterCommand::ReportViolation { message } => self.result.violations.push(message),
        }
    }

    fn arrive(&mut self, customer: usize, router: usize) {
        if self.paused.contains(&customer) {
            return;
        }
        let load = &self.plan.customers[customer];
        let is_long = self.rng.random_bool(0.4);
        let mean = if is_long { 800.0 } else { 60.0 };
        let sample: f64 = self.rng.random_range(0.001_f64..1.0);
        let cost = ((-sample.ln() * mean) as u64).clamp(1, COST_MAX);
        let hint = match load.hint {
            HintError::Rough => cost * self.rng.random_range(50..200) / 100,
            HintError::Tenfold if self.rng.random_bool(0.5) => cost * 10,
            HintError::Tenfold => cost / 10,
            HintError::Low => 1,
        };
        let incarnation = ProcessIncarnation(self.incarnations[&router_vm(router)]);
        self.routers[router].sequence += 1;
        let id = RequestId { router: incarnation, sequence: self.routers[router].sequence };
        let request = ArrivedRequest {
            id,
            customer: customer_id(customer),
            share: CustomerShare(load.share),
            queue_limit: u32::MAX,
            service: SERVICE,
            class: if is_long { RequestClass::Long } else { RequestClass::Short },
            hint: WorkUnits(hint),
            prefix: 0,
            patience: Duration::from_secs(7_200),
        };
        self.requests.insert(id, (customer, cost));
        self.tell_router(router, RouterEvent::RequestArrived { request });
    }

    fn answer(&mut self, router: usize, request: RequestId, kind: ErrorKind) {
        let Some((customer, _)) = self.requests.remove(&request) else {
            self.result.violations.push(format!("request {request} was answered twice"));
            return;
        };
        if kind.outcome() == RequestOutcome::NotRun && self.ran.contains(&request) {
            self.result.violations.push(format!("request {request} ran in spite of {kind}"));
        }
        self.schedule(self.now + SECOND / 10, Happening::Arrive(customer, router));
    }

    fn start(&mut self, agent: usize, router: VmId, offer: OfferId) {
        if !self.agents[agent].core.holds_grant(router, offer) {
            let fault = RunFault::Refused(ErrorKind::NotReady);
            let event = RouterEvent::RunFailed { request: offer.request, fault, repeatable: true };
            self.end_run(agent, router, event);
            return;
        }
        let Some((customer, cost)) = self.requests.get(&offer.request).copied() else {
            self.result.violations.push(format!("answered request {} ran", offer.request));
            return;
        };
        self.ran.insert(offer.request);
        self.running += 1;
        let run = Run { router, customer, cost, done: 0, started: self.now };
        self.agents[agent].runs.insert(offer, run);
        self.tell_agent(agent, AgentEvent::RunStarted { offer });
        self.step(agent, offer);
    }

    /// Lets a run generate the tokens that are due.
    fn step(&mut self, agent: usize, offer: OfferId) {
        let now = self.now;
        let Some(run) = self.agents[agent].runs.get_mut(&offer) else {
            return;
        };
        let done = ((now - run.started) * PLACE_RATE / SECOND).min(run.cost);
        let share = CustomerShare(self.plan.customers[run.customer].share);
        let service = NormalisedService::from_units(WorkUnits(done - run.done), share);
        self.monitor.record_service(customer_id(run.customer), service);
        if done > run.done
            && let Some(served) = self.served.get_mut(&run.customer)
        {
            *served = now;
        }
        run.done = done;
        let units = WorkUnits(done);
        if done < run.cost {
            let end = run.started + (run.cost * SECOND).div_ceil(PLACE_RATE);
            let ends = self.ends(agent_vm(agent), agent_vm(agent));
            self.enqueue(end.min(now + STEP), ends, Happening::Step(agent, offer));
            self.tell_agent(agent, AgentEvent::RunProgressed { offer, units });
            return;
        }
        let router = run.router;
        self.agents[agent].runs.remove(&offer);
        self.requests.remove(&offer.request);
        self.running -= 1;
        self.tell_agent(agent, AgentEvent::RunEnded { offer, units });
        self.end_run(agent, router, RouterEvent::RunCompleted { request: offer.request, units });
    }

    fn end_run(&mut self, agent: usize, router: VmId, event: RouterEvent) {
        let ends = self.ends(agent_vm(agent), router);
        let index = (router.0 - ROUTER_BASE) as usize;
        self.enqueue(self.now + RUN_DELAY, ends, Happening::Router(index, event));
    }
}
