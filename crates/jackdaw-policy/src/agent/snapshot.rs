//! What an agent shows of its state.

use jackdaw_base::{CustomerId, NormalisedService, ProcessIncarnation, VmId, plain_data};

use super::AgentCore;
use crate::event::SharePolicy;

plain_data! {
    /// What an agent shows of one customer.
    pub struct AgentCustomer {
        /// The customer.
        pub customer: CustomerId,
        /// The offers that wait.
        pub waiting: u32,
        /// The requests that are granted or running.
        pub active: u32,
        /// The service given here, reservations included.
        pub given: NormalisedService,
        /// The counter that decides its turn.
        pub counter: NormalisedService,
    }
}

plain_data! {
    /// State of an agent's decisions.
    pub struct AgentSnapshot {
        /// The agent's VM.
        pub vm: VmId,
        /// The agent's incarnation.
        pub incarnation: ProcessIncarnation,
        /// The rule by which waiting offers are chosen.
        pub share_policy: SharePolicy,
        /// The present limit of places.
        pub places: u32,
        /// The requests that are granted and not yet running.
        pub granted: u32,
        /// The requests that run.
        pub running: u32,
        /// The offers that wait.
        pub waiting: u32,
        /// The routers with an open link.
        pub routers: Vec<VmId>,
        /// Whether the agent is leaving.
        pub draining: bool,
        /// The agent's virtual time.
        pub virtual_time: NormalisedService,
        /// The customers that are known.
        pub customers: Vec<AgentCustomer>,
    }
}

impl AgentCore {
    /// Returns the state for a dump.
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
