//! Fault injection in the fleet simulation.

use std::collections::BTreeMap;

use jackdaw_base::{OfferId, ProcessIncarnation, WorkUnits};
use jackdaw_policy::{AgentEvent, RouterEvent, RunFault};

use super::plan::FleetFault;
use super::{FleetSimulation, Run, agent_vm, customer_id, router_vm};

impl FleetSimulation {
    pub(super) fn inject_fault(&mut self, fault: FleetFault) {
        match fault {
            FleetFault::RestartAgent(index) => self.restart_agent(index),
            FleetFault::RestartRouter(index) => self.restart_router(index),
            FleetFault::PartitionRouters => self.set_partitioned(true),
            FleetFault::HealRouters => self.set_partitioned(false),
            FleetFault::PartitionFleet => self.partition_fleet(),
            FleetFault::HealFleet => self.heal_fleet(),
            FleetFault::SetShare(customer, share) => self.plan.customers[customer].share = share,
            FleetFault::PauseCustomer(customer) => {
                self.paused.insert(customer);
                self.monitor.remove_customer(customer_id(customer));
                self.last_served.remove(&customer);
            }
            FleetFault::ResumeCustomer(customer) => {
                self.paused.remove(&customer);
                self.monitor.add_customer(customer_id(customer));
                self.last_served.insert(customer, self.now);
                for router in self.plan.customers[customer].routers.clone() {
                    self.fill_queue(customer, router);
                }
            }
        }
    }

    /// Cuts or restores the links between routers with even and odd indices.
    fn set_partitioned(&mut self, partitioned: bool) {
        for index in 0..self.plan.routers {
            for other in (0..self.plan.routers).filter(|other| other % 2 != index % 2) {
                let router = router_vm(other);
                self.deliver_to_router(
                    index,
                    match partitioned {
                        true => RouterEvent::PeerLost { router },
                        false => RouterEvent::PeerJoined { router },
                    },
                );
            }
        }
        self.partitioned = partitioned;
    }

    /// Returns the links between routers and agents that cross the partition.
    fn links_across(&self) -> Vec<(usize, usize)> {
        let pairs = self.links.iter().enumerate();
        let pairs =
            pairs.flat_map(|(router, agents)| agents.iter().map(move |agent| (router, *agent)));
        pairs.filter(|(router, agent)| router % 2 != agent % 2).collect()
    }

    fn partition_fleet(&mut self) {
        self.set_partitioned(true);
        for (index, agent) in self.links_across() {
            let router = router_vm(index);
            let lost_runs = self.take_runs(agent, index);
            self.deliver_to_router(index, RouterEvent::AgentLost { agent: agent_vm(agent) });
            for (offer, run) in lost_runs {
                let units = WorkUnits(run.completed);
                self.deliver_to_agent(agent, AgentEvent::RunEnded { offer, units });
                let fault = RunFault::Interrupted;
                let request = offer.request;
                self.deliver_to_router(
                    index,
                    RouterEvent::RunFailed { request, fault, repeatable: true },
                );
            }
            self.deliver_to_agent(agent, AgentEvent::RouterLost { router });
        }
    }

    fn heal_fleet(&mut self) {
        self.set_partitioned(false);
        for (router, agent) in self.links_across() {
            self.connect(router, agent);
        }
    }

    fn restart_agent(&mut self, index: usize) {
        let node = self.agent_node(index);
        let old = std::mem::replace(&mut self.agents[index], node);
        self.running -= old.runs.len() as u64;
        let agent = agent_vm(index);
        for router in 0..self.plan.routers {
            if !self.links[router].contains(&index) {
                continue;
            }
            self.deliver_to_router(router, RouterEvent::AgentLost { agent });
            for (offer, _) in old.runs.iter().filter(|(_, run)| run.router == router_vm(router)) {
                let fault = RunFault::Interrupted;
                let request = offer.request;
                self.deliver_to_router(
                    router,
                    RouterEvent::RunFailed { request, fault, repeatable: true },
                );
            }
            self.connect(router, index);
        }
    }

    fn restart_router(&mut self, index: usize) {
        let vm = router_vm(index);
        let old = ProcessIncarnation(self.incarnations[&vm]);
        self.requests.retain(|request, _| request.router != old);
        self.routers[index] = self.router_node(index);
        for agent in 0..self.plan.agents {
            let lost_runs = self.take_runs(agent, index);
            for (offer, run) in lost_runs {
                let units = WorkUnits(run.completed);
                self.deliver_to_agent(agent, AgentEvent::RunEnded { offer, units });
            }
            self.deliver_to_agent(agent, AgentEvent::RouterLost { router: vm });
        }
        self.connect_router(index);
    }

    /// Removes and returns the runs of one router at an agent.
    fn take_runs(&mut self, agent: usize, router: usize) -> BTreeMap<OfferId, Run> {
        let runs = std::mem::take(&mut self.agents[agent].runs);
        let vm = router_vm(router);
        let (taken, kept) = runs.into_iter().partition(|(_, run)| run.router == vm);
        self.agents[agent].runs = kept;
        let taken: BTreeMap<OfferId, Run> = taken;
        self.running -= taken.len() as u64;
        taken
    }
}
