//! Report that routers send each other about their own work.

use jackdaw_base::{CrashEvidence, CustomerId, ProcessIncarnation, plain_data};

use crate::direct::fleet::watch_election::{FleetVersions, StoreStatus};
use crate::direct::target_id::TargetId;

plain_data! {
    /// State of one router; replaces all earlier reports of the same incarnation.
    pub struct PeerReport {
        /// Incarnation of the sender.
        pub incarnation: ProcessIncarnation,
        /// Sequence number among the incarnation's reports.
        pub sequence: u64,
        /// Versions of the configuration and the targets that the sender knows.
        pub versions: FleetVersions,
        /// Failure domain of the sender.
        pub domain: String,
        /// Connection of the sender to the store.
        pub store_status: StoreStatus,
        /// Runs in progress of the sender, by target.
        pub targets: Vec<TargetUsage>,
        /// Service of customers at the sender within the share window.
        pub customers: Vec<CustomerUsage>,
        /// Always empty. Older builds report crash evidence here, by request only; findings follow
        /// the report in its datagram.
        pub crashes: Vec<CrashEvidence>,
        /// Requests that the sender has recently refused with a retry delay.
        pub refused: Vec<RefusedRequest>,
    }
}

plain_data! {
    copy
    /// Refused request that its caller may retry at any router.
    pub struct RefusedRequest {
        /// Digest of customer and content.
        pub fingerprint: u64,
        /// Time until the retry is due, in milliseconds.
        pub due_ms: u32,
    }
}

plain_data! {
    copy
    /// Runs in progress of one router at one target.
    pub struct TargetUsage {
        /// Target of the runs.
        pub target: TargetId,
        /// Prompt tokens waiting for prefill, in hundreds.
        pub queued_hundreds: u32,
        /// Number of runs before their first event.
        pub queued: u32,
        /// Number of runs after their first event.
        pub running: u32,
        /// Memory reserved for all these runs, in thousands of tokens.
        pub memory_thousands: u32,
    }
}

plain_data! {
    copy
    /// Service of one customer at one router within the share window.
    pub struct CustomerUsage {
        /// Customer that sent the requests.
        pub customer: CustomerId,
        /// Tokens of all arrived requests, in hundreds.
        pub requested_hundreds: u32,
        /// Tokens of the requests that were sent to targets, in hundreds.
        pub started_hundreds: u32,
    }
}
