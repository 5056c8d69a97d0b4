//! The actor that owns the decision code and turns its commands into messages.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult};
use jackdaw_base::{
    CrashEvidence, CustomerId, DocumentBody, DocumentKey, ErrorKind, MonotonicTime, OfferId,
    ProcessIncarnation, RequestClass, RequestId, ServiceId, VersionedDocument, VmId,
};
use jackdaw_link::{ControlMessage, PeerLink, ProcessRole, RunRequest};
use jackdaw_platform::{CatalogUpdate, ConfigCatalog};
use jackdaw_policy::{
    ArrivedRequest, CrashSuspects, DIGEST_FANOUT, RouterCommand, RouterCore, RouterEvent,
    RouterSnapshot, RunFault, SPREAD_FANOUT, SuspectStanding, pick_peers,
};
use jackdaw_telemetry::{Readiness, ReadyFlag};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::call_reader::{CallTarget, IncomingCall};
use crate::caller_server::AnswerPart;
use crate::catalog_watch::CatalogWatch;
use crate::membership::LinkBook;
use crate::metrics::RouterMetrics;
use crate::run::{RunEnd, RunTask, carry_run};

/// The period at which the decision code learns that time has passed.
const TIMER_PERIOD: Duration = Duration::from_millis(10);

/// The period at which routers compare what configuration they hold.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// The documents that one message carries at the most.
const DOCUMENT_BATCH: usize = 500;

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

/// Asks to place a caller's request; the answer goes to `sender`.
#[derive(Message)]
#[rtype(result = "Result<(), ErrorKind>")]
pub struct AdmitCall {
    /// The request.
    pub call: IncomingCall,
    /// The way to the caller.
    pub sender: mpsc::Sender<AnswerPart>,
}

/// Tells that a caller is gone.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CancelCall {
    /// The request.
    pub id: RequestId,
}

/// Tells how a run ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RunOver {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// How it ended.
    pub end: RunEnd,
    /// The stream events that the caller has.
    pub delivered: u64,
    /// Whether the caller has the head of the answer.
    pub head_sent: bool,
}

/// What reaches the actor from links.
#[derive(Message)]
#[rtype(result = "()")]
pub enum LinkInput {
    /// A link is open.
    Opened(PeerLink),
    /// A link is gone.
    Closed(PeerLink),
    /// A control message has come.
    Control(PeerLink, ControlMessage),
}

/// Configuration or VM list from the platform.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LearnUpdate(pub CatalogUpdate);

/// Asks whether a link to a VM is open.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HasLink {
    /// The VM.
    pub vm: VmId,
}

/// Asks whether the router takes callers.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReadReadiness;

/// Asks for the state of the decision code.
#[derive(Message)]
#[rtype(result = "RouterSnapshot")]
pub struct DumpRouter;

/// Asks for the configuration in force and the open links.
#[derive(Message)]
#[rtype(result = "FleetStatus")]
pub struct ReadStatus;

/// What a router knows of the fleet.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// The incarnation of the router.
    pub incarnation: String,
    /// The documents of the configuration.
    pub documents: usize,
    /// The digest of the configuration; equal on routers that hold the same.
    pub digest: String,
    /// The highest number of a change ticket in force.
    pub ticket: u64,
    /// The requests without a final answer.
    pub open_requests: usize,
    /// The open links to agents.
    pub agents: usize,
    /// The open links to routers.
    pub routers: usize,
    /// Whether this router watches the platform.
    pub watches_platform: bool,
}

/// Asks for the control traffic of all links, in bytes sent and received.
#[derive(Message)]
#[rtype(result = "(u64, u64)")]
pub struct ReadTraffic;

