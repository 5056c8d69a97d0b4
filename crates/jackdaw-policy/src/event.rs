//! Events that drive the state machines and the commands that they give.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, ErrorKind, FleetTotal, OfferId, RequestClass, RequestId,
    ServiceId, ServiceReport, VmId, WorkOffer, WorkUnits, plain_data,
};

plain_data! {
    copy
    /// Rule by which an agent chooses among waiting offers.
    #[serde(rename_all = "kebab-case")]
    pub enum SharePolicy {
        /// Least normalised service of the whole fleet first.
        Fleet,
        /// Least normalised service at this agent first.
        Local,
        /// Oldest offer first.
        FirstCome,
    }
}

plain_data! {
    /// What happens to an agent.
    pub enum AgentEvent {
        /// A router has opened a link.
        RouterJoined {
            /// The router.
            router: VmId,
        },
        /// The link to a router is gone; its offers and grants are void.
        RouterLost {
            /// The router.
            router: VmId,
        },
        /// A router offers a waiting request.
        OfferReceived {
            /// The router.
            router: VmId,
            /// The offer.
            offer: WorkOffer,
        },
        /// A router takes an offer back.
        OfferWithdrawn {
            /// The router.
            router: VmId,
            /// The offer.
            offer: OfferId,
        },
        /// A router does not use a grant: the place is free again.
        GrantDeclined {
            /// The router.
            router: VmId,
            /// The offer that was granted.
            offer: OfferId,
        },
        /// The router has sent the granted request and the target is about to see it.
        RunStarted {
            /// The offer that was granted.
            offer: OfferId,
        },
        /// The target has done more work on a running request.
        RunProgressed {
            /// The offer that was granted.
            offer: OfferId,
            /// The cost since the run started.
            units: WorkUnits,
        },
        /// A running request has ended, whole or not.
        RunEnded {
            /// The offer that was granted.
            offer: OfferId,
            /// The whole cost.
            units: WorkUnits,
        },
        /// The target has sent the first token of a request.
        FirstToken {
            /// The time from the start of the run.
            elapsed: Duration,
        },
        /// The target has sent a further token.
        NextToken {
            /// The time since the token before.
            elapsed: Duration,
        },
        /// An account home has sent totals of the whole fleet.
        TotalsReceived {
            /// The totals, one a customer.
            totals: Vec<FleetTotal>,
        },
        /// The limit of places that operators set has changed.
        PlaceLimitChanged {
            /// The most requests that the target may run at a time.
            places: u32,
        },
        /// The agent is leaving: nothing more is granted.
        DrainStarted,
        /// Time has passed.
        TimerFired,
    }
}

plain_data! {
    /// What an agent is to do.
    pub enum AgentCommand {
        /// Tell a router that it may send the request now.
        SendGrant {
            /// The router.
            router: VmId,
            /// The offer that is granted.
            offer: OfferId,
        },
        /// Send service reports towards the account homes.
        SendReports {
            /// The router that forwards or keeps them.
            router: VmId,
            /// The reports, one a customer.
            reports: Vec<ServiceReport>,
        },
        /// Tell a router that places are free and no offer waits.
        AnnounceRoom {
            /// The router.
            router: VmId,
            /// The number of free places.
            places: u32,
        },
        /// Tell a router that no offer will be granted any more.
        AnnounceLeaving {
            /// The router.
            router: VmId,
        },
        /// All work has ended after [`AgentEvent::DrainStarted`].
        FinishDrain,
        /// An invariant does not hold.
        ReportViolation {
            /// The invariant and the values that broke it.
            message: String,
        },
    }
}

plain_data! {
    copy
    /// A caller's request that waits for a target.
    pub struct ArrivedRequest {
        /// The request.
        pub id: RequestId,
        /// The customer that pays for it.
        pub customer: CustomerId,
        /// The customer's share of capacity.
        pub share: CustomerShare,
        /// The most requests of the customer that may wait at this router.
        pub queue_limit: u32,
        /// The service that can do the work.
        pub service: ServiceId,
        /// The kind of work.
        pub class: RequestClass,
        /// The caller's hint of the cost; zero where there is none.
        pub hint: WorkUnits,
        /// The hash of the prompt's first part, or zero where there is none.
        pub prefix: u64,
        /// The time left until the caller's deadline.
        pub patience: Duration,
    }
}

