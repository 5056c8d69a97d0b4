//! Faults of the small in-memory fleet.

use std::collections::BTreeMap;

use jackdaw_base::{OfferId, ProcessIncarnation, WorkUnits};
use jackdaw_policy::{AgentEvent, RouterEvent, RunFault};

use super::plan::FleetFault;
use super::{Fleet, Run, agent_vm, customer_id, router_vm};

impl Fleet {
    pub(super) fn fault(&mut self, fault: FleetFault) {
        match fault {
            FleetFault::RestartAgent(index) => self.restart_agent(index),
            FleetFault::RestartRouter(index) => self.restart_router(index),
            FleetFault::CutRouters => self.set_cut(true),
            FleetFault::JoinRouters => self.set_cut(false),
            FleetFault::SplitFleet => self.split(),
            FleetFault::MendFleet => self.mend(),
            FleetFault::SetShare(customer, share) => self.plan.customers[customer].share = share,
            FleetFault::PauseCustomer(customer) => {
                self.paused.insert(customer);
                self.monitor.remove_customer(customer_id(customer));
                self.served.remove(&customer);
            }
            FleetFault::ResumeCustomer(customer) => {
                self.paused.remove(&customer);
                self.monitor.add_customer(customer_id(customer));
                self.served.insert(customer, self.now);
                for router in self.plan.customers[customer].routers.clone() {
                    self.fill(customer, router);
                }
            }
        }
    }

    fn set_cut(&mut self, cut: bool) {
        for index in 0..self.plan.routers {
            for other in (0..self.plan.routers).filter(|other| other % 2 != index % 2) {
                let router = router_vm(other);
                self.tell_router(
                    index,
                    match cut {
                        true => RouterEvent::PeerLost { router },
                        false => RouterEvent::PeerJoined { router },
                    },
                );
            }
        }
        self.cut = cut;
    }

    fn across(&self) -> Vec<(usize, usize)> {
        let pairs = self.links.iter().enumerate();
        let pairs =
            pairs.flat_map(|(router, agents)| agents.iter().map(move |agent| (router, *agent)));
        pairs.filter(|(router, agent)| router % 2 != agent % 2).collect()
    }

    fn split(&mut self) {
        self.set_cut(true);
        for (index, agent) in self.across() {
            let router = router_vm(index);
            let gone = self.take_runs(agent, index);
            self.tell_router(index, RouterEvent::AgentLost { agent: agent_vm(agent) });
            for (offer, run) in gone {
                let units = WorkUnits(run.done);
                self.tell_agent(agent, AgentEvent::RunEnded { offer, units });
                let fault = RunFault::Interrupted;
                let request = offer.request;
                self.tell_router(
                    index,
                    RouterEvent::RunFailed { request, fault, repeatable: true },
                );
            }
            self.tell_agent(agent, AgentEvent::RouterLost { router });
        }
    }

    fn mend(&mut self) {
        self.set_cut(false);
        for (router, agent) in self.across() {
            self.link(router, agent);
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
            self.tell_router(router, RouterEvent::AgentLost { agent });
            for (offer, _) in old.runs.iter().filter(|(_, run)| run.router == router_vm(router)) {
                let fault = RunFault::Interrupted;
                let request = offer.request;
                self.tell_router(
                    router,
                    RouterEvent::RunFailed { request, fault, repeatable: true },
                );
            }
            self.link(router, index);
        }
    }

    fn restart_router(&mut self, index: usize) {
        let vm = router_vm(index);
        let old = ProcessIncarnation(self.incarnations[&vm]);
        self.requests.retain(|request, _| request.router != old);
        self.routers[index] = self.router_node(index);
        for agent in 0..self.plan.agents {
            let gone = self.take_runs(agent, index);
            for (offer, run) in gone {
                let units = WorkUnits(run.done);
                self.tell_agent(agent, AgentEvent::RunEnded { offer, units });
            }
            self.tell_agent(agent, AgentEvent::RouterLost { router: vm });
        }
        self.join(index);
    }
    /// Ends the runs at an agent that came from one router.
    fn take_runs(&mut self, agent: usize, router: usize) -> BTreeMap<OfferId, Run> {
        let runs = std::mem::take(&mut self.agents[agent].runs);
        let vm = router_vm(router);
        let (gone, kept) = runs.into_iter().partition(|(_, run)| run.router == vm);
        self.agents[agent].runs = kept;
        let gone: BTreeMap<OfferId, Run> = gone;
        self.running -= gone.len() as u64;
        gone
    }
}
