//! The actor that owns the decision code and turns its commands into messages.

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

/// The shortest wait until the decision code learns that time has passed.
const TIMER_WAIT_MIN: Duration = Duration::from_millis(10);

/// The longest such wait, where the decision code expects nothing earlier.
const TIMER_WAIT_MAX: Duration = Duration::from_millis(50);

/// Owner of the decision code and of the links to routers.
pub struct DecisionActor {
    /// The decision code.
    core: AgentCore,
    /// The moment that counts as zero.
    start: Instant,
    /// The open links by router.
    links: HashMap<VmId, PeerLink>,
    /// The evidence against requests that crash targets.
    suspects: CrashSuspects,
    /// The commands of the event at hand.
    commands: Vec<AgentCommand>,
    /// The one that waits for the end of the drain.
    drained: Option<oneshot::Sender<()>>,
    /// The metrics.
    metrics: AgentMetrics,
}

/// What reaches the actor from links and runs.
#[derive(Message)]
#[rtype(result = "()")]
pub enum AgentInput {
    /// A router has opened a link.
    LinkOpened(PeerLink),
    /// A link is gone.
    LinkClosed(PeerLink),
    /// A router has sent a control message.
    Control(PeerLink, ControlMessage),
    /// A run has something to charge or to measure.
    Progress(AgentEvent),
    /// The target crashed while it ran a request, or has run it whole.
    Evidence(CrashEvidence),
}

/// Asks to begin a run; answered with what may be done with the request, or `None` where its
/// offer was not granted to that router.
#[derive(Message)]
#[rtype(result = "Option<RunPermit>")]
pub struct BeginRun {
    /// The router.
    pub router: VmId,
    /// The offer that was granted.
    pub offer: OfferId,
    /// The digest of customer and content.
    pub fingerprint: u64,
}

/// What may be done with a request whose offer was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunPermit(pub SuspectStatus);

/// Asks what may be done with a request that has waited.
#[derive(Message)]
#[rtype(result = "RunPermit")]
pub struct ReadStanding {
    /// The digest of customer and content.
    pub fingerprint: u64,
}

/// Stops granting; `done` is told when all work has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainAgent {
    /// The one to tell.
    pub done: oneshot::Sender<()>,
}

/// Asks for the state of the decision code.
#[derive(Message)]
#[rtype(result = "AgentSnapshot")]
pub struct DumpAgent;

