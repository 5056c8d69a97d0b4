//! The actor that owns the decision code and turns its commands into messages.

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
use jackdaw_telemetry::{Readiness, ReadyFlag};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::call_reader::{CallTarget, IncomingCall};
use crate::caller_server::AnswerPart;
use crate::catalog_watch::CatalogWatch;
use crate::membership::LinkBook;
use crate::metrics::RouterMetrics;
use crate::run::{RunEnd, RunTask, carry_run};

pub use self::message::{
    AdmitCall, CancelCall, DrainRouter, DumpRouter, FleetStatus, HasLink, LearnUpdate, LinkInput,
    ReadReadiness, ReadStatus, ReadTraffic, RunOver,
};

/// The shortest wait until the decision code learns that time has passed.
const TIMER_WAIT_MIN: Duration = Duration::from_millis(10);

/// The longest such wait, where the decision code expects nothing earlier.
const TIMER_WAIT_MAX: Duration = Duration::from_millis(50);

/// The period at which routers compare what configuration they hold.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// Owner of the decision code, the configuration, the links and the waiting requests.
pub struct DecisionActor {
    /// The decision code.
    core: RouterCore,
    /// The moment that counts as zero.
    start: Instant,
    /// The incarnation of this router.
    incarnation: ProcessIncarnation,
    /// The next request's sequence number.
    sequence: u64,
    /// The configuration.
    catalog: ConfigCatalog,
    /// The links to agents and other routers.
    links: LinkBook,
    /// The evidence against requests that crash targets.
    suspects: CrashSuspects,
    /// The requests that have no final answer yet.
    requests: HashMap<RequestId, OpenRequest>,
    /// The time within which a run is to start where the caller names none.
    default_patience: Duration,
    /// The commands of the event at hand.
    commands: Vec<RouterCommand>,
    /// The one that waits for the end of the drain.
    drained: Option<oneshot::Sender<()>>,
    /// The stage of the process's life.
    ready: ReadyFlag,
    /// The metrics.
    metrics: RouterMetrics,
    /// The watch on the platform's configuration.
    watch: CatalogWatch,
    /// The randomness of the choice of peers.
    rng: ChaCha8Rng,
}

/// What the actor is made of.
pub struct ActorParts {
    /// The decision code.
    pub core: RouterCore,
    /// The incarnation of this router.
    pub incarnation: ProcessIncarnation,
    /// The links to agents and other routers.
    pub links: LinkBook,
    /// The time within which a run is to start where the caller names none.
    pub default_patience: Duration,
    /// The stage of the process's life.
    pub ready: ReadyFlag,
    /// The metrics.
    pub metrics: RouterMetrics,
    /// The watch on the platform's configuration.
    pub watch: CatalogWatch,
    /// The seed of the choice of peers.
    pub seed: u64,
}

/// A request that has no final answer yet.
struct OpenRequest {
    /// The message to the agent that will run it.
    run: RunRequest,
    /// The way to the caller.
    sender: mpsc::Sender<AnswerPart>,
    /// Whether the caller has the head of the answer.
    head_sent: bool,
    /// Whether the request may run more than once.
    is_idempotent: bool,
    /// The agent of the present run.
    runner: Option<VmId>,
}

impl DecisionActor {
    /// Creates the actor around the decision code.
    pub fn new(parts: ActorParts) -> DecisionActor {
        DecisionActor {
            core: parts.core,
            start: Instant::now(),
            incarnation: parts.incarnation,
            sequence: 0,
            catalog: ConfigCatalog::new(),
            links: parts.links,
            suspects: CrashSuspects::default(),
            requests: HashMap::new(),
            default_patience: parts.default_patience,
            commands: Vec::new(),
            drained: None,
            ready: parts.ready,
            metrics: parts.metrics,
            watch: parts.watch,
            rng: ChaCha8Rng::seed_from_u64(parts.seed),
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed().as_micros() as u64)
    }

    /// Tells the decision code that time has passed when it next expects to hear so.
    fn arm_timer(&self, context: &mut Context<DecisionActor>) {
        let wait = match self.core.next_timer() {
            Some(time) => time.since(self.now()).clamp(TIMER_WAIT_MIN, TIMER_WAIT_MAX),
            None => TIMER_WAIT_MAX,
        };
        context.run_later(wait, |actor, context| {
            actor.decide(RouterEvent::TimerFired, context);
            actor.arm_timer(context);
        });
    }

