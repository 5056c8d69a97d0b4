//! Messages between the processes of the fleet.
//!
//! Every enum is encoded with `postcard`: a variant keeps its place for good and new ones are
//! added at the end. A process sends a variant only to peers whose [`LinkGreeting::version`]
//! knows it, so that old and new processes can talk during a rollout.

use bytes::Bytes;
use jackdaw_base::{
    CrashEvidence, ErrorKind, FleetTotal, OfferId, ProcessIncarnation, ServiceId, ServiceReport,
    VersionedDocument, VmId, WorkOffer, WorkUnits, plain_data,
};

/// The newest message version that this build speaks.
pub const MESSAGE_VERSION: u16 = 1;

plain_data! {
    copy
    /// What a process is in the fleet.
    pub enum ProcessRole {
        /// Takes requests from callers.
        Router,
        /// Stands beside a target.
        Agent,
        /// An operator's command.
        Operator,
    }
}

plain_data! {
    copy
    /// First message on a control stream, in both directions.
    pub struct LinkGreeting {
        /// The newest message version that the sender speaks.
        pub version: u16,
        /// The sender's VM.
        pub vm: VmId,
        /// The sender's incarnation.
        pub incarnation: ProcessIncarnation,
        /// The sender's role.
        pub role: ProcessRole,
        /// The service of the sender's target, where it is an agent.
        pub service: Option<ServiceId>,
    }
}

plain_data! {
    /// Message on the control stream of a link.
    pub enum ControlMessage {
        /// A router offers a waiting request.
        Offer(WorkOffer),
        /// A router takes an offer back.
        Withdraw(OfferId),
        /// A router does not use a grant.
        Decline(OfferId),
        /// An agent grants an offer.
        Grant(OfferId),
        /// An agent has free places and no offers.
        Room(u32),
        /// The sender is leaving and takes no new work.
        Leaving,
        /// Service reports on their way to the account homes.
        Reports(Vec<ServiceReport>),
        /// Totals for the agent that receives them.
        Totals(Vec<FleetTotal>),
        /// Totals for an agent that the receiving router is linked to.
        RelayedTotals {
            /// The agent.
            agent: VmId,
            /// The totals.
            totals: Vec<FleetTotal>,
        },
        /// Configuration documents that the receiver may lack.
        Documents(Vec<VersionedDocument>),
        /// Digest of all configuration documents that the sender holds.
        DocumentDigest(u64),
        /// Asks for a [`ControlMessage::ProbeReply`] with the same number.
        Probe(u64),
        /// Answers a [`ControlMessage::Probe`].
        ProbeReply(u64),
        /// Digests of the buckets of the sender's configuration, after two digests differed.
        BucketDigests(Vec<u64>),
        /// Asks for the documents of some buckets.
        BucketRequest(Vec<u16>),
        /// Evidence on a request that may crash targets.
        CrashEvidence(CrashEvidence),
    }
}

impl ControlMessage {
    /// Returns the first message version that knows the variant.
    pub fn since(&self) -> u16 {
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
    /// First message on a run stream, from router to agent; the body follows as the rest of it.
    pub struct RunRequest {
        /// The offer that was granted.
        pub offer: OfferId,
        /// The HTTP method.
        pub method: String,
        /// The path and query.
        pub path: String,
        /// The headers that are forwarded.
        pub headers: Vec<(String, String)>,
        /// The idempotency key of a recording; `None` for everything that may be repeated.
        pub idempotency_key: Option<String>,
        /// The digest of customer and content, as evidence where a target crashes.
        pub fingerprint: u64,
        /// The stream events that the caller already has.
        pub resume_from: u64,
        /// The body.
        pub body: Bytes,
    }
}

plain_data! {
    /// Message on a run stream, from agent to router.
    pub enum RunReply {
        /// The target answers.
        Head {
            /// The HTTP status.
            status: u16,
            /// The headers that are passed on.
            headers: Vec<(String, String)>,
        },
        /// A part of the body.
        Chunk {
            /// The stream events that end in this part.
            events: u64,
            /// The bytes.
            bytes: Bytes,
        },
        /// The body is whole.
        End {
            /// The length of the body that this run sent, in bytes.
            length: u64,
            /// The cost that was charged.
            units: WorkUnits,
        },
        /// The target never saw the request.
        Refused {
            /// The reason.
            kind: ErrorKind,
            /// The milliseconds after which a further try makes sense.
            retry_after_millis: u64,
        },
        /// The target or its answer was lost.
        Broken {
            /// Whether the target itself crashed.
            crashed: bool,
        },
    }
}
