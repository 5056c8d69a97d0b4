//! Requests as the decision code and the messages between processes see them.

use crate::ids::{CustomerId, OfferId, ProcessIncarnation, ServiceId, VmId};
use crate::plain_data;
use crate::work::{CustomerShare, NormalisedService, WorkUnits};

plain_data! {
    copy
    /// Kind of work, as far as it matters to the order of service.
    pub enum RequestClass {
        /// A short answer or a tag.
        Short,
        /// A long draft.
        Long,
        /// A repeatable call to a plain service.
        Read,
        /// A call to a plain service that must run at most once.
        Recording,
    }
}

plain_data! {
    copy
    /// Offer of one waiting request to an agent.
    pub struct WorkOffer {
        /// The offer's identifier.
        pub id: OfferId,
        /// The customer that pays for the work.
        pub customer: CustomerId,
        /// The customer's share of capacity, as the router knows it.
        pub share: CustomerShare,
        /// The service that can do the work.
        pub service: ServiceId,
        /// The kind of work.
        pub class: RequestClass,
        /// The cost that the router predicts.
        pub estimate: WorkUnits,
        /// The hash of the prompt's first part, or zero where there is none.
        pub prefix: u64,
        /// The microseconds left until the caller's deadline when the offer was sent.
        pub patience_micros: u64,
    }
}

plain_data! {
    copy
    /// Service given to one customer by one agent incarnation since that incarnation started.
    ///
    /// The figure is cumulative, so that a repeated report changes nothing.
    pub struct ServiceReport {
        /// The incarnation of the agent that did the work.
        pub agent: ProcessIncarnation,
        /// The agent's VM, to which totals are returned.
        pub vm: VmId,
        /// The customer that was served.
        pub customer: CustomerId,
        /// The normalised service since the agent started, reservations included.
        pub given: NormalisedService,
        /// The fleet-wide total as the agent last heard it, with its own part renewed; zero if it
        /// has heard none. An account home that starts empty goes on from it.
        pub known_total: NormalisedService,
        /// The agent's virtual time: the lowest total among the customers that wait there.
        pub virtual_time: NormalisedService,
        /// Whether the customer has offers waiting at the agent.
        pub waiting: bool,
    }
}

plain_data! {
    copy
    /// Fleet-wide total of one customer, as its account home sums it.
    pub struct FleetTotal {
        /// The customer.
        pub customer: CustomerId,
        /// The normalised service of the whole fleet.
        pub total: NormalisedService,
        /// The part of the total that came from the agent this is sent to.
        pub own: NormalisedService,
    }
}

plain_data! {
    copy
    /// Evidence for or against a request that may crash targets.
    pub struct CrashEvidence {
        /// The digest of customer and content.
        pub fingerprint: u64,
        /// The target that crashed while it ran the request; `None` where the request has run
        /// whole, which clears it.
        pub target: Option<VmId>,
    }
}
