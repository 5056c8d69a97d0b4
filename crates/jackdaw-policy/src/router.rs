//! The router's decisions: where a request is offered, who runs it, what its caller is told.

pub mod account_home;
pub mod customer_queue;
pub mod retry_budget;

mod dispatch;
mod outcome;
mod relay;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{
    CustomerId, DomainId, MonotonicTime, NormalisedService, ProcessIncarnation, RequestId,
    ServiceId, VmId, WorkUnits, plain_data,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::estimate::CostEstimator;
use crate::event::{ArrivedRequest, RouterCommand, RouterEvent};
use account_home::{AccountHome, HomeSpans};
use customer_queue::CustomerQueue;
use retry_budget::RetryBudget;

/// Agents that hold an offer of one request; few enough to need no allocation.
type AgentList = SmallVec<[VmId; 4]>;

plain_data! {
    /// Parameters of a router's decisions.
    #[serde(default)]
    pub struct RouterPolicy {
        /// The agents that a request is offered to at first.
        pub offers_per_request: u32,
        /// The agents that hold offers of one request at most, unless they ask for work.
        pub offers_max: u32,
        /// The offers of one customer and kind that one agent may hold from this router.
        pub offers_per_agent: u32,
        /// The time after which a waiting request is offered to a further agent, or once more
        /// to one that holds it; it doubles with each.
        pub widen_after: Duration,
        /// The longest time between two such offers.
        pub widen_after_max: Duration,
        /// The time for which only the agent that holds a request's prefix is asked.
        pub affinity_wait: Duration,
        /// The load above the mean at which an agent is passed over in spite of a cached
        /// prefix, in percent of the mean.
        pub affinity_slack_percent: u32,
        /// The time after which a request is answered if no agent of its service is linked.
        pub no_agent_timeout: Duration,
        /// The most attempts at one request.
        pub max_attempts: u32,
        /// The most targets that one request may have crashed before it is given up.
        pub max_crashes: u32,
        /// The retries that each request earns, in percent.
        pub retry_percent: u32,
        /// The most retries that are saved up.
        pub retry_reserve: u32,
        /// The pause before the first retry; it doubles with each.
        pub retry_backoff: Duration,
        /// The time between two rounds of totals from account homes.
        pub totals_interval: Duration,
        /// The number of routers that keep account homes.
        pub home_routers: u32,
        /// The time spans of account homes.
        pub home_spans: HomeSpans,
    }
}

impl Default for RouterPolicy {
    fn default() -> RouterPolicy {
        RouterPolicy {
            offers_per_request: 3,
            offers_max: 6,
            offers_per_agent: 4,
            widen_after: Duration::from_millis(100),
            widen_after_max: Duration::from_secs(30),
            affinity_wait: Duration::from_millis(20),
            affinity_slack_percent: 25,
            no_agent_timeout: Duration::from_secs(2),
            max_attempts: 4,
            max_crashes: 2,
            retry_percent: 20,
            retry_reserve: 100,
            retry_backoff: Duration::from_millis(20),
            totals_interval: Duration::from_millis(250),
            home_routers: 200,
            home_spans: HomeSpans::default(),
        }
    }
}

plain_data! {
    copy
    /// Stage of a request at a router.
    pub enum RequestStage {
        /// It waits for an agent's grant.
        Waiting,
        /// It waits until it may be tried again.
        Paused,
        /// It was sent to an agent.
        Running,
    }
}

plain_data! {
    copy
    /// What a timer of a request is for.
    enum TimerKind {
        Deadline,
        Widen,
        Retry,
    }
}

plain_data! {
    /// What a router shows of one customer's queue.
    pub struct RouterQueue {
        /// The service.
        pub service: ServiceId,
        /// The customer.
        pub customer: CustomerId,
        /// The requests that some agent holds an offer of.
        pub offered: u32,
        /// The requests that no agent holds an offer of.
        pub unoffered: u32,
    }
}

plain_data! {
    /// What a router shows of an agent.
    pub struct RouterAgent {
        /// The agent.
        pub agent: VmId,
        /// Its service.
        pub service: ServiceId,
        /// Its failure domain.
        pub domain: DomainId,
        /// The offers that it holds from this router.
        pub offers: u32,
        /// The requests of this router that it runs.
        pub running: u32,
        /// Whether it grants nothing more.
        pub leaving: bool,
    }
}

plain_data! {
    /// Total of a customer whose account home the router keeps.
    pub struct RouterAccount {
        /// The customer.
        pub customer: CustomerId,
        /// The fleet-wide total.
        pub total: NormalisedService,
    }
}

plain_data! {
    /// State of a router's decisions.
    pub struct RouterSnapshot {
        /// The router's VM.
        pub vm: VmId,
        /// The router's incarnation.
        pub incarnation: ProcessIncarnation,
        /// The requests that wait.
        pub waiting: u32,
        /// The requests that run.
        pub running: u32,
        /// The whole retries that the budget allows.
        pub retries_left: u64,
        /// Whether the router is leaving.
        pub draining: bool,
        /// The routers with an open link.
        pub peers: Vec<VmId>,
        /// The agents with an open link.
        pub agents: Vec<RouterAgent>,
        /// The queues that are not empty.
        pub queues: Vec<RouterQueue>,
        /// The accounts that are kept here.
        pub accounts: Vec<RouterAccount>,
    }
}

#[derive(Debug, Clone)]
struct RequestEntry {
    request: ArrivedRequest,
    estimate: WorkUnits,
    stage: RequestStage,
    attempt: u32,
    crashes: u32,
    /// The attempts that an agent refused before the target saw them.
    refusals: u32,
    deadline: MonotonicTime,
    /// The next widening or retry.
    timer: Option<(MonotonicTime, TimerKind)>,
    pause: Duration,
    holders: AgentList,
    runner: Option<VmId>,
    /// Whether some target may have seen the request.
    may_have_run: bool,
    arrived: MonotonicTime,
}

#[derive(Debug, Clone)]
struct AgentLink {
    service: ServiceId,
    domain: DomainId,
    offers: u32,
    running: u32,
    leaving: bool,
}

/// Agents and waiting customers of a service.
#[derive(Debug, Clone, Default)]
struct ServicePool {
    agents: Vec<VmId>,
    queues: BTreeMap<CustomerId, CustomerQueue>,
    /// The customer after which the next room is filled.
    cursor: Option<CustomerId>,
    load: u32,
    /// The time since which no agent is linked.
    empty_since: MonotonicTime,
}

/// The router's state machine.
#[derive(Debug, Clone)]
pub struct RouterCore {
    policy: RouterPolicy,
    vm: VmId,
    incarnation: ProcessIncarnation,
    rng: ChaCha8Rng,
    requests: BTreeMap<RequestId, RequestEntry>,
    waiting: BTreeMap<CustomerId, u32>,
    agents: BTreeMap<VmId, AgentLink>,
    services: BTreeMap<ServiceId, ServicePool>,
    timers: BTreeSet<(MonotonicTime, RequestId, TimerKind)>,
    estimator: CostEstimator,
    budget: RetryBudget,
    peers: Vec<VmId>,
    homes: Vec<VmId>,
    accounts: AccountHome,
    next_totals: MonotonicTime,
    draining: bool,
}

impl RouterCore {
    /// Creates the state of a router that knows nobody.
    pub fn new(
        policy: RouterPolicy,
        vm: VmId,
        incarnation: ProcessIncarnation,
        seed: u64,
    ) -> RouterCore {
        RouterCore {
            vm,
            incarnation,
            rng: ChaCha8Rng::seed_from_u64(seed),
            requests: BTreeMap::new(),
            waiting: BTreeMap::new(),
            agents: BTreeMap::new(),
            services: BTreeMap::new(),
            timers: BTreeSet::new(),
            estimator: CostEstimator::default(),
            budget: RetryBudget::new(policy.retry_percent, policy.retry_reserve),
            peers: Vec::new(),
            homes: vec![vm],
            accounts: AccountHome::new(policy.home_spans),
            next_totals: MonotonicTime::default(),
            draining: false,
            policy,
        }
    }

