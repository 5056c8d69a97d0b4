//! Actor that owns the router state machine and executes its commands.

mod handler;
mod message;
mod peer_links;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, AsyncContext, Context};
use jackdaw_base::{
    CrashEvidence, CustomerId, ErrorKind, MonotonicTime, OfferId, ProcessIncarnation, RequestClass,
    RequestId, ServiceId, VmId,
};
use jackdaw_link::{ControlMessage, RunRequest};
use jackdaw_objects::ConfigCatalog;
use jackdaw_policy::{
    ArrivedRequest, CrashSuspects, RouterCommand, RouterCore, RouterEvent, RunFault, SuspectStatus,
};
use jackdaw_telemetry::{Readiness, SharedReadiness};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::caller_server::ResponsePart;
use crate::catalog_watch::CatalogWatch;
use crate::membership::LinkTable;
use crate::metrics::RouterMetrics;
use crate::request_parser::{CallerRequest, ServiceSelector};
use crate::run::{RunEnd, RunTask, execute_run};

pub use self::message::{
    AdmitRequest, ApplyUpdate, CancelRequest, DrainRouter, DumpRouter, FinishRun, FleetStatus,
    HasLink, LinkInput, ReadControlBytes, ReadReadiness, ReadStatus,
};

/// Minimum delay before the next timer event of the state machine.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(10);

/// Maximum delay before the next timer event, also used if the state machine asks for none.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a router sends the digest of its configuration to some of its peers.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Owner of the state machine, the configuration, the links and the requests in progress.
pub struct DecisionActor {
    /// Router state machine.
    core: RouterCore,
    /// Origin of the monotonic time that is passed to the state machine.
    start: Instant,
    /// Incarnation of this process.
    incarnation: ProcessIncarnation,
    /// Sequence number of the next request.
    next_sequence: u64,
    /// Configuration documents.
    catalog: ConfigCatalog,
    /// Links to agents and other routers.
    links: LinkTable,
    /// Evidence of requests that crash targets.
    suspects: CrashSuspects,
    /// Requests in progress.
    requests: HashMap<RequestId, OpenRequest>,
    /// Time within which a run must start if the caller does not state one.
    default_patience: Duration,
    /// Buffer for the commands of an event, kept to reuse its allocation.
    commands: Vec<RouterCommand>,
    /// Channel that signals the end of the drain, once a drain was requested.
    drain_done: Option<oneshot::Sender<()>>,
    /// Readiness of the process.
    readiness: SharedReadiness,
    /// Metrics of the router.
    metrics: RouterMetrics,
    /// Watch on the platform's configuration.
    watch: CatalogWatch,
    /// Random number generator that selects peers.
    rng: ChaCha8Rng,
}

/// Components from which the actor is created.
pub struct ActorComponents {
    /// Router state machine.
    pub core: RouterCore,
    /// Incarnation of this process.
    pub incarnation: ProcessIncarnation,
    /// Links to agents and other routers.
    pub links: LinkTable,
    /// Time within which a run must start if the caller does not state one.
    pub default_patience: Duration,
    /// Readiness of the process.
    pub readiness: SharedReadiness,
    /// Metrics of the router.
    pub metrics: RouterMetrics,
    /// Watch on the platform's configuration.
    pub watch: CatalogWatch,
    /// Seed of the random number generator that selects peers.
    pub seed: u64,
}

/// Request in progress.
struct OpenRequest {
    /// Message to the agent that runs the request.
    run_request: RunRequest,
    /// Channel to the caller's response.
    sender: mpsc::Sender<ResponsePart>,
    /// Whether the response head was sent to the caller.
    head_sent: bool,
    /// Whether the request may run more than once.
    is_idempotent: bool,
    /// VM of the agent that executes the current run.
    current_agent: Option<VmId>,
}

impl DecisionActor {
    /// Creates the actor from its components.
    pub fn new(components: ActorComponents) -> DecisionActor {
        DecisionActor {
            core: components.core,
            start: Instant::now(),
            incarnation: components.incarnation,
            next_sequence: 0,
            catalog: ConfigCatalog::new(),
            links: components.links,
            suspects: CrashSuspects::default(),
            requests: HashMap::new(),
            default_patience: components.default_patience,
            commands: Vec::new(),
            drain_done: None,
            readiness: components.readiness,
            metrics: components.metrics,
            watch: components.watch,
            rng: ChaCha8Rng::seed_from_u64(components.seed),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed().as_micros() as u64)
    }

    /// Schedules the next timer event at the time that the state machine asks for, within limits.
    fn schedule_timer(&self, context: &mut Context<DecisionActor>) {
        let delay = match self.core.next_timer() {
            Some(time) => time.since(self.now()).clamp(MIN_TIMER_DELAY, MAX_TIMER_DELAY),
            None => MAX_TIMER_DELAY,
        };
        context.run_later(delay, |actor, context| {
            actor.process_event(RouterEvent::TimerFired, context);
            actor.schedule_timer(context);
        });
    }

