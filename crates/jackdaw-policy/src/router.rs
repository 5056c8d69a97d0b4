//! Router state machine: selects the agents that a request is offered to, assigns the run to one
//! of them and determines the answer to the caller.

pub mod account_home;
pub mod customer_queue;
pub mod retry_budget;

mod accounting;
mod dispatch;
mod lifecycle;

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

/// Agents that hold an offer of one request; stored inline for up to four agents.
type AgentList = SmallVec<[VmId; 4]>;

plain_data! {
    /// Parameters of the router state machine.
    #[serde(default)]
    pub struct RouterPolicy {
        /// Number of agents in the initial round of offers for a request.
        pub offers_per_request: u32,
        /// Maximum number of agents that hold offers of one request; agents that announce free
        /// places are exempt.
        pub offers_max: u32,
        /// Maximum number of offers of one customer and lane that an agent holds from this router.
        pub offers_per_agent: u32,
        /// Delay before a waiting request is offered to further agents, or offered again to an
        /// agent that holds it; doubles each time.
        pub widen_after: Duration,
        /// Upper limit of the delay that starts at `widen_after`.
        pub widen_after_max: Duration,
        /// Time during which a request is offered only to the agent that likely caches its prefix.
        pub affinity_wait: Duration,
        /// Load above the mean, in percent of the mean, beyond which an agent is not preferred
        /// for its cached prefix.
        pub affinity_slack_percent: u32,
        /// Time without a linked agent of the service after which a waiting request is failed.
        pub no_agent_timeout: Duration,
        /// Maximum number of attempts at one request.
        pub max_attempts: u32,
        /// Number of target crashes during one request after which it is not retried.
        pub max_crashes: u32,
        /// Retries that each request adds to the retry budget, in percent of one retry.
        pub retry_percent: u32,
        /// Capacity of the retry budget, in retries.
        pub retry_reserve: u32,
        /// Mean delay before a retry, jittered by up to 50 percent; doubles while the retry budget
        /// is empty.
        pub retry_backoff: Duration,
        /// Interval at which account homes send totals.
        pub totals_interval: Duration,
        /// Number of routers that serve as account homes.
        pub home_routers: u32,
        /// Time limits of account homes.
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
    /// Stage of a request in the router.
    pub enum RequestStage {
        /// Queued, waiting for an agent to grant an offer.
        Waiting,
        /// Waiting for the delay before a retry.
        Paused,
        /// Sent to an agent.
        Running,
    }
}

plain_data! {
    copy
    /// Action to take when a request's timer expires.
    enum TimerKind {
        Deadline,
        Widen,
        Retry,
    }
}

plain_data! {
    /// Snapshot of the queue of one customer and service.
    pub struct RouterQueue {
        /// Service that the requests are for.
        pub service: ServiceId,
        /// Customer that sent the requests.
        pub customer: CustomerId,
        /// Number of requests for which at least one agent holds an offer.
        pub offered: u32,
        /// Number of requests for which no agent holds an offer.
        pub unoffered: u32,
    }
}

plain_data! {
    /// Snapshot of a linked agent.
    pub struct RouterAgent {
        /// VM of the agent.
        pub agent: VmId,
        /// Service of its target.
        pub service: ServiceId,
        /// Failure domain of its VM.
        pub domain: DomainId,
        /// Number of offers that it holds from this router.
        pub offers: u32,
        /// Number of requests from this router that it is running.
        pub running: u32,
        /// Whether it is shutting down and grants no further offers.
        pub leaving: bool,
    }
}

plain_data! {
    /// Snapshot of an account for which this router is the account home.
    pub struct RouterAccount {
        /// Customer that the account belongs to.
        pub customer: CustomerId,
        /// Service received across the whole fleet, divided by share.
        pub total: NormalisedService,
    }
}

plain_data! {
    /// Snapshot of the router state machine.
    pub struct RouterSnapshot {
        /// VM of the router.
        pub vm: VmId,
        /// Incarnation of the router process.
        pub incarnation: ProcessIncarnation,
        /// Number of requests that wait for a grant or a retry.
        pub waiting: u32,
        /// Number of requests that are running.
        pub running: u32,
        /// Number of whole retries available in the retry budget.
        pub retries_left: u64,
        /// Whether the router is draining and rejects new requests.
        pub draining: bool,
        /// Routers with an open link.
        pub peers: Vec<VmId>,
        /// Agents with an open link.
        pub agents: Vec<RouterAgent>,
        /// Non-empty customer queues, one per service and customer.
        pub queues: Vec<RouterQueue>,
        /// Accounts for which this router is the account home.
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
    /// Attempts that an agent refused before they reached the target.
    refusals: u32,
    deadline: MonotonicTime,
    /// Time of the next widening or retry.
    timer: Option<(MonotonicTime, TimerKind)>,
    delay: Duration,
    holders: AgentList,
    runner: Option<VmId>,
    /// Whether the request may have reached a target.
    may_have_run: bool,
    arrived_at: MonotonicTime,
}

#[derive(Debug, Clone)]
struct AgentLink {
    service: ServiceId,
    domain: DomainId,
    offers: u32,
    running: u32,
    leaving: bool,
}

/// Agents and customer queues of one service.
#[derive(Debug, Clone, Default)]
struct ServicePool {
    agents: Vec<VmId>,
    queues: BTreeMap<CustomerId, CustomerQueue>,
    /// Last customer whose request was offered to fill free places (round-robin cursor).
    cursor: Option<CustomerId>,
    load: u32,
    /// Time since which `agents` is empty; meaningful only while it is.
    empty_since: MonotonicTime,
}

/// State machine of a router.
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
    /// Creates a router without links, requests or accounts.
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

    /// Processes an event and appends the resulting commands.
    ///
    /// After [`RouterEvent::AgentLost`], the daemon must send [`RouterEvent::RunFailed`] for each
    /// run that was interrupted by the loss of the link.
    pub fn handle(
        &mut self,
        now: MonotonicTime,
        event: RouterEvent,
        commands: &mut Vec<RouterCommand>,
    ) {
        match event {
            RouterEvent::RequestArrived { request } => self.admit_request(now, request, commands),
            RouterEvent::RequestCancelled { request } => {
                self.cancel_request(now, request, commands);
            }
            RouterEvent::AgentJoined { agent, service, domain } => {
                self.add_agent(now, agent, service, domain, commands);
            }
            RouterEvent::AgentLost { agent } => self.remove_agent(now, agent, commands),
            RouterEvent::AgentLeaving { agent } => self.retire_agent(now, agent, commands),
            RouterEvent::RoomAnnounced { agent, places } => {
                self.fill_places(now, agent, places, commands);
            }
            RouterEvent::GrantReceived { agent, offer } => {
                self.handle_grant(now, agent, offer, commands);
            }
            RouterEvent::RunCompleted { request, units } => {
                self.complete_run(request, units, commands);
            }
            RouterEvent::RunFailed { request, fault, repeatable } => {
                self.fail_run(now, request, fault, repeatable, commands);
            }
            RouterEvent::ReportsReceived { sender, reports } => {
                self.route_reports(now, sender, reports, commands);
            }
            RouterEvent::TotalsReceived { agent, totals } => {
                if self.agents.contains_key(&agent) {
                    commands.push(RouterCommand::SendTotals { agent, totals });
                }
            }
            RouterEvent::PeerJoined { router } => self.add_peer(router),
            RouterEvent::PeerLost { router } => self.remove_peer(router),
            RouterEvent::DrainStarted => self.draining = true,
            RouterEvent::TimerFired => {}
        }
        self.fire_timers(now, commands);
        self.send_totals(now, commands);
    }

    /// Returns the time at which [`RouterEvent::TimerFired`] is due, or `None` if no timer is set.
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        let timer = self.timers.first().map(|(time, _, _)| *time);
        if self.accounts.is_empty() {
            return timer;
        }
        Some(timer.map_or(self.next_totals, |time| time.min(self.next_totals)))
    }

    /// Returns whether no request is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns a snapshot of the state for the diagnostic dump.
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
            retries_left: self.budget.available(),
            draining: self.draining,
            peers: self.peers.clone(),
            agents: agents.collect(),
            queues,
            accounts: accounts.map(|(customer, total)| RouterAccount { customer, total }).collect(),
        }
    }
}
