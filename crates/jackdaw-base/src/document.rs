//! Configuration documents: what change tickets replace and what spreads through the fleet.
//!
//! A document carries the number of the ticket (or, for VMs, the version of the platform's
//! list) that it came from. Merging keeps the highest number of each key, so the order in
//! which documents arrive does not matter and nothing ever reverts.

use std::net::SocketAddr;

use crate::ids::{CustomerId, DomainId, KeyDigest, ServiceId, VmId};
use crate::plain_data;
use crate::work::CustomerShare;

plain_data! {
    copy
    /// Names what a document is about.
    pub enum DocumentKey {
        /// A customer.
        Customer(CustomerId),
        /// A service.
        Service(ServiceId),
        /// A VM of the platform's list.
        Vm(VmId),
    }
}

plain_data! {
    /// A document with the number that orders it among those of the same key.
    pub struct VersionedDocument {
        /// The ticket number, or the version of the VM list.
        pub number: u64,
        /// The key.
        pub key: DocumentKey,
        /// The whole new state; `None` where the thing was removed.
        pub body: Option<DocumentBody>,
    }
}

plain_data! {
    /// State of what a document is about.
    pub enum DocumentBody {
        /// State of a customer.
        Customer(CustomerRecord),
        /// State of a service.
        Service(ServiceRecord),
        /// State of a VM.
        Vm(VmRecord),
    }
}

plain_data! {
    /// A customer as operators define it.
    pub struct CustomerRecord {
        /// The name.
        pub name: String,
        /// The share of capacity that the customer is owed.
        pub share: CustomerShare,
        /// The digests of the keys that authenticate the customer.
        pub keys: Vec<KeyDigest>,
        /// The most requests that may wait at one router.
        pub queue_limit: u32,
    }
}

plain_data! {
    copy
    /// How requests of a service are forwarded.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// A model engine with streamed completions.
        Engine,
        /// A plain HTTP service.
        Plain,
    }
}

plain_data! {
    /// A service as operators define it.
    pub struct ServiceRecord {
        /// The name.
        pub name: String,
        /// The way its requests are forwarded.
        pub kind: ServiceKind,
        /// The models that an engine service answers for; empty for plain services.
        pub models: Vec<String>,
        /// The path prefix that a plain service answers for; empty for engines.
        pub path_prefix: String,
        /// The properties of its targets.
        pub target: TargetRecord,
    }
}

plain_data! {
    copy
    /// Properties that all targets of a service share.
    pub struct TargetRecord {
        /// The most requests that one target may run at a time.
        pub place_limit: u32,
        /// Whether the targets themselves refuse orders with an old fencing number.
        pub checks_fencing: bool,
    }
}

plain_data! {
    copy
    /// State of a VM in the platform's list.
    #[serde(rename_all = "kebab-case")]
    pub enum VmState {
        /// In use.
        Live,
        /// About to be removed.
        Leaving,
    }
}

plain_data! {
    /// A VM of the platform's list, with the process of the fleet on it.
    pub struct VmRecord {
        /// The name.
        pub name: String,
        /// The failure domain.
        pub domain: DomainId,
        /// The address on which the process takes links from other processes.
        pub link_address: SocketAddr,
        /// The service whose target the VM carries; `None` for an entry VM with a router.
        pub service: Option<ServiceId>,
        /// The state.
        pub state: VmState,
    }
}
