//! Request data that is shared by the policies and the messages between processes.

use crate::ids::{CustomerId, OfferId, ProcessIncarnation, ServiceId, VmId};
use crate::plain_data;
use crate::work::{CustomerShare, NormalisedService, WorkUnits};

plain_data! {
    copy
    /// Class of a request, as far as it affects scheduling.
    pub enum RequestClass {
        /// Short completion, such as a tag.
        Short,
        /// Long completion, such as a draft.
        Long,
        /// Idempotent request to a plain service.
        Read,
        /// Request to a plain service that must run at most once.
        Recording,
    }
}

plain_data! {
    copy
    /// Offer of a waiting request to an agent.
    pub struct WorkOffer {
        /// Identifier of the offer.
        pub id: OfferId,
        /// Customer that is charged for the work.
        pub customer: CustomerId,
        /// Customer's share of capacity, as configured at the router.
        pub share: CustomerShare,
        /// Service that can process the request.
        pub service: ServiceId,
        /// Class of the request.
        pub class: RequestClass,
        /// Cost estimated by the router.
        pub estimate: WorkUnits,
        /// Hash of the prompt prefix, or zero if there is none.
        pub prefix: u64,
        /// Time left until the caller's deadline when the offer was sent, in microseconds.
        pub patience_micros: u64,
    }
}

plain_data! {
    copy
    /// Service that one agent incarnation has given to one customer since it started.
    ///
    /// The value is cumulative, so processing a report twice has no effect.
    pub struct ServiceReport {
        /// Incarnation of the agent that did the work.
        pub agent: ProcessIncarnation,
        /// VM of the agent, to which totals are returned.
        pub vm: VmId,
        /// Customer that the work was done for.
        pub customer: CustomerId,
        /// Normalised service since the agent started, including reservations.
        pub given: NormalisedService,
        /// Fleet-wide total that the agent last received, with the agent's own part brought up to
        /// date; zero if it has received none. An account home that starts empty resumes from it.
        pub known_total: NormalisedService,
        /// Virtual time of the agent: the lowest total among the customers waiting at it.
        pub virtual_time: NormalisedService,
        /// Whether offers of the customer are waiting at the agent.
        pub waiting: bool,
    }
}

plain_data! {
    copy
    /// Fleet-wide service of one customer, as summed by its account home.
    pub struct FleetTotal {
        /// Customer that received the service.
        pub customer: CustomerId,
        /// Normalised service given by the whole fleet.
        pub total: NormalisedService,
        /// Part of the total that was given by the agent that this message is sent to.
        pub own: NormalisedService,
    }
}

plain_data! {
    copy
    /// Evidence on whether a request crashes targets.
    pub struct CrashEvidence {
        /// Hash of customer, path and body that identifies repeated requests.
        pub fingerprint: u64,
        /// Target that crashed while running the request; `None` if the request completed, which
        /// clears it of suspicion.
        pub target: Option<VmId>,
    }
}
