//! What a router tells the others of its own work.

use jackdaw_base::{CrashEvidence, CustomerId, ProcessIncarnation, plain_data};

use crate::direct::target_table::TargetId;
use crate::direct::watch_election::{FleetVersions, StoreStatus};

plain_data! {
    /// The state of one router; replaces every earlier report of the same incarnation.
    pub struct PeerReport {
        /// The incarnation of the router.
        pub incarnation: ProcessIncarnation,
        /// The position among the incarnation's reports.
        pub sequence: u64,
        /// How new its configuration and targets are.
        pub versions: FleetVersions,
        /// The failure domain of the router.
        pub domain: String,
        /// What it has of the store.
        pub store_status: StoreStatus,
        /// Its unfinished runs, by target.
        pub targets: Vec<TargetUsage>,
        /// Its customers' service within the share window.
        pub customers: Vec<CustomerUsage>,
        /// Crashes of targets that it has seen lately.
        pub crashes: Vec<CrashEvidence>,
        /// Requests that it has refused and told when to come back.
        pub refused: Vec<RefusedRequest>,
    }
}

plain_data! {
    copy
    /// A request that was refused and may come back at any router.
    pub struct RefusedRequest {
        /// The digest of customer and content.
        pub fingerprint: u64,
        /// The time until it may come back, in milliseconds.
        pub due_ms: u32,
    }
}

plain_data! {
    copy
    /// The unfinished runs of one router at one target.
    pub struct TargetUsage {
        /// The target.
        pub target: TargetId,
        /// The prompt tokens that are still to be read, in hundreds.
        pub queued_hundreds: u32,
        /// The runs without a first event.
        pub queued: u32,
        /// The runs with a first event.
        pub running: u32,
        /// The memory that all of them need, in thousands of tokens.
        pub memory_thousands: u32,
    }
}

plain_data! {
    copy
    /// The service of one customer at one router within the share window.
    pub struct CustomerUsage {
        /// The customer.
        pub customer: CustomerId,
        /// The tokens that it asked for, in hundreds.
        pub requested_hundreds: u32,
        /// The tokens of its requests that were sent to targets, in hundreds.
        pub started_hundreds: u32,
    }
}