    fn decide(&mut self, event: RouterEvent, context: &Context<DecisionActor>) {
        let now = self.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.core.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(command, context);
        }
        self.commands = commands;
    }

    fn execute(&mut self, command: RouterCommand, context: &Context<DecisionActor>) {
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
                self.answer(request, kind, retry_after);
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

    fn admit(
        &mut self,
        call: IncomingCall,
        sender: mpsc::Sender<AnswerPart>,
        context: &Context<DecisionActor>,
    ) -> Result<(), ErrorKind> {
        if self.ready.get() != Readiness::Ready {
            return Err(ErrorKind::NotReady);
        }
        let Some((customer, record)) = self.catalog.customer_by_key(&call.key) else {
            return Err(ErrorKind::Unauthorized);
        };
        let Some(service) = find_service(&self.catalog, &call) else {
            return Err(ErrorKind::NotFound);
        };
        let fingerprint = fingerprint(customer, &call);
        if self.suspects.status(self.now(), fingerprint) == SuspectStatus::Refused {
            self.metrics.count_failure(ErrorKind::Quarantined);
            return Err(ErrorKind::Quarantined);
        }
        let id = RequestId { router: self.incarnation, sequence: self.sequence };
        let request = ArrivedRequest {
            id,
            customer,
            share: record.share,
            queue_limit: record.queue_limit,
            service,
            class: call.class,
            hint: call.hint,
            prefix: call.prefix,
            patience: call.patience.unwrap_or(self.default_patience),
        };
        self.sequence += 1;
        watch_caller(id, &sender, context.address());
        let open = OpenRequest {
            is_idempotent: call.class != RequestClass::Recording,
            run: build_run(id, call, fingerprint),
            sender,
            head_sent: false,
            runner: None,
        };
        self.requests.insert(id, open);
        self.decide(RouterEvent::RequestArrived { request }, context);
        Ok(())
    }

    fn start_run(&mut self, agent: VmId, offer: OfferId, context: &Context<DecisionActor>) {
        let now = self.now();
        let link = self.links.get(agent).cloned();
        let (Some(open), Some(link)) = (self.requests.get_mut(&offer.request), link) else {
            // The loss of the link reaches the decision code as an event of its own.
            log::warn!("run of {} cannot start: link or request is gone", offer.request);
            return;
        };
        open.run.offer = offer;
        open.runner = Some(agent);
        let status = self.suspects.status(now, open.run.fingerprint);
        if status == SuspectStatus::Refused {
            self.links.send(agent, ControlMessage::Decline(offer));
            let end = RunEnd::Fault(RunFault::Refused(ErrorKind::Quarantined));
            context.address().do_send(RunOver {
                id: offer.request,
                attempt: offer.attempt,
                end,
                delivered: open.run.resume_from,
                head_sent: open.head_sent,
            });
            return;
        }
        self.metrics.count_run();
        let task = RunTask {
            id: offer.request,
            request: open.run.clone(),
            link,
            sender: open.sender.clone(),
            head_sent: open.head_sent,
        };
        actix_rt::spawn(carry_run(task, context.address()));
    }

    fn end_run(&mut self, over: &RunOver, context: &Context<DecisionActor>) {
        let request = over.id;
        let Some(open) = self.requests.get_mut(&request) else { return };
        if open.run.offer.attempt != over.attempt {
            return;
        }
        open.head_sent = over.head_sent;
        open.run.resume_from = over.delivered;
        let fingerprint = open.run.fingerprint;
        let runner = open.runner.take();
        match &over.end {
            RunEnd::Whole(_) => self.learn_evidence(CrashEvidence { fingerprint, target: None }),
            RunEnd::Fault(RunFault::TargetCrashed) if runner.is_some() => {
                self.learn_evidence(CrashEvidence { fingerprint, target: runner });
            }
            RunEnd::Fault(_) | RunEnd::Abandoned => {}
        }
        let is_refused = self.suspects.status(self.now(), fingerprint) == SuspectStatus::Refused;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let event = match &over.end {
            RunEnd::Whole(units) => {
                self.requests.remove(&request);
                self.metrics.count_whole();
                RouterEvent::RunCompleted { request, units: *units }
            }
            RunEnd::Abandoned => {
                self.requests.remove(&request);
                RouterEvent::RequestCancelled { request }
            }
            RunEnd::Fault(fault) => {
                let repeatable = (open.is_idempotent && !is_refused)
                    || matches!(fault, RunFault::Refused(kind) if kind.is_retryable());
                // Evidence decides on crashes; a target that goes down may break two attempts.
                let fault = match fault {
                    RunFault::TargetCrashed if !is_refused => RunFault::Interrupted,
                    fault => *fault,
                };
                RouterEvent::RunFailed { request, fault, repeatable }
            }
        };
        self.decide(event, context);
        self.check_drain();
    }

    /// Takes in evidence of this router's own and passes what is new on to all that it is
    /// linked to.
    fn learn_evidence(&mut self, evidence: CrashEvidence) {
        if !self.suspects.record(self.now(), evidence) {
            return;
        }
        for vm in self.links.routers().into_iter().chain(self.links.agents()) {
            self.links.send(vm, ControlMessage::CrashEvidence(evidence));
        }
    }

    /// Takes in evidence of another router and passes what is new on to the linked agents.
    fn hear_evidence(&mut self, evidence: CrashEvidence) {
        if !self.suspects.record(self.now(), evidence) {
            return;
        }
        for agent in self.links.agents() {
            self.links.send(agent, ControlMessage::CrashEvidence(evidence));
        }
    }

    fn answer(&mut self, request: RequestId, kind: ErrorKind, retry_after: Duration) {
        let Some(open) = self.requests.remove(&request) else { return };
        self.metrics.count_failure(kind);
        let part = AnswerPart::Failure { kind, retry_after };
        if let Err(mpsc::error::TrySendError::Full(part)) = open.sender.try_send(part) {
            // The caller is still reading what came before.
            actix_rt::spawn(async move { open.sender.send(part).await });
        }
        self.check_drain();
    }

    fn check_drain(&mut self) {
        if self.ready.get() != Readiness::Leaving || !self.requests.is_empty() {
            return;
        }
        if let Some(sender) = self.drained.take() {
            // Nobody waits any more if this fails.
            let _ = sender.send(());
        }
    }
}

