//! Requests of customers and their runs on agents in the fleet simulation.

use std::time::Duration;

use jackdaw_base::{
    CustomerShare, ErrorKind, NormalisedService, OfferId, ProcessIncarnation, RequestClass,
    RequestId, RequestOutcome, VmId, WorkUnits,
};
use jackdaw_policy::{AgentEvent, ArrivedRequest, RouterEvent, RunFault};
use rand::Rng;

use super::links::{ROUTER_BASE, agent_vm, customer_id, router_vm};
use super::plan::{COST_MAX, HintError, PLACE_RATE};
use super::{FleetSimulation, RUN_DELAY, Run, SECOND, SERVICE, SimulationEvent};

/// Interval between two progress reports of a run, in microseconds.
const PROGRESS_INTERVAL: u64 = SECOND / 4;

impl FleetSimulation {
    pub(super) fn submit_request(&mut self, customer: usize, router: usize) {
        if self.paused.contains(&customer) {
            return;
        }
        let load = &self.plan.customers[customer];
        let is_long = self.rng.random_bool(0.4);
        let mean = if is_long { 800.0 } else { 60.0 };
        let sample: f64 = self.rng.random_range(0.001_f64..1.0);
        let cost = ((-sample.ln() * mean) as u64).clamp(1, COST_MAX);
        let hint = match load.hint {
            HintError::Rough => cost * self.rng.random_range(50..200) / 100,
            HintError::Tenfold if self.rng.random_bool(0.5) => cost * 10,
            HintError::Tenfold => cost / 10,
            HintError::Low => 1,
        };
        let incarnation = ProcessIncarnation(self.incarnations[&router_vm(router)]);
        self.routers[router].sequence += 1;
        let id = RequestId { router: incarnation, sequence: self.routers[router].sequence };
        let request = ArrivedRequest {
            id,
            customer: customer_id(customer),
            share: CustomerShare(load.share),
            queue_limit: u32::MAX,
            service: SERVICE,
            class: if is_long { RequestClass::Long } else { RequestClass::Short },
            hint: WorkUnits(hint),
            prefix: 0,
            patience: Duration::from_secs(7_200),
        };
        self.requests.insert(id, (customer, cost));
        self.deliver_to_router(router, RouterEvent::RequestArrived { request });
    }

    pub(super) fn record_answer(&mut self, router: usize, request: RequestId, kind: ErrorKind) {
        let Some((customer, _)) = self.requests.remove(&request) else {
            self.result.violations.push(format!("request {request} was answered twice"));
            return;
        };
        if kind.outcome() == RequestOutcome::NotRun && self.started_requests.contains(&request) {
            self.result
                .violations
                .push(format!("request {request} ran but was answered with {kind}"));
        }
        self.schedule(self.now + SECOND / 10, SimulationEvent::SubmitRequest(customer, router));
    }

    pub(super) fn start_run(&mut self, agent: usize, router: VmId, offer: OfferId) {
        if !self.agents[agent].core.holds_grant(router, offer) {
            let fault = RunFault::Refused(ErrorKind::NotReady);
            let event = RouterEvent::RunFailed { request: offer.request, fault, repeatable: true };
            self.report_run_end(agent, router, event);
            return;
        }
        let Some((customer, cost)) = self.requests.get(&offer.request).copied() else {
            self.result.violations.push(format!("request {} ran after its answer", offer.request));
            return;
        };
        self.started_requests.insert(offer.request);
        self.running += 1;
        let run = Run { router, customer, cost, completed: 0, started: self.now };
        self.agents[agent].runs.insert(offer, run);
        self.deliver_to_agent(agent, AgentEvent::RunStarted { offer });
        self.advance_run(agent, offer);
    }

    /// Generates the tokens of a run that are due, and ends the run with its last token.
    pub(super) fn advance_run(&mut self, agent: usize, offer: OfferId) {
        let now = self.now;
        let Some(run) = self.agents[agent].runs.get_mut(&offer) else {
            return;
        };
        let completed = ((now - run.started) * PLACE_RATE / SECOND).min(run.cost);
        let share = CustomerShare(self.plan.customers[run.customer].share);
        let service = NormalisedService::from_units(WorkUnits(completed - run.completed), share);
        self.monitor.record_service(customer_id(run.customer), service);
        if completed > run.completed
            && let Some(last_served) = self.last_served.get_mut(&run.customer)
        {
            *last_served = now;
        }
        run.completed = completed;
        let units = WorkUnits(completed);
        if completed < run.cost {
            let end = run.started + (run.cost * SECOND).div_ceil(PLACE_RATE);
            let endpoints = self.endpoints(agent_vm(agent), agent_vm(agent));
            self.schedule_between(
                end.min(now + PROGRESS_INTERVAL),
                endpoints,
                SimulationEvent::AdvanceRun(agent, offer),
            );
            self.deliver_to_agent(agent, AgentEvent::RunProgressed { offer, units });
            return;
        }
        let router = run.router;
        self.agents[agent].runs.remove(&offer);
        self.requests.remove(&offer.request);
        self.running -= 1;
        self.deliver_to_agent(agent, AgentEvent::RunEnded { offer, units });
        self.report_run_end(
            agent,
            router,
            RouterEvent::RunCompleted { request: offer.request, units },
        );
    }

    pub(super) fn report_run_end(&mut self, agent: usize, router: VmId, event: RouterEvent) {
        let endpoints = self.endpoints(agent_vm(agent), router);
        let index = (router.0 - ROUTER_BASE) as usize;
        self.schedule_between(
            self.now + RUN_DELAY,
            endpoints,
            SimulationEvent::Router(index, event),
        );
    }
}