    /// Takes in an event and appends what is to be done.
    ///
    /// After [`RouterEvent::AgentLost`] the daemon reports each run that broke with the link by
    /// [`RouterEvent::RunFailed`].
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match event {
            RouterEvent::RequestArrived { request } => self.take_request(now, request, commands),
            RouterEvent::RequestCancelled { request } => self.cancel(now, request, commands),
            RouterEvent::AgentJoined { agent, service, domain } => {
                self.join_agent(now, agent, service, domain, commands);
            }
            RouterEvent::AgentLost { agent } => self.lose_agent(now, agent, commands),
            RouterEvent::AgentLeaving { agent } => self.retire_agent(now, agent, commands),
            RouterEvent::RoomAnnounced { agent, places } => {
                self.fill_room(now, agent, places, commands);
            }
            RouterEvent::GrantReceived { agent, offer } => {
                self.take_grant(now, agent, offer, commands);
            }
            RouterEvent::RunCompleted { request, units } => {
                self.complete_run(request, units, commands);
            }
            RouterEvent::RunFailed { request, fault, repeatable } => {
                self.fail_run(now, request, fault, repeatable, commands);
            }
            RouterEvent::ReportsReceived { sender, reports } => {
                self.take_reports(now, sender, reports, commands);
            }
            RouterEvent::TotalsReceived { agent, totals } => {
                if self.agents.contains_key(&agent) {
                    commands.push(RouterCommand::SendTotals { agent, totals });
                }
            }
            RouterEvent::PeerJoined { router } => self.join_peer(router),
            RouterEvent::PeerLost { router } => self.lose_peer(router),
            RouterEvent::DrainStarted => self.draining = true,
            RouterEvent::TimerFired => {}
        }
        self.fire_timers(now, commands);
        self.send_totals(now, commands);
    }

    /// Returns when [`RouterEvent::TimerFired`] is due; `None` while nothing is.
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        let timer = self.timers.first().map(|(time, _, _)| *time);
        if self.accounts.is_empty() {
            return timer;
        }
        Some(timer.map_or(self.next_totals, |time| time.min(self.next_totals)))
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the state for a dump.
    pub fn snapshot(&self) -> RouterSnapshot {
        let mut queues = Vec::new();
        for (service, pool) in &self.services {
            for (customer, queue) in &pool.queues {
                let offered = queue.lanes.iter().map(|lane| lane.offered.len()).sum::<usize>();
                queues.push(RouterQueue {
                    service: *service,
                    customer: *customer,
                    offered: offered as u32,
                    unoffered: (queue.waiting() - offered) as u32,
                });
            }
        }
        let agents = self.agents.iter().map(|(agent, link)| RouterAgent {
            agent: *agent,
            service: link.service,
            domain: link.domain,
            offers: link.offers,
            running: link.running,
            leaving: link.leaving,
        });
        let accounts = self.accounts.totals().into_iter();
        let running = self.requests.values().filter(|entry| entry.runner.is_some()).count();
        RouterSnapshot {
            vm: self.vm,
            incarnation: self.incarnation,
            waiting: (self.requests.len() - running) as u32,
            running: running as u32,
            retries_left: self.budget.left(),
            draining: self.draining,
            peers: self.peers.clone(),
            agents: agents.collect(),
            queues,
            accounts: accounts.map(|(customer, total)| RouterAccount { customer, total }).collect(),
        }
    }
}
