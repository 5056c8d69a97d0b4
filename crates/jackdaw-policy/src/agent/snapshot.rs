//! State of an agent for dumps.

use jackdaw_base::{CustomerId, NormalisedService, ProcessIncarnation, VmId, plain_data};

use super::AgentCore;
use crate::event::SharePolicy;

plain_data! {
    /// Account of one customer at an agent.
    pub struct AgentCustomer {
        /// Identifier of the customer.
        pub customer: CustomerId,
        /// Number of waiting offers.
        pub waiting: u32,
        /// Number of requests that are granted or running.
        pub active: u32,
        /// Normalised service charged at this agent, including reservations.
        pub given: NormalisedService,
        /// Counter by which customers are ordered: the known fleet total with this agent's part
        /// kept current.
        pub counter: NormalisedService,
    }
}

plain_data! {
    /// Scheduling state of an agent.
    pub struct AgentSnapshot {
        /// VM of the agent.
        pub vm: VmId,
        /// Incarnation of the agent's process.
        pub incarnation: ProcessIncarnation,
        /// Policy that selects the next waiting offer to grant.
        pub share_policy: SharePolicy,
        /// Current adaptive limit on places.
        pub places: u32,
        /// Number of requests that are granted and not yet running.
        pub granted: u32,
        /// Number of running requests.
        pub running: u32,
        /// Number of waiting offers.
        pub waiting: u32,
        /// Routers with an open link.
        pub routers: Vec<VmId>,
        /// Whether the agent is draining: it grants no further offers.
        pub draining: bool,
        /// Virtual time of the fair queue: the lowest counter of a waiting customer when an offer
        /// was last taken from the queue.
        pub virtual_time: NormalisedService,
        /// Customers with an account at this agent.
        pub customers: Vec<AgentCustomer>,
    }
}

impl AgentCore {
    /// Returns a snapshot of the state for a dump.
    pub fn snapshot(&self) -> AgentSnapshot {
        let mut customers = Vec::with_capacity(self.queue.accounts().len());
        for (customer, account) in self.queue.accounts() {
            customers.push(AgentCustomer {
                customer: *customer,
                waiting: account.waiting,
                active: account.active,
                given: account.given,
                counter: self.queue.counter(*customer),
            });
        }
        AgentSnapshot {
            vm: self.vm,
            incarnation: self.incarnation,
            share_policy: self.policy.share_policy,
            places: self.limit.places(),
            granted: self.granted,
            running: self.running,
            waiting: self.queue.len() as u32,
            routers: self.routers.clone(),
            draining: self.draining,
            virtual_time: self.queue.virtual_time(),
            customers,
        }
    }
}
