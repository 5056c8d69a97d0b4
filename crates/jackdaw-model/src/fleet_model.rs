//! Simulation of routers with the production decision code in front of model engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, VmId};
use jackdaw_policy::direct::{
    CallerLimits, ColdTolerance, DirectPolicy, DirectRequest, DirectRouter, DomainRegions,
    FleetConfig, HomeRule, PeerReport, Placement, RequestKind, RouteConfig, RunId, RunOutcome,
    ServiceConfig, ServiceWeight, TargetChange, TargetEntry, TargetId, TargetState, VersionRule,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine_model::{EngineEvent, EngineProfile, ModelEngine, ModelRun};
use crate::load_pattern::ModelRequest;
use crate::model_report::{ModelReport, RequestOutcome};

/// Service of all engines.
const SERVICE: &str = "assistant";

/// Interval between two reports of a router, as in the edge router.
const REPORT_PERIOD_MICROS: u64 = 100_000;

/// Network latency of reports and events, and of requests to idle engines.
const MESSAGE_MICROS: u64 = 1_000;

/// Algorithm that chooses targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// The production decision code.
    Product,
    /// A random target without admission control, as the baseline.
    Random,
}

/// Size and configuration of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetProfile {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Profile of the engines that are not slowed down.
    pub engine: EngineProfile,
    /// Interval of slow engines: every n-th engine is slow, and none if 0.
    pub slow_every: usize,
    /// Factor by which all times of a slow engine are multiplied.
    pub slow_factor: f64,
    /// Configured capacity of the fleet in tokens per second.
    pub tokens_per_second: u64,
    /// Maximum gap between two events of an answer that is on time.
    pub event_gap_limit: Duration,
    /// The same gap as routes state it to the routers; `None` if they state none.
    pub pause_objective: Option<Duration>,
    /// Algorithm that chooses targets.
    pub rule: PlacementRule,
}

impl Default for FleetProfile {
    /// Returns the profile of a fleet of the size that both known deployments run.
    fn default() -> FleetProfile {
        FleetProfile {
            routers: 8,
            engines: 12,
            engine: EngineProfile::default(),
            slow_every: 3,
            slow_factor: 1.3,
            tokens_per_second: 440_000,
            event_gap_limit: Duration::from_millis(400),
            pause_objective: None,
            rule: PlacementRule::Product,
        }
    }
}

/// Scheduled event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival { request: usize },
    StepEnd { engine: usize },
    Report { router: usize },
}

/// Progress of one request; times are in microseconds.
#[derive(Debug, Clone, Copy, Default)]
struct RequestState {
    router: usize,
    run: Option<RunId>,
    first_event: Option<u64>,
    last_event: u64,
    longest_gap: u64,
    gaps: u32,
    is_finished: bool,
    is_refused: bool,
}

/// Simulated fleet that advances in virtual time.
pub struct ModelFleet {
    profile: FleetProfile,
    routers: Vec<DirectRouter>,
    engines: Vec<ModelEngine>,
    targets: Vec<TargetId>,
    /// Whether each engine has a step in progress.
    busy: Vec<bool>,
    /// Events that each engine sends at the end of its current step.
    step_events: Vec<Vec<EngineEvent>>,
    queue: BinaryHeap<Reverse<(u64, ModelEvent)>>,
    requests: Vec<ModelRequest>,
    states: Vec<RequestState>,
    rng: ChaCha8Rng,
}

impl ModelFleet {
    /// Simulates a load until 30 seconds after the last arrival.
    pub fn simulate(profile: FleetProfile, requests: Vec<ModelRequest>, seed: u64) -> ModelReport {
        let mut fleet = ModelFleet::new(profile, requests, seed);
        let end = fleet.requests.last().map_or(0, |request| request.arrival) + 30_000_000;
        while let Some(Reverse((time, event))) = fleet.queue.pop() {
            if time > end {
                break;
            }
            match event {
                ModelEvent::Arrival { request } => fleet.handle_arrival(time, request),
                ModelEvent::StepEnd { engine } => fleet.end_step(time, engine),
                ModelEvent::Report { router } => fleet.broadcast_report(time, router),
            }
        }
        fleet.report()
    }

