//! Input events and output commands of the agent and router state machines.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, ErrorKind, FleetTotal, OfferId, RequestClass, RequestId,
    ServiceId, ServiceReport, VmId, WorkOffer, WorkUnits, plain_data,
};

plain_data! {
    copy
    /// Rule by which an agent selects the next offer to grant.
    #[serde(rename_all = "kebab-case")]
    pub enum SharePolicy {
        /// Customer with the least service across the fleet, divided by share, first.
        Fleet,
        /// Customer with the least service at this agent, divided by share, first.
        Local,
        /// Oldest offer first.
        FirstCome,
    }
}

plain_data! {
    /// Input event of the agent state machine.
    pub enum AgentEvent {
        /// A router opened a link to the agent.
        RouterJoined {
            /// Router at the other end of the link.
            router: VmId,
        },
        /// The link to a router was lost, which invalidates its offers and grants.
        RouterLost {
            /// Router at the other end of the link.
            router: VmId,
        },
        /// A router offered a waiting request.
        OfferReceived {
            /// Router that sent the offer.
            router: VmId,
            /// Offered work.
            offer: WorkOffer,
        },
        /// A router withdrew an offer.
        OfferWithdrawn {
            /// Router that withdrew the offer.
            router: VmId,
            /// Withdrawn offer.
            offer: OfferId,
        },
        /// A router declined a grant, which frees the place.
        GrantDeclined {
            /// Router that declined the grant.
            router: VmId,
            /// Granted offer.
            offer: OfferId,
        },
        /// The router sent the granted request, which is about to be forwarded to the target.
        RunStarted {
            /// Granted offer.
            offer: OfferId,
        },
        /// The target did more work on a running request.
        RunProgressed {
            /// Granted offer.
            offer: OfferId,
            /// Cumulative cost since the run started.
            units: WorkUnits,
        },
        /// A run ended, whether it completed or failed.
        RunEnded {
            /// Granted offer.
            offer: OfferId,
            /// Total cost of the run.
            units: WorkUnits,
        },
        /// The target sent the first token of a request.
        FirstToken {
            /// Time since the start of the run.
            elapsed: Duration,
        },
        /// The target sent another token of a request.
        NextToken {
            /// Time since the previous token.
            elapsed: Duration,
        },
        /// An account home sent fleet-wide totals.
        TotalsReceived {
            /// Totals, one per customer.
            totals: Vec<FleetTotal>,
        },
        /// Operators changed the configured place limit.
        PlaceLimitChanged {
            /// Maximum number of requests that the target may run concurrently.
            places: u32,
        },
        /// The agent is shutting down and must not grant further offers.
        DrainStarted,
        /// A timer is due.
        TimerFired,
    }
}

plain_data! {
    /// Output command of the agent state machine.
    pub enum AgentCommand {
        /// Grant an offer, so that the router may send the request.
        SendGrant {
            /// Router that sent the offer.
            router: VmId,
            /// Granted offer.
            offer: OfferId,
        },
        /// Send service reports to a router, which records or forwards them.
        SendReports {
            /// Router that records or forwards them to the account homes.
            router: VmId,
            /// Reports, one per customer.
            reports: Vec<ServiceReport>,
        },
        /// Announce to a router that places are free and no offers are waiting.
        AnnounceRoom {
            /// Router that receives the announcement.
            router: VmId,
            /// Number of free places.
            places: u32,
        },
        /// Announce to a router that the agent grants no further offers.
        AnnounceLeaving {
            /// Router that receives the announcement.
            router: VmId,
        },
        /// Report that all work has ended after [`AgentEvent::DrainStarted`].
        FinishDrain,
        /// Report an invariant violation.
        ReportViolation {
            /// Violated invariant and the values that violate it.
            message: String,
        },
    }
}

plain_data! {
    copy
    /// Request of a caller, as it enters the router state machine.
    pub struct ArrivedRequest {
        /// Identifier of the request.
        pub id: RequestId,
        /// Customer that is charged for it.
        pub customer: CustomerId,
        /// Customer's share of capacity.
        pub share: CustomerShare,
        /// Maximum number of the customer's requests that may wait at this router.
        pub queue_limit: u32,
        /// Service that can process the request.
        pub service: ServiceId,
        /// Class of the request.
        pub class: RequestClass,
        /// Caller's hint of the cost, or zero if there is none.
        pub hint: WorkUnits,
        /// Hash of the prompt prefix, or zero if there is none.
        pub prefix: u64,
        /// Time left until the caller's deadline.
        pub patience: Duration,
    }
}

