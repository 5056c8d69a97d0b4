//! Actor that owns the agent state machine and executes its commands.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, Message, MessageResult};
use jackdaw_base::{CrashEvidence, DocumentBody, MonotonicTime, OfferId, VersionedDocument, VmId};
use jackdaw_link::{ControlMessage, PeerLink};
use jackdaw_policy::{
    AgentCommand, AgentCore, AgentEvent, AgentSnapshot, CrashSuspects, SuspectStatus,
};
use tokio::sync::oneshot;

use crate::metrics::AgentMetrics;

/// Minimum delay before the next timer event of the state machine.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(10);

/// Maximum delay before the next timer event, also used if the state machine asks for none.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(50);

/// Owner of the agent state machine and of the links from routers.
pub struct DecisionActor {
    /// Agent state machine.
    core: AgentCore,
    /// Origin of the monotonic time that is passed to the state machine.
    start: Instant,
    /// Current link of each router, by the router's VM.
    links: HashMap<VmId, PeerLink>,
    /// Evidence of requests that crash targets.
    suspects: CrashSuspects,
    /// Buffer for the commands of an event, kept to reuse its allocation.
    commands: Vec<AgentCommand>,
    /// Channel that signals the end of the drain, once a drain was requested.
    drain_done: Option<oneshot::Sender<()>>,
    /// Metrics of the agent.
    metrics: AgentMetrics,
}

/// Input from links and runs.
#[derive(Message)]
#[rtype(result = "()")]
pub enum AgentInput {
    /// A router opened a link.
    LinkOpened(PeerLink),
    /// A link was closed.
    LinkClosed(PeerLink),
    /// A control message was received from a router.
    Control(PeerLink, ControlMessage),
    /// A run made progress or ended; the event is passed to the state machine.
    Progress(AgentEvent),
    /// The target crashed while running a request, or completed it.
    Evidence(CrashEvidence),
}

/// Begins a run unless its request is refused; returns the permit of the request, or `None` if the
/// offer was not granted to the router.
#[derive(Message)]
#[rtype(result = "Option<RunPermit>")]
pub struct BeginRun {
    /// VM of the router that starts the run.
    pub router: VmId,
    /// Granted offer.
    pub offer: OfferId,
    /// Hash of customer, path and body that identifies repeated requests.
    pub fingerprint: u64,
}

/// Whether and how a request may run, according to the evidence of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunPermit(pub SuspectStatus);

/// Returns the current permit of a request that was a suspect when its run began.
#[derive(Message)]
#[rtype(result = "RunPermit")]
pub struct ReadSuspectStatus {
    /// Hash of customer, path and body that identifies repeated requests.
    pub fingerprint: u64,
}

/// Starts draining: no further offers are granted, and `done` is signalled when all work has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainAgent {
    /// Channel that signals the end of the drain.
    pub done: oneshot::Sender<()>,
}

/// Returns a snapshot of the agent state machine.
#[derive(Message)]
#[rtype(result = "AgentSnapshot")]
pub struct DumpAgent;

impl DecisionActor {
    /// Creates the actor that owns the given state machine.
    pub fn new(core: AgentCore, metrics: AgentMetrics) -> DecisionActor {
        DecisionActor {
            core,
            start: Instant::now(),
            links: HashMap::new(),
            suspects: CrashSuspects::default(),
            commands: Vec::new(),
            drain_done: None,
            metrics,
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed().as_micros() as u64)
    }

    fn record_evidence(&mut self, evidence: CrashEvidence) {
        let now = self.now();
        self.suspects.record(now, evidence);
    }

    /// Schedules the next timer event at the time that the state machine asks for, within limits.
    fn schedule_timer(&self, context: &mut Context<DecisionActor>) {
        let delay = match self.core.next_timer() {
            Some(time) => time.since(self.now()).clamp(MIN_TIMER_DELAY, MAX_TIMER_DELAY),
            None => MAX_TIMER_DELAY,
        };
        context.run_later(delay, |actor, context| {
            actor.process_event(AgentEvent::TimerFired);
            actor.schedule_timer(context);
        });
    }