    fn new(profile: FleetProfile, requests: Vec<ModelRequest>, seed: u64) -> ModelFleet {
        let entries: Vec<TargetEntry> = (0..profile.engines).map(target_entry).collect();
        let routers = (0..profile.routers).map(|index| model_router(index, &profile, &entries));
        let engines =
            (0..profile.engines).map(|index| ModelEngine::new(engine_profile(&profile, index)));
        let mut queue = BinaryHeap::new();
        for (index, request) in requests.iter().enumerate() {
            queue.push(Reverse((request.arrival, ModelEvent::Arrival { request: index })));
        }
        for router in 0..profile.routers {
            // Staggers the reports, since real routers are not synchronized.
            let offset = REPORT_PERIOD_MICROS * router as u64 / profile.routers as u64;
            queue.push(Reverse((offset, ModelEvent::Report { router })));
        }
        ModelFleet {
            profile,
            routers: routers.collect(),
            engines: engines.collect(),
            targets: entries.iter().map(TargetEntry::id).collect(),
            busy: vec![false; profile.engines],
            step_events: vec![Vec::new(); profile.engines],
            queue,
            states: vec![RequestState::default(); requests.len()],
            requests,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn handle_arrival(&mut self, time: u64, index: usize) {
        let router_index = self.rng.random_range(0..self.profile.routers);
        self.states[index].router = router_index;
        let request = &self.requests[index];
        let direct_request = DirectRequest {
            customer: Some(request.customer),
            rank: 0,
            service: SERVICE,
            prompt: Some(&request.prompt),
            time_left: Duration::from_secs(15),
            fingerprint: index as u64,
            homes: HomeRule::default(),
            version_rule: VersionRule::Any,
        };
        let now = MonotonicTime(time);
        let router = &mut self.routers[router_index];
        router.record_arrival(now, &direct_request);
        let placement = match self.profile.rule {
            PlacementRule::Product => router.place(now, &direct_request, &[]),
            PlacementRule::Random => {
                let target = self.targets[self.rng.random_range(0..self.targets.len())];
                Placement::Send {
                    target,
                    expected: Duration::ZERO,
                    prefill_tokens: 0,
                    cache_source: None,
                }
            }
        };
        let Placement::Send { target, prefill_tokens, .. } = placement else {
            self.states[index].is_refused = true;
            return;
        };
        let run = router.start_run(now, &direct_request, target, prefill_tokens);
        self.states[index].run = Some(run);
        let run = ModelRun::new(index, request.prompt.clone(), request.output_tokens);
        let Some(engine) = self.targets.iter().position(|known| *known == target) else {
            return;
        };
        self.engines[engine].push(run);
        if !self.busy[engine] {
            self.begin_step(time + MESSAGE_MICROS, engine);
        }
    }

    fn begin_step(&mut self, time: u64, engine: usize) {
        self.busy[engine] = !self.engines[engine].is_idle();
        if !self.busy[engine] {
            return;
        }
        let (micros, events) = self.engines[engine].advance();
        self.step_events[engine] = events;
        self.queue.push(Reverse((time + micros, ModelEvent::StepEnd { engine })));
    }

    fn end_step(&mut self, time: u64, engine: usize) {
        let now = MonotonicTime(time + MESSAGE_MICROS);
        for event in std::mem::take(&mut self.step_events[engine]) {
            match event {
                EngineEvent::Started { request } => {
                    self.record_event(request, now.0);
                    self.update_router(request, |router, run| router.record_response(now, run));
                }
                EngineEvent::Continued { request } => self.record_event(request, now.0),
                EngineEvent::Finished { request } => {
                    self.record_event(request, now.0);
                    self.states[request].is_finished = true;
                    let RequestState { gaps, longest_gap, .. } = self.states[request];
                    let pause = Duration::from_micros(longest_gap);
                    let objective = self.profile.pause_objective;
                    self.update_router(request, |router, run| {
                        router.end_run(now, run, RunOutcome::Whole);
                        if let Some(objective) = objective {
                            router.record_stream(SERVICE, gaps, pause, objective);
                        }
                    });
                }
            }
        }
        self.begin_step(time, engine);
    }

    fn record_event(&mut self, request: usize, time: u64) {
        let state = &mut self.states[request];
        match state.first_event {
            None => state.first_event = Some(time),
            Some(_) => {
                state.longest_gap = state.longest_gap.max(time - state.last_event);
                state.gaps += 1;
            }
        }
        state.last_event = time;
    }

    fn update_router(&mut self, request: usize, action: impl FnOnce(&mut DirectRouter, RunId)) {
        let state = &self.states[request];
        if let Some(run) = state.run {
            action(&mut self.routers[state.router], run);
        }
    }

    fn broadcast_report(&mut self, time: u64, router: usize) {
        let now = MonotonicTime(time);
        let report: PeerReport = self.routers[router].report(now);
        let prefills = self.routers[router].prefill_usage(now);
        let received = MonotonicTime(time + MESSAGE_MICROS);
        for (index, other) in self.routers.iter_mut().enumerate() {
            if index != router {
                other.apply_report(received, &report);
                other.apply_prefill(report.incarnation, &prefills);
            }
        }
        self.routers[router].expire(now);
        let next = time + REPORT_PERIOD_MICROS;
        self.queue.push(Reverse((next, ModelEvent::Report { router })));
    }

    fn report(&self) -> ModelReport {
        let mut report = ModelReport::default();
        for (request, state) in self.requests.iter().zip(&self.states) {
            let outcome = self.outcome(request, state);
            report.add(request.customer, request.class, outcome, request.prompt.charged_tokens());
        }
        for engine in &self.engines {
            report.prefill_tokens += engine.prefill_tokens;
            report.shared_prefill_tokens += engine.shared_prefill_tokens;
        }
        report
    }

    fn outcome(&self, request: &ModelRequest, state: &RequestState) -> RequestOutcome {
        let Some(first) = state.first_event.filter(|_| state.is_finished) else {
            return if state.is_refused {
                RequestOutcome::Refused
            } else {
                RequestOutcome::Unfinished
            };
        };
        let is_prompt = Duration::from_micros(first - request.arrival) <= request.latency_objective;
        let is_steady = Duration::from_micros(state.longest_gap) <= self.profile.event_gap_limit;
        if is_prompt && is_steady { RequestOutcome::OnTime } else { RequestOutcome::Late }
    }
}

fn engine_profile(profile: &FleetProfile, index: usize) -> EngineProfile {
    let mut engine = profile.engine;
    if profile.slow_every > 0 && index % profile.slow_every == profile.slow_every - 1 {
        engine.step_micros *= profile.slow_factor;
        engine.slot_micros *= profile.slow_factor;
        engine.prefill_micros *= profile.slow_factor;
    }
    engine
}

fn target_entry(index: usize) -> TargetEntry {
    TargetEntry {
        name: format!("engine-{index}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + index as u16)),
        domain: format!("domain-{}", index % 3),
        version: Some("v1".to_owned()),
        slots: EngineProfile::default().slots as u32,
        state: TargetState::Ready,
        started_unix_ms: 1,
        cold_left: Some(Duration::ZERO),
        revision: (1 + index as u64).into(),
    }
}

fn model_router(index: usize, profile: &FleetProfile, entries: &[TargetEntry]) -> DirectRouter {
    let policy = DirectPolicy {
        domain: format!("domain-{}", index % 3),
        vm: VmId(1),
        expects_others: false,
        regions: DomainRegions::new(),
        cold_tolerance: ColdTolerance::default(),
        has_evacuations: false,
        is_first_start: false,
        share_window: Duration::from_secs(4),
        retry_window: Duration::from_secs(10),
        retry_ratio: 0.2,
        retry_allowance: 100.0,
    };
    let now = MonotonicTime(0);
    let mut router = DirectRouter::new(policy, ProcessIncarnation(1 + index as u64));
    router.install_config(model_config(profile));
    for entry in entries {
        let mut entry = entry.clone();
        entry.slots = profile.engine.slots as u32;
        router.targets.apply(now, TargetChange::Present(entry));
    }
    router
}

fn model_config(profile: &FleetProfile) -> FleetConfig {
    let route = RouteConfig {
        name: "assistant".to_owned(),
        host: "assistant.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: Duration::from_secs(15),
        latency_objective: Duration::from_millis(500),
        pause_objective: profile.pause_objective,
        priority: 0,
        max_attempts: 1,
        is_public: true,
        homes: Vec::new(),
        services: vec![ServiceWeight { service: SERVICE.to_owned(), weight: 1 }],
    };
    FleetConfig {
        version: 1,
        routes: vec![route],
        services: vec![ServiceConfig {
            name: SERVICE.to_owned(),
            connection_limit: 1000,
            memory_tokens: Some(profile.engine.memory_tokens),
            cold_start: None,
            cache_transfer: None,
        }],
        customers: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 22,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: profile.tokens_per_second,
        },
    }
}