impl Actor for DecisionActor {
    type Context = Context<DecisionActor>;

    fn started(&mut self, context: &mut Context<DecisionActor>) {
        context.set_mailbox_capacity(4096);
        self.arm_timer(context);
        self.update_watch(context);
        context.run_interval(DIGEST_PERIOD, |actor, context| {
            actor.compare_digests();
            actor.update_watch(context);
        });
    }
}

/// Finds the service that answers a call.
fn find_service(catalog: &ConfigCatalog, call: &IncomingCall) -> Option<ServiceId> {
    let found = match &call.target {
        CallTarget::Model(model) => catalog.service_by_model(model),
        CallTarget::Path => catalog.service_by_path(&call.path),
    };
    let (service, _) = found?;
    Some(service)
}

/// Returns the digest of customer and content by which a request is known when it comes again.
fn fingerprint(customer: CustomerId, call: &IncomingCall) -> u64 {
    let place = xxh3_64(call.path.as_bytes()) ^ customer.0;
    xxh3_64_with_seed(&call.body, place)
}

/// Builds the message to the agent; the offer is filled in when one is granted.
fn build_run(id: RequestId, call: IncomingCall, fingerprint: u64) -> RunRequest {
    RunRequest {
        offer: OfferId { request: id, attempt: 0 },
        method: call.method,
        path: call.path,
        headers: call.headers,
        idempotency_key: call.recording_key,
        fingerprint,
        resume_from: 0,
        body: call.body,
    }
}

/// Cancels the request once its caller is gone.
fn watch_caller(id: RequestId, sender: &mpsc::Sender<AnswerPart>, actor: Addr<DecisionActor>) {
    let sender = sender.clone();
    actix_rt::spawn(async move {
        sender.closed().await;
        actor.do_send(CancelCall { id });
    });
}