plain_data! {
    copy
    /// Why a run ended without a whole answer.
    pub enum RunFault {
        /// The agent refused it before the target saw it; the kind says why.
        Refused(ErrorKind),
        /// The target or the link was lost; the target may have run it.
        Interrupted,
        /// The target crashed while it ran the request.
        TargetCrashed,
    }
}

plain_data! {
    /// What happens to a router.
    pub enum RouterEvent {
        /// A caller's request has been authenticated and read.
        RequestArrived {
            /// The request.
            request: ArrivedRequest,
        },
        /// The caller has gone.
        RequestCancelled {
            /// The request.
            request: RequestId,
        },
        /// A link to an agent is open.
        AgentJoined {
            /// The agent.
            agent: VmId,
            /// The service of its target.
            service: ServiceId,
            /// Its failure domain.
            domain: DomainId,
        },
        /// The link to an agent is gone.
        AgentLost {
            /// The agent.
            agent: VmId,
        },
        /// An agent grants nothing more.
        AgentLeaving {
            /// The agent.
            agent: VmId,
        },
        /// An agent has free places and no offers.
        RoomAnnounced {
            /// The agent.
            agent: VmId,
            /// The number of free places.
            places: u32,
        },
        /// An agent grants an offer.
        GrantReceived {
            /// The agent.
            agent: VmId,
            /// The offer.
            offer: OfferId,
        },
        /// The whole answer has been passed on.
        RunCompleted {
            /// The request.
            request: RequestId,
            /// The cost as the agent charged it.
            units: WorkUnits,
        },
        /// A run has ended without a whole answer.
        RunFailed {
            /// The request.
            request: RequestId,
            /// The reason.
            fault: RunFault,
            /// Whether the request may run again: it is idempotent or can be resumed.
            repeatable: bool,
        },
        /// An agent or another router has sent service reports.
        ReportsReceived {
            /// The agent or router.
            sender: VmId,
            /// The reports.
            reports: Vec<ServiceReport>,
        },
        /// A router that carries an account home has sent totals for this router's agents.
        TotalsReceived {
            /// The agent that they are meant for.
            agent: VmId,
            /// The totals.
            totals: Vec<FleetTotal>,
        },
        /// A link to another router is open.
        PeerJoined {
            /// The other router.
            router: VmId,
        },
        /// The link to another router is gone.
        PeerLost {
            /// The other router.
            router: VmId,
        },
        /// No new requests are taken; those that wait are still served.
        DrainStarted,
        /// Time has passed.
        TimerFired,
    }
}

plain_data! {
    /// What a router is to do.
    pub enum RouterCommand {
        /// Offer a waiting request to an agent.
        SendOffer {
            /// The agent.
            agent: VmId,
            /// The offer.
            offer: WorkOffer,
        },
        /// Take an offer back.
        SendWithdraw {
            /// The agent.
            agent: VmId,
            /// The offer.
            offer: OfferId,
        },
        /// Return a grant that is not used.
        SendDecline {
            /// The agent.
            agent: VmId,
            /// The offer.
            offer: OfferId,
        },
        /// Send the request to the agent that granted it.
        StartRun {
            /// The agent.
            agent: VmId,
            /// The offer.
            offer: OfferId,
        },
        /// Give the caller its final answer: the request did not run, or may have run.
        Answer {
            /// The request.
            request: RequestId,
            /// The reason.
            kind: ErrorKind,
            /// The time after which a further try makes sense; zero where none does.
            retry_after: Duration,
        },
        /// Send service reports to the router that keeps the account home.
        ForwardReports {
            /// The router.
            router: VmId,
            /// The reports.
            reports: Vec<ServiceReport>,
        },
        /// Send totals to an agent.
        SendTotals {
            /// The agent.
            agent: VmId,
            /// The totals.
            totals: Vec<FleetTotal>,
        },
        /// Send totals to the router that reported for an agent.
        ForwardTotals {
            /// The router.
            router: VmId,
            /// The agent that they are meant for.
            agent: VmId,
            /// The totals.
            totals: Vec<FleetTotal>,
        },
        /// An invariant does not hold.
        ReportViolation {
            /// The invariant and the values that broke it.
            message: String,
        },
    }
}
