//! Messages between the processes of the fleet.
//!
//! Messages are encoded with `postcard`, which identifies a variant by its position: variants are
//! never reordered or removed, and new ones are appended. A process sends a variant only to peers
//! whose [`LinkGreeting::version`] includes it, so that old and new builds can communicate during a
//! rollout.

use bytes::Bytes;
use jackdaw_base::{
    CrashEvidence, ErrorKind, FleetTotal, OfferId, ProcessIncarnation, ServiceId, ServiceReport,
    VersionedDocument, VmId, WorkOffer, WorkUnits, plain_data,
};

/// Newest message version that this build supports.
pub const MESSAGE_VERSION: u16 = 1;

plain_data! {
    copy
    /// Role of a process in the fleet.
    pub enum ProcessRole {
        /// Router, which receives the requests of callers.
        Router,
        /// Agent, which forwards requests to the target on its VM.
        Agent,
        /// Command-line tool of an operator.
        Operator,
    }
}

plain_data! {
    copy
    /// First message on a control stream, which each end sends to the other.
    pub struct LinkGreeting {
        /// Newest message version that the sender supports.
        pub version: u16,
        /// VM of the sender.
        pub vm: VmId,
        /// Incarnation of the sender.
        pub incarnation: ProcessIncarnation,
        /// Role of the sender.
        pub role: ProcessRole,
        /// Service of the sender's target; `None` if the sender is not an agent.
        pub service: Option<ServiceId>,
    }
}

plain_data! {
    /// Message on the control stream of a link.
    pub enum ControlMessage {
        /// A router offers a waiting request to an agent.
        Offer(WorkOffer),
        /// A router withdraws an offer.
        Withdraw(OfferId),
        /// A router declines a grant that it does not use.
        Decline(OfferId),
        /// An agent grants an offer.
        Grant(OfferId),
        /// An agent has this number of free places and no waiting offers.
        Room(u32),
        /// The sender is shutting down and accepts no further work.
        Leaving,
        /// Service reports, which routers forward to the account homes.
        Reports(Vec<ServiceReport>),
        /// Fleet-wide totals for the receiving agent.
        Totals(Vec<FleetTotal>),
        /// Fleet-wide totals for an agent that is linked to the receiving router.
        RelayedTotals {
            /// Agent that the totals are for.
            agent: VmId,
            /// Totals, one per customer.
            totals: Vec<FleetTotal>,
        },
        /// Configuration documents that the receiver may not have yet.
        Documents(Vec<VersionedDocument>),
        /// Digest of all configuration documents of the sender.
        DocumentDigest(u64),
        /// Requests a [`ControlMessage::ProbeReply`] with the same number.
        Probe(u64),
        /// Reply to the [`ControlMessage::Probe`] with this number.
        ProbeReply(u64),
        /// Digests of the buckets of the sender's configuration, sent after its digest differed.
        BucketDigests(Vec<u64>),
        /// Requests the documents of the buckets with these indices.
        BucketRequest(Vec<u16>),
        /// Evidence on whether a request crashes targets.
        CrashEvidence(CrashEvidence),
    }
}

impl ControlMessage {
    /// Returns the oldest message version that includes the variant.
    pub fn min_version(&self) -> u16 {
        match self {
            ControlMessage::Offer(_)
            | ControlMessage::Withdraw(_)
            | ControlMessage::Decline(_)
            | ControlMessage::Grant(_)
            | ControlMessage::Room(_)
            | ControlMessage::Leaving
            | ControlMessage::Reports(_)
            | ControlMessage::Totals(_)
            | ControlMessage::RelayedTotals { .. }
            | ControlMessage::Documents(_)
            | ControlMessage::DocumentDigest(_)
            | ControlMessage::Probe(_)
            | ControlMessage::ProbeReply(_)
            | ControlMessage::BucketDigests(_)
            | ControlMessage::BucketRequest(_)
            | ControlMessage::CrashEvidence(_) => 1,
        }
    }
}

plain_data! {
    /// Request that a router sends to an agent as the only message on its half of a run stream.
    pub struct RunRequest {
        /// Granted offer.
        pub offer: OfferId,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Headers to forward to the target, as pairs of name and value.
        pub headers: Vec<(String, String)>,
        /// Idempotency key of a recording request; `None` if the request is idempotent.
        pub idempotency_key: Option<String>,
        /// Hash of customer, path and body that identifies the request in crash evidence.
        pub fingerprint: u64,
        /// Number of stream events that the caller has already received.
        pub resume_from: u64,
        /// Request body.
        pub body: Bytes,
    }
}

plain_data! {
    /// Message that an agent sends to a router on a run stream.
    pub enum RunReply {
        /// Status and headers of the response.
        Head {
            /// HTTP status code.
            status: u16,
            /// Headers to forward to the caller, as pairs of name and value.
            headers: Vec<(String, String)>,
        },
        /// Chunk of the response body.
        Chunk {
            /// Number of stream events that end in this chunk.
            events: u64,
            /// Content of the chunk.
            bytes: Bytes,
        },
        /// End of a complete response; final.
        End {
            /// Length of the body sent in this run, in bytes.
            length: u64,
            /// Cost charged to the customer.
            units: WorkUnits,
        },
        /// The request was refused before it reached the target; final.
        Refused {
            /// Reason for the refusal.
            kind: ErrorKind,
            /// Time after which the request may be retried, in milliseconds.
            retry_after_millis: u64,
        },
        /// The target was lost or failed to complete its response; final.
        Broken {
            /// Whether the target process crashed.
            crashed: bool,
        },
    }
}