    fn process_event(&mut self, event: RouterEvent, context: &Context<DecisionActor>) {
        let now = self.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.core.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute_command(command, context);
        }
        self.commands = commands;
    }

    fn execute_command(&mut self, command: RouterCommand, context: &Context<DecisionActor>) {
        match command {
            RouterCommand::SendOffer { agent, offer } => {
                self.metrics.count_offer();
                self.links.send(agent, ControlMessage::Offer(offer));
            }
            RouterCommand::SendWithdraw { agent, offer } => {
                self.links.send(agent, ControlMessage::Withdraw(offer));
            }
            RouterCommand::SendDecline { agent, offer } => {
                self.links.send(agent, ControlMessage::Decline(offer));
            }
            RouterCommand::StartRun { agent, offer } => self.start_run(agent, offer, context),
            RouterCommand::Answer { request, kind, retry_after } => {
                self.fail_request(request, kind, retry_after);
            }
            RouterCommand::ForwardReports { router, reports } => {
                self.links.send(router, ControlMessage::Reports(reports));
            }
            RouterCommand::SendTotals { agent, totals } => {
                self.links.send(agent, ControlMessage::Totals(totals));
            }
            RouterCommand::ForwardTotals { router, agent, totals } => {
                self.links.send(router, ControlMessage::RelayedTotals { agent, totals });
            }
            RouterCommand::ReportViolation { message } => {
                self.metrics.count_violation();
                log::error!("invariant violated: {message}");
            }
        }
    }

    fn admit_request(
        &mut self,
        caller_request: CallerRequest,
        sender: mpsc::Sender<ResponsePart>,
        context: &Context<DecisionActor>,
    ) -> Result<(), ErrorKind> {
        if self.readiness.get() != Readiness::Ready {
            return Err(ErrorKind::NotReady);
        }
        let Some((customer, record)) = self.catalog.customer_by_key(&caller_request.key_digest)
        else {
            return Err(ErrorKind::Unauthorized);
        };
        let Some(service) = find_service(&self.catalog, &caller_request) else {
            return Err(ErrorKind::NotFound);
        };
        let fingerprint = fingerprint(customer, &caller_request);
        if self.suspects.status(self.now(), fingerprint) == SuspectStatus::Refused {
            self.metrics.count_failed(ErrorKind::Quarantined);
            return Err(ErrorKind::Quarantined);
        }
        let id = RequestId { router: self.incarnation, sequence: self.next_sequence };
        let request = ArrivedRequest {
            id,
            customer,
            share: record.share,
            queue_limit: record.queue_limit,
            service,
            class: caller_request.class,
            hint: caller_request.hint,
            prefix: caller_request.prefix,
            patience: caller_request.patience.unwrap_or(self.default_patience),
        };
        self.next_sequence += 1;
        cancel_on_disconnect(id, &sender, context.address());
        let open = OpenRequest {
            is_idempotent: caller_request.class != RequestClass::Recording,
            run_request: build_run_request(id, caller_request, fingerprint),
            sender,
            head_sent: false,
            current_agent: None,
        };
        self.requests.insert(id, open);
        self.process_event(RouterEvent::RequestArrived { request }, context);
        Ok(())
    }

    fn start_run(&mut self, agent: VmId, offer: OfferId, context: &Context<DecisionActor>) {
        let now = self.now();
        let link = self.links.get(agent).cloned();
        let (Some(open), Some(link)) = (self.requests.get_mut(&offer.request), link) else {
            // The state machine learns of the lost link or cancelled request by a separate event.
            log::warn!(
                "cannot start run of request {}: link lost or request cancelled",
                offer.request
            );
            return;
        };
        open.run_request.offer = offer;
        open.current_agent = Some(agent);
        let status = self.suspects.status(now, open.run_request.fingerprint);
        if status == SuspectStatus::Refused {
            self.links.send(agent, ControlMessage::Decline(offer));
            let end = RunEnd::Failed(RunFault::Refused(ErrorKind::Quarantined));
            context.address().do_send(FinishRun {
                id: offer.request,
                attempt: offer.attempt,
                end,
                delivered_events: open.run_request.resume_from,
                head_sent: open.head_sent,
            });
            return;
        }
        self.metrics.count_run_start();
        let task = RunTask {
            id: offer.request,
            request: open.run_request.clone(),
            link,
            sender: open.sender.clone(),
            head_sent: open.head_sent,
        };
        actix_rt::spawn(execute_run(task, context.address()));
    }

    fn finish_run(&mut self, finish: &FinishRun, context: &Context<DecisionActor>) {
        let request = finish.id;
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.run_request.offer.attempt != finish.attempt {
            return;
        }
        open.head_sent = finish.head_sent;
        open.run_request.resume_from = finish.delivered_events;
        let fingerprint = open.run_request.fingerprint;
        let agent = open.current_agent.take();
        match &finish.end {
            RunEnd::Completed(_) => {
                self.record_own_evidence(CrashEvidence { fingerprint, target: None });
            }
            RunEnd::Failed(RunFault::TargetCrashed) if agent.is_some() => {
                self.record_own_evidence(CrashEvidence { fingerprint, target: agent });
            }
            RunEnd::Failed(_) | RunEnd::Abandoned => {}
        }
        let is_refused = self.suspects.status(self.now(), fingerprint) == SuspectStatus::Refused;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let event = match &finish.end {
            RunEnd::Completed(units) => {
                self.requests.remove(&request);
                self.metrics.count_completed();
                RouterEvent::RunCompleted { request, units: *units }
            }
            RunEnd::Abandoned => {
                self.requests.remove(&request);
                RouterEvent::RequestCancelled { request }
            }
            RunEnd::Failed(fault) => {
                let repeatable = (open.is_idempotent && !is_refused)
                    || matches!(fault, RunFault::Refused(kind) if kind.is_retryable());
                // Only the evidence decides whether the request crashes targets: one target that
                // goes down may interrupt two attempts.
                let fault = match fault {
                    RunFault::TargetCrashed if !is_refused => RunFault::Interrupted,
                    fault => *fault,
                };
                RouterEvent::RunFailed { request, fault, repeatable }
            }
        };
        self.process_event(event, context);
        self.complete_drain_if_idle();
    }

    /// Records evidence from a run of this router and sends new evidence to all linked routers and
    /// agents.
    fn record_own_evidence(&mut self, evidence: CrashEvidence) {
        if !self.suspects.record(self.now(), evidence) {
            return;
        }
        for vm in self.links.routers().into_iter().chain(self.links.agents()) {
            self.links.send(vm, ControlMessage::CrashEvidence(evidence));
        }
    }

    /// Records evidence from another router and sends new evidence to the linked agents.
    fn record_peer_evidence(&mut self, evidence: CrashEvidence) {
        if !self.suspects.record(self.now(), evidence) {
            return;
        }
        for agent in self.links.agents() {
            self.links.send(agent, ControlMessage::CrashEvidence(evidence));
        }
    }

    fn fail_request(&mut self, request: RequestId, kind: ErrorKind, retry_after: Duration) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.metrics.count_failed(kind);
        let part = ResponsePart::Failure { kind, retry_after };
        if let Err(mpsc::error::TrySendError::Full(part)) = open.sender.try_send(part) {
            // The caller has not yet read the earlier parts of the response.
            actix_rt::spawn(async move { open.sender.send(part).await });
        }
        self.complete_drain_if_idle();
    }

    fn complete_drain_if_idle(&mut self) {
        if self.readiness.get() != Readiness::Leaving || !self.requests.is_empty() {
            return;
        }
        if let Some(sender) = self.drain_done.take() {
            // The send fails if the receiver no longer waits, which needs no action.
            let _ = sender.send(());
        }
    }
}

