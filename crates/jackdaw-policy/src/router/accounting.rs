//! Routing of service reports to account homes, and of totals back to agents.

use std::collections::BTreeMap;

use jackdaw_base::{CustomerId, MonotonicTime, ServiceReport, VmId};

use super::RouterCore;
use crate::event::RouterCommand;
use crate::rendezvous::rendezvous_first;
use crate::subset::home_routers;

impl RouterCore {
    pub(super) fn add_peer(&mut self, router: VmId) {
        if let Err(position) = self.peers.binary_search(&router) {
            self.peers.insert(position, router);
            self.update_homes();
        }
    }

    pub(super) fn remove_peer(&mut self, router: VmId) {
        if let Ok(position) = self.peers.binary_search(&router) {
            self.peers.remove(position);
            self.update_homes();
        }
    }

    /// Records reports of customers whose account home is this router and forwards the others.
    pub(super) fn route_reports(
        &mut self,
        now: MonotonicTime,
        sender: VmId,
        reports: Vec<ServiceReport>,
        commands: &mut Vec<RouterCommand>,
    ) {
        if !self.agents.contains_key(&sender) {
            if self.peers.binary_search(&sender).is_err() {
                return;
            }
            self.schedule_totals(now);
            // Forwarded reports are never forwarded again, so that routers with different views of
            // the fleet cannot form a loop.
            for report in &reports {
                self.accounts.record_report(now, Some(sender), report);
            }
            return;
        }
        self.schedule_totals(now);
        let mut forwards: BTreeMap<VmId, Vec<ServiceReport>> = BTreeMap::new();
        for report in reports {
            let home = self.home_of(report.customer);
            if home == self.vm {
                self.accounts.record_report(now, None, &report);
            } else {
                forwards.entry(home).or_default().push(report);
            }
        }
        for (router, reports) in forwards {
            commands.push(RouterCommand::ForwardReports { router, reports });
        }
    }

    pub(super) fn send_totals(&mut self, now: MonotonicTime, commands: &mut Vec<RouterCommand>) {
        if self.accounts.is_empty() || now < self.next_totals {
            return;
        }
        self.next_totals = now.after(self.policy.totals_interval);
        for batch in self.accounts.collect_batches(now) {
            let agent = batch.agent;
            let totals = batch.totals;
            match batch.via {
                Some(router) => {
                    commands.push(RouterCommand::ForwardTotals { router, agent, totals });
                }
                None => commands.push(RouterCommand::SendTotals { agent, totals }),
            }
        }
    }

    fn schedule_totals(&mut self, now: MonotonicTime) {
        if self.accounts.is_empty() {
            self.next_totals = now.after(self.policy.totals_interval);
        }
    }

    fn home_of(&self, customer: CustomerId) -> VmId {
        rendezvous_first(customer.0, &self.homes).unwrap_or(self.vm)
    }

    fn update_homes(&mut self) {
        let mut routers = self.peers.clone();
        routers.push(self.vm);
        self.homes = home_routers(&routers, self.policy.home_routers as usize);
        let homes = &self.homes;
        let vm = self.vm;
        self.accounts.retain(|customer| rendezvous_first(customer.0, homes) == Some(vm));
    }
}