/// Takes no new requests; `done` is told when none is left.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainRouter {
    /// The one to tell.
    pub done: oneshot::Sender<()>,
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
        if self.suspects.standing(self.now(), fingerprint) == SuspectStanding::Refused {
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
        let standing = self.suspects.standing(now, open.run.fingerprint);
        if standing == SuspectStanding::Refused {
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
        let is_refused =
            self.suspects.standing(self.now(), fingerprint) == SuspectStanding::Refused;
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
        if !self.suspects.learn(self.now(), evidence) {
            return;
        }
        for vm in self.links.routers().into_iter().chain(self.links.agents()) {
            self.links.send(vm, ControlMessage::CrashEvidence(evidence));
        }
    }

    /// Takes in evidence of another router and passes what is new on to the linked agents.
    fn hear_evidence(&mut self, evidence: CrashEvidence) {
        if !self.suspects.learn(self.now(), evidence) {
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

    fn open_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        let greeting = *link.greeting();
        if self.links.insert(link) {
            self.decide(lost_event(greeting.vm, greeting.role), context);
        }
        match greeting.role {
            ProcessRole::Agent => {
                let Some(service) = greeting.service else {
                    return self.refuse(link, "agent without a service");
                };
                let domain = self.links.domain(greeting.vm);
                self.send_service(link, service);
                let event = RouterEvent::AgentJoined { agent: greeting.vm, service, domain };
                self.decide(event, context);
                if self.links.is_leaving(greeting.vm) {
                    self.decide(RouterEvent::AgentLeaving { agent: greeting.vm }, context);
                }
            }
            ProcessRole::Router => {
                let digest = ControlMessage::DocumentDigest(self.catalog.digest());
                self.links.send(greeting.vm, digest);
                self.decide(RouterEvent::PeerJoined { router: greeting.vm }, context);
            }
            ProcessRole::Operator => {}
        }
    }

    fn close_link(&mut self, link: &PeerLink, context: &Context<DecisionActor>) {
        if !self.links.remove(link) {
            return;
        }
        let greeting = link.greeting();
        self.decide(lost_event(greeting.vm, greeting.role), context);
    }

    fn send_service(&self, link: &PeerLink, service: ServiceId) {
        if let Some(document) = self.catalog.document(DocumentKey::Service(service)) {
            let documents = ControlMessage::Documents(vec![document.clone()]);
            self.links.send(link.greeting().vm, documents);
        }
    }

    fn refuse(&self, link: &PeerLink, reason: &str) {
        log::warn!("closing link to {}: {reason}", link.greeting().vm);
        link.close(reason);
    }

    fn receive(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        if !self.links.is_current(link) {
            return;
        }
        match link.greeting().role {
            ProcessRole::Agent => self.receive_from_agent(link, message, context),
            ProcessRole::Router => self.receive_from_router(link, message, context),
            ProcessRole::Operator => self.refuse(link, "operators send no control messages"),
        }
    }

    fn receive_from_agent(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        let agent = link.greeting().vm;
        let event = match message {
            ControlMessage::Grant(offer) => RouterEvent::GrantReceived { agent, offer },
            ControlMessage::Room(places) => RouterEvent::RoomAnnounced { agent, places },
            ControlMessage::Leaving => RouterEvent::AgentLeaving { agent },
            ControlMessage::Reports(reports) => {
                RouterEvent::ReportsReceived { sender: agent, reports }
            }
            ControlMessage::Probe(nonce) => {
                return self.links.send(agent, ControlMessage::ProbeReply(nonce));
            }
            ControlMessage::ProbeReply(_) => return,
            _ => return self.refuse(link, "message that agents do not send"),
        };
        self.decide(event, context);
    }

    fn receive_from_router(
        &mut self,
        link: &PeerLink,
        message: ControlMessage,
        context: &Context<DecisionActor>,
    ) {
        let router = link.greeting().vm;
        match message {
            ControlMessage::Reports(reports) => {
                let event = RouterEvent::ReportsReceived { sender: router, reports };
                self.decide(event, context);
            }
            ControlMessage::RelayedTotals { agent, totals } => {
                self.decide(RouterEvent::TotalsReceived { agent, totals }, context);
            }
            ControlMessage::Documents(documents) => {
                let changed = self.catalog.merge(documents);
                self.apply(&changed, Some(router), context);
            }
            ControlMessage::DocumentDigest(digest) => {
                if digest != self.catalog.digest() {
                    let digests = ControlMessage::BucketDigests(self.catalog.bucket_digests());
                    self.links.send(router, digests);
                }
            }
            ControlMessage::BucketDigests(digests) => self.compare_buckets(router, &digests),
            ControlMessage::BucketRequest(buckets) => {
                self.send_documents(router, &self.catalog.bucket_documents(&buckets));
            }
            ControlMessage::DocumentRequest => {
                let documents: Vec<VersionedDocument> = self.catalog.documents().cloned().collect();
                self.send_documents(router, &documents);
            }
            ControlMessage::Probe(nonce) => {
                self.links.send(router, ControlMessage::ProbeReply(nonce));
            }
            ControlMessage::CrashEvidence(evidence) => self.hear_evidence(evidence),
            ControlMessage::ProbeReply(_) | ControlMessage::Leaving => {}
            _ => self.refuse(link, "message that routers do not send to routers"),
        }
    }

    /// Exchanges the documents of those buckets that differ.
    fn compare_buckets(&self, router: VmId, digests: &[u64]) {
        let mut buckets = Vec::new();
        for (index, own) in self.catalog.bucket_digests().iter().enumerate() {
            if digests.get(index) != Some(own) {
                buckets.push(index as u16);
            }
        }
        self.send_documents(router, &self.catalog.bucket_documents(&buckets));
        self.links.send(router, ControlMessage::BucketRequest(buckets));
    }

    fn send_documents(&self, router: VmId, documents: &[VersionedDocument]) {
        for batch in documents.chunks(DOCUMENT_BATCH) {
            self.links.send(router, ControlMessage::Documents(batch.to_vec()));
        }
    }

    /// Returns whether anything but the list of VMs is known; without it no key is.
    fn has_configuration(&self) -> bool {
        self.catalog.documents().any(|document| !matches!(document.key, DocumentKey::Vm(_)))
    }

    /// Passes what is new on to the other routers and acts on it.
    fn apply(
        &mut self,
        changed: &[VersionedDocument],
        source: Option<VmId>,
        context: &Context<DecisionActor>,
    ) {
        if self.ready.get() == Readiness::Starting && self.has_configuration() {
            self.ready.set(Readiness::Ready);
        }
        let routers = self.links.routers();
        for router in pick_peers(&mut self.rng, &routers, source, SPREAD_FANOUT) {
            for batch in changed.chunks(DOCUMENT_BATCH) {
                self.links.send(router, ControlMessage::Documents(batch.to_vec()));
            }
        }
        for document in changed {
            if let Some(DocumentBody::Service(_)) = &document.body {
                self.links.send_to_agents(document);
            }
        }
        for (agent, role) in self.links.follow(changed, &context.address()) {
            if role == ProcessRole::Agent {
                self.decide(RouterEvent::AgentLeaving { agent }, context);
            }
        }
    }

    /// Keeps the watch on the platform where this router is a relay or knows no other router.
    fn update_watch(&mut self, context: &Context<DecisionActor>) {
        let is_alone = self.links.routers().is_empty();
        if is_alone || self.links.is_relay() || self.ready.get() == Readiness::Starting {
            self.watch.start(context.address());
        } else {
            self.watch.stop();
        }
    }

    fn compare_digests(&mut self) {
        self.metrics.set_open(self.requests.len());
        let digest = self.catalog.digest();
        let routers = self.links.routers();
        for router in pick_peers(&mut self.rng, &routers, None, DIGEST_FANOUT) {
            self.links.send(router, ControlMessage::DocumentDigest(digest));
        }
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
        recording_key: call.recording_key,
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

fn lost_event(vm: VmId, role: ProcessRole) -> RouterEvent {
    match role {
        ProcessRole::Router => RouterEvent::PeerLost { router: vm },
        ProcessRole::Agent | ProcessRole::Operator => RouterEvent::AgentLost { agent: vm },
    }
}

impl Actor for DecisionActor {
    type Context = Context<DecisionActor>;

    fn started(&mut self, context: &mut Context<DecisionActor>) {
        context.set_mailbox_capacity(4096);
        context.run_interval(TIMER_PERIOD, |actor, context| {
            actor.decide(RouterEvent::TimerFired, context);
        });
        self.update_watch(context);
        context.run_interval(DIGEST_PERIOD, |actor, context| {
            actor.compare_digests();
            actor.update_watch(context);
        });
    }
}

impl Handler<AdmitCall> for DecisionActor {
    type Result = Result<(), ErrorKind>;

    fn handle(&mut self, admit: AdmitCall, context: &mut Context<DecisionActor>) -> Self::Result {
        self.admit(admit.call, admit.sender, context)
    }
}

impl Handler<CancelCall> for DecisionActor {
    type Result = ();

    fn handle(&mut self, cancel: CancelCall, context: &mut Context<DecisionActor>) {
        if self.requests.remove(&cancel.id).is_none() {
            return;
        }
        self.decide(RouterEvent::RequestCancelled { request: cancel.id }, context);
        self.check_drain();
    }
}

impl Handler<RunOver> for DecisionActor {
    type Result = ();

    fn handle(&mut self, over: RunOver, context: &mut Context<DecisionActor>) {
        self.end_run(&over, context);
    }
}

impl Handler<LinkInput> for DecisionActor {
    type Result = ();

    fn handle(&mut self, input: LinkInput, context: &mut Context<DecisionActor>) {
        match input {
            LinkInput::Opened(link) => self.open_link(&link, context),
            LinkInput::Closed(link) => self.close_link(&link, context),
            LinkInput::Control(link, message) => self.receive(&link, message, context),
        }
    }
}

impl Handler<LearnUpdate> for DecisionActor {
    type Result = ();

    fn handle(&mut self, learn: LearnUpdate, context: &mut Context<DecisionActor>) {
        let changed = match learn.0 {
            CatalogUpdate::Documents(documents) => self.catalog.merge(documents),
            CatalogUpdate::Vms(listing) => self.catalog.merge_vms(&listing),
        };
        self.apply(&changed, None, context);
    }
}

impl Handler<HasLink> for DecisionActor {
    type Result = bool;

    fn handle(&mut self, has: HasLink, _: &mut Context<DecisionActor>) -> bool {
        self.links.get(has.vm).is_some()
    }
}

impl Handler<ReadReadiness> for DecisionActor {
    type Result = bool;

    fn handle(&mut self, _: ReadReadiness, _: &mut Context<DecisionActor>) -> bool {
        self.ready.get() == Readiness::Ready
    }
}

impl Handler<DumpRouter> for DecisionActor {
    type Result = MessageResult<DumpRouter>;

    fn handle(
        &mut self,
        _: DumpRouter,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<DumpRouter> {
        MessageResult(self.core.snapshot())
    }
}

impl Handler<ReadStatus> for DecisionActor {
    type Result = MessageResult<ReadStatus>;

    fn handle(
        &mut self,
        _: ReadStatus,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadStatus> {
        let mut ticket = 0;
        for document in self.catalog.documents() {
            if !matches!(document.key, DocumentKey::Vm(_)) {
                ticket = ticket.max(document.number);
            }
        }
        let routers = self.links.routers().len();
        MessageResult(FleetStatus {
            incarnation: self.incarnation.to_string(),
            documents: self.catalog.len(),
            digest: format!("{:016x}", self.catalog.digest()),
            ticket,
            open_requests: self.requests.len(),
            agents: self.links.len() - routers,
            routers,
            watches_platform: self.watch.is_running(),
        })
    }
}

impl Handler<ReadTraffic> for DecisionActor {
    type Result = MessageResult<ReadTraffic>;

    fn handle(
        &mut self,
        _: ReadTraffic,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadTraffic> {
        MessageResult(self.links.control_bytes())
    }
}

impl Handler<DrainRouter> for DecisionActor {
    type Result = ();

    fn handle(&mut self, drain: DrainRouter, context: &mut Context<DecisionActor>) {
        self.ready.set(Readiness::Leaving);
        self.drained = Some(drain.done);
        self.decide(RouterEvent::DrainStarted, context);
        self.check_drain();
    }
}
