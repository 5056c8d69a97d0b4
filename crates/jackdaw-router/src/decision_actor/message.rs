//! Messages accepted by the actor.

use actix::Message;
use jackdaw_base::{ErrorKind, RequestId, VmId};
use jackdaw_link::{ControlMessage, PeerLink};
use jackdaw_objects::CatalogUpdate;
use jackdaw_policy::RouterSnapshot;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::caller_server::ResponsePart;
use crate::request_parser::CallerRequest;
use crate::run::RunEnd;

/// Admits a caller's request; the parts of the response go to `sender`.
///
/// The result is an error if the request is rejected on arrival.
#[derive(Message)]
#[rtype(result = "Result<(), ErrorKind>")]
pub struct AdmitRequest {
    /// Parsed request.
    pub request: CallerRequest,
    /// Channel to the caller's response.
    pub sender: mpsc::Sender<ResponsePart>,
}

/// Cancels a request whose caller disconnected.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CancelRequest {
    /// Identifier of the request.
    pub id: RequestId,
}

/// Reports the outcome of a run.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FinishRun {
    /// Identifier of the request.
    pub id: RequestId,
    /// Attempt at the request to which the run belongs.
    pub attempt: u32,
    /// Outcome of the run.
    pub end: RunEnd,
    /// Number of stream events sent to the caller, in this run and earlier ones.
    pub delivered_events: u64,
    /// Whether the response head was sent to the caller.
    pub head_sent: bool,
}

/// Input from a link.
#[derive(Message)]
#[rtype(result = "()")]
pub enum LinkInput {
    /// A link was opened.
    Opened(PeerLink),
    /// A link was closed.
    Closed(PeerLink),
    /// A control message was received.
    Control(PeerLink, ControlMessage),
}

/// Applies configuration documents or a VM list from the platform.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyUpdate(pub CatalogUpdate);

/// Returns whether a link to a VM is open.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HasLink {
    /// VM of the peer.
    pub vm: VmId,
}

/// Returns whether the router accepts requests of callers.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReadReadiness;

/// Returns a snapshot of the router state machine.
#[derive(Message)]
#[rtype(result = "RouterSnapshot")]
pub struct DumpRouter;

/// Returns the configuration in force and the numbers of open links.
#[derive(Message)]
#[rtype(result = "FleetStatus")]
pub struct ReadStatus;

/// Configuration, links and load of a router, as shown to operators.
#[derive(Debug, Serialize)]
pub struct FleetStatus {
    /// Incarnation of the router process.
    pub incarnation: String,
    /// Number of configuration documents.
    pub documents: usize,
    /// Digest of the configuration; equal on routers that hold the same documents.
    pub digest: String,
    /// Highest number of a change ticket in force.
    pub ticket: u64,
    /// Number of requests in progress.
    pub open_requests: usize,
    /// Number of open links to agents.
    pub agents: usize,
    /// Number of open links to other routers.
    pub routers: usize,
    /// Whether this router watches the platform.
    pub watches_platform: bool,
}

/// Returns the bytes of control messages sent and received on all links, open and closed.
#[derive(Message)]
#[rtype(result = "(u64, u64)")]
pub struct ReadControlBytes;

/// Starts draining: new requests are rejected, and `done` is signalled when none is in progress.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainRouter {
    /// Channel that signals the end of the drain.
    pub done: oneshot::Sender<()>,
}
