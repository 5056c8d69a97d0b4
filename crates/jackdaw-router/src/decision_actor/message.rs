//! Messages that the actor takes.

use actix::Message;
use jackdaw_base::{ErrorKind, RequestId, VmId};
use jackdaw_link::{ControlMessage, PeerLink};
use jackdaw_objects::CatalogUpdate;
use jackdaw_policy::RouterSnapshot;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::call_reader::IncomingCall;
use crate::caller_server::AnswerPart;
use crate::run::RunEnd;

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