impl Actor for DecisionActor {
    type Context = Context<DecisionActor>;

    fn started(&mut self, context: &mut Context<DecisionActor>) {
        context.set_mailbox_capacity(4096);
        self.schedule_timer(context);
        self.update_watch(context);
        context.run_interval(DIGEST_INTERVAL, |actor, context| {
            actor.send_digests();
            actor.update_watch(context);
        });
    }
}

/// Returns the service that processes a request.
fn find_service(catalog: &ConfigCatalog, request: &CallerRequest) -> Option<ServiceId> {
    let found = match &request.selector {
        ServiceSelector::Model(model) => catalog.service_by_model(model),
        ServiceSelector::Path => catalog.service_by_path(&request.path),
    };
    let (service, _) = found?;
    Some(service)
}

/// Returns the hash of customer, path and body by which a repeated request is recognized.
fn fingerprint(customer: CustomerId, request: &CallerRequest) -> u64 {
    let seed = xxh3_64(request.path.as_bytes()) ^ customer.0;
    xxh3_64_with_seed(&request.body, seed)
}

/// Builds the message to the agent; the offer is replaced by the granted one before each run.
fn build_run_request(id: RequestId, request: CallerRequest, fingerprint: u64) -> RunRequest {
    RunRequest {
        offer: OfferId { request: id, attempt: 0 },
        method: request.method,
        path: request.path,
        headers: request.headers,
        idempotency_key: request.idempotency_key,
        fingerprint,
        resume_from: 0,
        body: request.body,
    }
}

/// Cancels the request when its caller disconnects.
fn cancel_on_disconnect(
    id: RequestId,
    sender: &mpsc::Sender<ResponsePart>,
    actor: Addr<DecisionActor>,
) {
    let sender = sender.clone();
    actix_rt::spawn(async move {
        sender.closed().await;
        actor.do_send(CancelRequest { id });
    });
}