plain_data! {
    copy
    /// Reason why a run ended without a complete answer.
    pub enum RunFault {
        /// The agent refused the request, for the given reason, before it reached the target.
        Refused(ErrorKind),
        /// The target or the link was lost; the target may have run the request.
        Interrupted,
        /// The target crashed while running the request.
        TargetCrashed,
    }
}

plain_data! {
    /// Input event of the router state machine.
    pub enum RouterEvent {
        /// A caller's request was received and authenticated.
        RequestArrived {
            /// Received request.
            request: ArrivedRequest,
        },
        /// The caller disconnected or cancelled the request.
        RequestCancelled {
            /// Cancelled request.
            request: RequestId,
        },
        /// A link to an agent was opened.
        AgentJoined {
            /// VM of the agent.
            agent: VmId,
            /// Service of its target.
            service: ServiceId,
            /// Failure domain of its VM.
            domain: DomainId,
        },
        /// The link to an agent was lost.
        AgentLost {
            /// VM of the agent.
            agent: VmId,
        },
        /// An agent announced that it grants no further offers.
        AgentLeaving {
            /// VM of the agent.
            agent: VmId,
        },
        /// An agent announced that it has free places and no waiting offers.
        RoomAnnounced {
            /// VM of the agent.
            agent: VmId,
            /// Number of free places.
            places: u32,
        },
        /// An agent granted an offer.
        GrantReceived {
            /// Agent that sent the grant.
            agent: VmId,
            /// Granted offer.
            offer: OfferId,
        },
        /// The complete answer of a run was forwarded to the caller.
        RunCompleted {
            /// Completed request.
            request: RequestId,
            /// Cost charged by the agent.
            units: WorkUnits,
        },
        /// A run ended without a complete answer.
        RunFailed {
            /// Request whose run failed.
            request: RequestId,
            /// Reason for the failure.
            fault: RunFault,
            /// Whether the request may run again because it is idempotent or can be resumed.
            repeatable: bool,
        },
        /// An agent or another router sent service reports.
        ReportsReceived {
            /// Agent or router that sent them.
            sender: VmId,
            /// Reports, one per customer of an agent.
            reports: Vec<ServiceReport>,
        },
        /// A router that serves as account home sent totals for an agent linked to this router.
        TotalsReceived {
            /// Agent that the totals are for.
            agent: VmId,
            /// Totals, one per customer.
            totals: Vec<FleetTotal>,
        },
        /// A link to another router was opened.
        PeerJoined {
            /// Router at the other end of the link.
            router: VmId,
        },
        /// The link to another router was lost.
        PeerLost {
            /// Router at the other end of the link.
            router: VmId,
        },
        /// The router is draining: it rejects new requests and still serves the waiting ones.
        DrainStarted,
        /// A timer is due.
        TimerFired,
    }
}

plain_data! {
    /// Output command of the router state machine.
    pub enum RouterCommand {
        /// Offer a waiting request to an agent.
        SendOffer {
            /// Agent that receives the offer.
            agent: VmId,
            /// Offered work.
            offer: WorkOffer,
        },
        /// Withdraw an offer from an agent.
        SendWithdraw {
            /// Agent that holds the offer.
            agent: VmId,
            /// Withdrawn offer.
            offer: OfferId,
        },
        /// Decline a grant that is not used.
        SendDecline {
            /// Agent that granted the offer.
            agent: VmId,
            /// Granted offer.
            offer: OfferId,
        },
        /// Send the request to the agent that granted the offer.
        StartRun {
            /// Agent that granted the offer.
            agent: VmId,
            /// Granted offer.
            offer: OfferId,
        },
        /// Send the caller a final error that states that the request did not run or may have run.
        Answer {
            /// Request that is answered.
            request: RequestId,
            /// Kind of the error.
            kind: ErrorKind,
            /// Time after which the caller may retry, or zero if a retry is not useful.
            retry_after: Duration,
        },
        /// Forward service reports to the router that is the account home.
        ForwardReports {
            /// Router that is the account home.
            router: VmId,
            /// Reports about customers with this account home.
            reports: Vec<ServiceReport>,
        },
        /// Send fleet-wide totals to a linked agent.
        SendTotals {
            /// Agent that receives the totals.
            agent: VmId,
            /// Totals, one per customer.
            totals: Vec<FleetTotal>,
        },
        /// Send totals to the router that forwarded the reports of an agent.
        ForwardTotals {
            /// Router that is linked to the agent.
            router: VmId,
            /// Agent that the totals are for.
            agent: VmId,
            /// Totals, one per customer.
            totals: Vec<FleetTotal>,
        },
        /// Report an invariant violation.
        ReportViolation {
            /// Violated invariant and the values that violate it.
            message: String,
        },
    }
}