impl DecisionActor {
    /// Creates the actor around the decision code.
    pub fn new(core: AgentCore, metrics: AgentMetrics) -> DecisionActor {
        DecisionActor {
            core,
            start: Instant::now(),
            links: HashMap::new(),
            suspects: CrashSuspects::default(),
            commands: Vec::new(),
            drained: None,
            metrics,
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime(self.start.elapsed().as_micros() as u64)
    }

    fn learn_evidence(&mut self, evidence: CrashEvidence) {
        let now = self.now();
        self.suspects.record(now, evidence);
    }

    /// Tells the decision code that time has passed when it next expects to hear so.
    fn arm_timer(&self, context: &mut Context<DecisionActor>) {
        let wait = match self.core.next_timer() {
            Some(time) => time.since(self.now()).clamp(TIMER_WAIT_MIN, TIMER_WAIT_MAX),
            None => TIMER_WAIT_MAX,
        };
        context.run_later(wait, |actor, context| {
            actor.decide(AgentEvent::TimerFired);
            actor.arm_timer(context);
        });
    }

    fn decide(&mut self, event: AgentEvent) {
        let now = self.now();
        let mut commands = std::mem::take(&mut self.commands);
        self.core.handle(now, event, &mut commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.commands = commands;
    }

    fn execute(&mut self, command: AgentCommand) {
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
                if let Some(sender) = self.drained.take() {
                    // Nobody waits any more if this fails.
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
            self.decide(AgentEvent::RouterLost { router });
        }
        self.decide(AgentEvent::RouterJoined { router });
    }

    fn close_link(&mut self, link: &PeerLink) {
        let router = link.greeting().vm;
        if !self.is_current(link) {
            return;
        }
        self.links.remove(&router);
        self.decide(AgentEvent::RouterLost { router });
    }

    /// Returns whether the link is the one in use for its router.
    fn is_current(&self, link: &PeerLink) -> bool {
        let router = link.greeting().vm;
        self.links.get(&router).is_some_and(|current| current.id() == link.id())
    }

    fn receive(&mut self, link: &PeerLink, message: ControlMessage) {
        if !self.is_current(link) {
            return;
        }
        let router = link.greeting().vm;
        match message {
            ControlMessage::Offer(offer) => {
                if offer.id.request.router != link.greeting().incarnation {
                    return self.refuse(link, "offer of another router's incarnation");
                }
                self.decide(AgentEvent::OfferReceived { router, offer });
            }
            ControlMessage::Withdraw(offer) => {
                self.decide(AgentEvent::OfferWithdrawn { router, offer });
            }
            ControlMessage::Decline(offer) => {
                self.decide(AgentEvent::GrantDeclined { router, offer });
            }
            ControlMessage::Totals(totals) => self.decide(AgentEvent::TotalsReceived { totals }),
            ControlMessage::Documents(documents) => self.apply_documents(&documents),
            ControlMessage::Probe(nonce) => self.send(router, ControlMessage::ProbeReply(nonce)),
            ControlMessage::CrashEvidence(evidence) => self.learn_evidence(evidence),
            ControlMessage::ProbeReply(_)
            | ControlMessage::Leaving
            | ControlMessage::DocumentDigest(_)
            | ControlMessage::BucketDigests(_)
            | ControlMessage::BucketRequest(_) => {}
            ControlMessage::Grant(_)
            | ControlMessage::Room(_)
            | ControlMessage::Reports(_)
            | ControlMessage::RelayedTotals { .. } => {
                self.refuse(link, "message that only agents and routers send to routers");
            }
        }
    }

    fn refuse(&self, link: &PeerLink, reason: &str) {
        log::warn!("closing link to router {}: {reason}", link.greeting().vm);
        link.close(reason);
    }

    fn apply_documents(&mut self, documents: &[VersionedDocument]) {
        for document in documents {
            let Some(DocumentBody::Service(record)) = &document.body else {
                continue;
            };
            let places = record.target.place_limit;
            self.decide(AgentEvent::PlaceLimitChanged { places });
        }
    }
}

impl Actor for DecisionActor {
    type Context = Context<DecisionActor>;

    fn started(&mut self, context: &mut Context<DecisionActor>) {
        context.set_mailbox_capacity(4096);
        self.arm_timer(context);
    }
}

impl Handler<AgentInput> for DecisionActor {
    type Result = ();

    fn handle(&mut self, input: AgentInput, _: &mut Context<DecisionActor>) {
        match input {
            AgentInput::LinkOpened(link) => self.open_link(link),
            AgentInput::LinkClosed(link) => self.close_link(&link),
            AgentInput::Control(link, message) => self.receive(&link, message),
            AgentInput::Progress(event) => self.decide(event),
            AgentInput::Evidence(evidence) => self.learn_evidence(evidence),
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
            SuspectStatus::Refused => self.decide(AgentEvent::GrantDeclined { router, offer }),
            SuspectStatus::Clear | SuspectStatus::Suspect => {
                self.decide(AgentEvent::RunStarted { offer });
            }
        }
        Some(RunPermit(status))
    }
}

impl Handler<ReadStanding> for DecisionActor {
    type Result = MessageResult<ReadStanding>;

    fn handle(
        &mut self,
        read: ReadStanding,
        _: &mut Context<DecisionActor>,
    ) -> MessageResult<ReadStanding> {
        MessageResult(RunPermit(self.suspects.status(self.now(), read.fingerprint)))
    }
}

impl Handler<DrainAgent> for DecisionActor {
    type Result = ();

    fn handle(&mut self, drain: DrainAgent, _: &mut Context<DecisionActor>) {
        self.drained = Some(drain.done);
        self.decide(AgentEvent::DrainStarted);
    }
}

impl Handler<DumpAgent> for DecisionActor {
    type Result = MessageResult<DumpAgent>;

    fn handle(&mut self, _: DumpAgent, _: &mut Context<DecisionActor>) -> MessageResult<DumpAgent> {
        MessageResult(self.core.snapshot())
    }
}
