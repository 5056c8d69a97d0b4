//! Configuration documents, which change tickets replace and which are gossiped through the fleet.
//!
//! A document records the number of the ticket that it comes from or, for a VM, the version of the
//! platform's VM list. A merge keeps the document with the highest number for each key, so the
//! result does not depend on the order of arrival and a document never reverts to an older state.

use std::net::SocketAddr;

use crate::ids::{CustomerId, DomainId, KeyDigest, ServiceId, VmId};
use crate::plain_data;
use crate::work::CustomerShare;

plain_data! {
    copy
    /// Key of a configuration document: the object that it describes.
    pub enum DocumentKey {
        /// Customer with this identifier.
        Customer(CustomerId),
        /// Service with this identifier.
        Service(ServiceId),
        /// VM with this identifier in the platform's VM list.
        Vm(VmId),
    }
}

plain_data! {
    /// Configuration document with a number that orders it among those with the same key.
    pub struct VersionedDocument {
        /// Ticket number or, for a VM, version of the VM list.
        pub number: u64,
        /// Object that the document describes.
        pub key: DocumentKey,
        /// Complete new state of the object; `None` if the object was removed.
        pub body: Option<DocumentBody>,
    }
}

plain_data! {
    /// State of the object that a document describes.
    pub enum DocumentBody {
        /// Configuration of a customer.
        Customer(CustomerRecord),
        /// Configuration of a service.
        Service(ServiceRecord),
        /// Entry of a VM in the platform's VM list.
        Vm(VmRecord),
    }
}

plain_data! {
    /// Configuration of a customer, as set by operators.
    pub struct CustomerRecord {
        /// Name of the customer.
        pub name: String,
        /// Share of the capacity that the customer is entitled to.
        pub share: CustomerShare,
        /// Digests of the API keys that authenticate the customer.
        pub keys: Vec<KeyDigest>,
        /// Maximum number of the customer's requests that may wait at one router.
        pub queue_limit: u32,
    }
}

plain_data! {
    copy
    /// Kind of a service, which determines how its requests are forwarded.
    #[serde(rename_all = "kebab-case")]
    pub enum ServiceKind {
        /// Model engine that can stream its completions.
        Engine,
        /// Any other HTTP service.
        Plain,
    }
}

plain_data! {
    /// Configuration of a service, as set by operators.
    pub struct ServiceRecord {
        /// Name of the service.
        pub name: String,
        /// Kind of the service.
        pub kind: ServiceKind,
        /// Models that an engine service provides; empty for a plain service.
        pub models: Vec<String>,
        /// Path prefix of the requests that a plain service receives; empty for an engine service.
        pub path_prefix: String,
        /// Properties of all its targets.
        pub target: TargetRecord,
    }
}

plain_data! {
    copy
    /// Properties common to all targets of a service.
    pub struct TargetRecord {
        /// Maximum number of requests that one target may run concurrently.
        pub place_limit: u32,
        /// Whether the targets themselves reject requests with an outdated fencing number.
        pub checks_fencing: bool,
    }
}

plain_data! {
    copy
    /// State of a VM in the platform's VM list.
    #[serde(rename_all = "kebab-case")]
    pub enum VmState {
        /// The VM is in use.
        Live,
        /// The VM is about to be removed.
        Leaving,
    }
}

plain_data! {
    /// Entry of a VM in the platform's VM list, with the fleet process that runs on it.
    pub struct VmRecord {
        /// Name of the VM.
        pub name: String,
        /// Failure domain of the VM.
        pub domain: DomainId,
        /// Address on which the process accepts links from other processes.
        pub link_address: SocketAddr,
        /// Service whose target runs on the VM; `None` for a VM that runs a router.
        pub service: Option<ServiceId>,
        /// Whether the VM is in use or about to be removed.
        pub state: VmState,
    }
}