    fn process_event(&mut self, event: AgentEvent) {
        let now = self.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.core.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute_command(command);
        }
        self.commands = commands;
    }

    fn execute_command(&mut self, command: AgentCommand) {
        match command {
            AgentCommand::SendGrant { router, offer } => {
                self.metrics.count_grant();
                self.send(router, ControlMessage::Grant(offer));
            }
            AgentCommand::SendReports { router, reports } => {
                self.send(router, ControlMessage::Reports(reports));
            }
            AgentCommand::AnnounceRoom { router, places } => {
                self.send(router, ControlMessage::Room(places));
            }
            AgentCommand::AnnounceLeaving { router } => {
                self.send(router, ControlMessage::Leaving);
            }
            AgentCommand::FinishDrain => {
                if let Some(sender) = self.drain_done.take() {
                    // The send fails if the receiver no longer waits, which needs no action.
                    let _ = sender.send(());
                }
            }
            AgentCommand::ReportViolation { message } => {
                self.metrics.count_violation();
                log::error!("invariant violated: {message}");
            }
        }
    }

    fn send(&self, router: VmId, message: ControlMessage) {
        let Some(link) = self.links.get(&router) else { return };
        if let Err(report) = link.send(message) {
            log::warn!("closing link to router {router}: {report}");
            link.close("control queue is full");
        }
    }

    fn open_link(&mut self, link: PeerLink) {
        let router = link.greeting().vm;
        if let Some(old) = self.links.insert(router, link) {
            old.close("replaced by a newer link");
            self.process_event(AgentEvent::RouterLost { router });
        }
        self.process_event(AgentEvent::RouterJoined { router });
    }

    fn close_link(&mut self, link: &PeerLink) {
        let router = link.greeting().vm;
        if !self.is_current(link) {
            return;
        }
        self.links.remove(&router);
        self.process_event(AgentEvent::RouterLost { router });
    }

    /// Returns whether the link is the current one of its router.
    fn is_current(&self, link: &PeerLink) -> bool {
        let router = link.greeting().vm;
        self.links.get(&router).is_some_and(|current| current.id() == link.id())
    }

    fn receive_message(&mut self, link: &PeerLink, message: ControlMessage) {
        if !self.is_current(link) {
            return;
        }
        let router = link.greeting().vm;
        match message {
            ControlMessage::Offer(offer) => {
                if offer.id.request.router != link.greeting().incarnation {
                    return self.reject_link(link, "offer of another router's incarnation");
                }
                self.process_event(AgentEvent::OfferReceived { router, offer });
            }
            ControlMessage::Withdraw(offer) => {
                self.process_event(AgentEvent::OfferWithdrawn { router, offer });
            }
            ControlMessage::Decline(offer) => {
                self.process_event(AgentEvent::GrantDeclined { router, offer });
            }
            ControlMessage::Totals(totals) => {
                self.process_event(AgentEvent::TotalsReceived { totals });
            }
            ControlMessage::Documents(documents) => self.apply_documents(&documents),
            ControlMessage::Probe(nonce) => self.send(router, ControlMessage::ProbeReply(nonce)),
            ControlMessage::CrashEvidence(evidence) => self.record_evidence(evidence),
            ControlMessage::ProbeReply(_)
            | ControlMessage::Leaving
            | ControlMessage::DocumentDigest(_)
            | ControlMessage::BucketDigests(_)
            | ControlMessage::BucketRequest(_) => {}
            ControlMessage::Grant(_)
            | ControlMessage::Room(_)
            | ControlMessage::Reports(_)
            | ControlMessage::RelayedTotals { .. } => {
                self.reject_link(link, "message that only agents and routers send to routers");
            }
        }
    }

    fn reject_link(&self, link: &PeerLink, reason: &str) {
        log::warn!("closing link to router {}: {reason}", link.greeting().vm);
        link.close(reason);
    }

    fn apply_documents(&mut self, documents: &[VersionedDocument]) {
        for document in documents {
            let Some(DocumentBody::Service(record)) = &document.body else {
                continue;
            };
            let places = record.target.place_limit;
            self.process_event(AgentEvent::PlaceLimitChanged { places });
        }
    }
}

impl Actor for DecisionActor {
    type Context = Context<DecisionActor>;

    fn started(&mut self, context: &mut Context<DecisionActor>) {
        context.set_mailbox_capacity(4096);
        self.schedule_timer(context);
    }
}

impl Handler<AgentInput> for DecisionActor {
    type Result = ();

    fn handle(&mut self, input: AgentInput, _: &mut Context<DecisionActor>) {
        match input {
            AgentInput::LinkOpened(link) => self.open_link(link),
            AgentInput::LinkClosed(link) => self.close_link(&link),
            AgentInput::Control(link, message) => self.receive_message(&link, message),
            AgentInput::Progress(event) => self.process_event(event),
            AgentInput::Evidence(evidence) => self.record_evidence(evidence),
        }
    }
}

impl Handler<BeginRun> for DecisionActor {
    type Result = Option<RunPermit>;

    fn handle(&mut self, begin: BeginRun, _: &mut Context<DecisionActor>) -> Option<RunPermit> {
        let BeginRun { router, offer, fingerprint } = begin;
        if !self.core.holds_grant(router, offer) {
            return None;
        }
        let status = self.suspects.status(self.now(), fingerprint);
        match status {
            SuspectStatus::Refused => {
                self.process_event(AgentEvent::GrantDeclined { router, offer });
            }
            SuspectStatus::Clear | SuspectStatus::Suspect => {
                self.process_event(AgentEvent::RunStarted { offer });
            }
        }
        Some(RunPermit(status))
    }
}

impl Handler<ReadSuspectStatus> for DecisionActor {
    type Result = MessageResult<ReadSuspectStatus>;

    fn handle(
        &mut self,
        read: ReadSuspectStatus,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadSuspectStatus> {
        MessageResult(RunPermit(self.suspects.status(self.now(), read.fingerprint)))
    }
}

impl Handler<DrainAgent> for DecisionActor {
    type Result = ();

    fn handle(&mut self, drain: DrainAgent, _: &mut Context<DecisionActor>) {
        self.drain_done = Some(drain.done);
        self.process_event(AgentEvent::DrainStarted);
    }
}

impl Handler<DumpAgent> for DecisionActor {
    type Result = MessageResult<DumpAgent>;

    fn handle(&mut self, _: DumpAgent, _: &mut Context<DecisionActor>) -> MessageResult<DumpAgent> {
        MessageResult(self.core.snapshot())
    }
}
