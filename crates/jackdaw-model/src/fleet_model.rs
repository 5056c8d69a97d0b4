//! Routers with the real decision code before model engines, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{
    CallerLimits, DirectPolicy, DirectRequest, DirectRouter, FleetConfig, PeerReport, Placement,
    RequestKind, RouteConfig, RunId, RunOutcome, ServiceConfig, ServiceWeight, TargetChange,
    TargetEntry, TargetId, TargetState,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engine_model::{EngineEvent, EngineShape, ModelEngine, ModelRun};
use crate::load_pattern::ModelCall;
use crate::model_report::{CallOutcome, ModelReport};

/// The name of the one service.
const SERVICE: &str = "assistant";

/// Pause between two reports of a router, as in the edge router.
const REPORT_PERIOD_MICROS: u64 = 100_000;

/// The time that a report or an event takes to its receiver.
const MESSAGE_MICROS: u64 = 1_000;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRule {
    /// By the product's decisions.
    Product,
    /// At random, never refused: the baseline.
    Random,
}

/// Sizes of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// The routers.
    pub routers: usize,
    /// The engines.
    pub engines: usize,
    /// The engines' sizes and speeds.
    pub engine: EngineShape,
    /// Every which engine is slower, and by which factor.
    pub slow_every: usize,
    /// The factor of the slower engines' times.
    pub slow_factor: f64,
    /// The tokens a second that the engines are stated to produce together.
    pub tokens_per_second: u64,
    /// The longest pause between events within which an answer is on time.
    pub pause_limit: Duration,
    /// How targets are chosen.
    pub rule: PlacementRule,
}

impl Default for FleetShape {
    /// A fleet of the size that both users run.
    fn default() -> FleetShape {
        FleetShape {
            routers: 8,
            engines: 12,
            engine: EngineShape::default(),
            slow_every: 3,
            slow_factor: 1.3,
            tokens_per_second: 440_000,
            pause_limit: Duration::from_millis(400),
            rule: PlacementRule::Product,
        }
    }
}

/// Something that happens at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrival { call: usize },
    StepEnd { engine: usize },
    Report { router: usize },
}

/// The state of one request.
#[derive(Debug, Clone, Copy, Default)]
struct CallState {
    router: usize,
    run: Option<RunId>,
    first_event: Option<u64>,
    last_event: u64,
    longest_pause: u64,
    is_finished: bool,
    is_refused: bool,
}

/// A fleet in virtual time.
pub struct ModelFleet {
    shape: FleetShape,
    routers: Vec<DirectRouter>,
    engines: Vec<ModelEngine>,
    targets: Vec<TargetId>,
    busy: Vec<bool>,
    pending: Vec<Vec<EngineEvent>>,
    queue: BinaryHeap<Reverse<(u64, ModelEvent)>>,
    calls: Vec<ModelCall>,
    states: Vec<CallState>,
    random: ChaCha8Rng,
}

impl ModelFleet {
    /// Plays a load until the last request has arrived and half a minute more.
    pub fn play(shape: FleetShape, calls: Vec<ModelCall>, seed: u64) -> ModelReport {
        let mut fleet = ModelFleet::new(shape, calls, seed);
        let end = fleet.calls.last().map_or(0, |call| call.arrival) + 30_000_000;
        while let Some(Reverse((time, event))) = fleet.queue.pop() {
            if time > end {
                break;
            }
            match event {
                ModelEvent::Arrival { call } => fleet.arrive(time, call),
                ModelEvent::StepEnd { engine } => fleet.end_step(time, engine),
                ModelEvent::Report { router } => fleet.exchange(time, router),
            }
        }
        fleet.report()
    }

    fn new(shape: FleetShape, calls: Vec<ModelCall>, seed: u64) -> ModelFleet {
        let entries: Vec<TargetEntry> = (0..shape.engines).map(target_entry).collect();
        let routers = (0..shape.routers).map(|index| model_router(index, &shape, &entries));
        let engines = (0..shape.engines).map(|index| ModelEngine::new(engine_shape(&shape, index)));
        let mut queue = BinaryHeap::new();
        for (index, call) in calls.iter().enumerate() {
            queue.push(Reverse((call.arrival, ModelEvent::Arrival { call: index })));
        }
        for router in 0..shape.routers {
            // Routers do not report in step.
            let offset = REPORT_PERIOD_MICROS * router as u64 / shape.routers as u64;
            queue.push(Reverse((offset, ModelEvent::Report { router })));
        }
        ModelFleet {
            shape,
            routers: routers.collect(),
            engines: engines.collect(),
            targets: entries.iter().map(TargetEntry::id).collect(),
            busy: vec![false; shape.engines],
            pending: vec![Vec::new(); shape.engines],
            queue,
            states: vec![CallState::default(); calls.len()],
            calls,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, time: u64, index: usize) {
        let router = self.random.random_range(0..self.shape.routers);
        self.states[index].router = router;
        let call = &self.calls[index];
        let arrived = DirectRequest {
            customer: Some(call.customer),
            rank: 0,
            service: SERVICE,
            prompt: Some(&call.prompt),
            time_left: Duration::from_secs(15),
            fingerprint: index as u64,
        };
        let now = MonotonicTime(time);
        let core = &mut self.routers[router];
        core.record_arrival(now, &arrived);
        let placement = match self.shape.rule {
            PlacementRule::Product => core.place(now, &arrived, &[]),
            PlacementRule::Random => {
                let target = self.targets[self.random.random_range(0..self.targets.len())];
                Placement::Send { target, expected: Duration::ZERO, prefill_tokens: 0 }
            }
        };
        let Placement::Send { target, prefill_tokens, .. } = placement else {
            self.states[index].is_refused = true;
            return;
        };
        let run = core.start_run(now, &arrived, target, prefill_tokens);
        self.states[index].run = Some(run);
        let run = ModelRun::new(index, call.prompt.clone(), call.output_tokens);
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
        self.pending[engine] = events;
        self.queue.push(Reverse((time + micros, ModelEvent::StepEnd { engine })));
    }

    fn end_step(&mut self, time: u64, engine: usize) {
        let now = MonotonicTime(time + MESSAGE_MICROS);
        for event in std::mem::take(&mut self.pending[engine]) {
            match event {
                EngineEvent::Started { call } => {
                    self.note_event(call, now.0);
                    self.tell(call, |router, run| router.record_response(now, run));
                }
                EngineEvent::Continued { call } => self.note_event(call, now.0),
                EngineEvent::Finished { call } => {
                    self.note_event(call, now.0);
                    self.states[call].is_finished = true;
                    self.tell(call, |router, run| {
                        router.end_run(now, run, RunOutcome::Whole);
                    });
                }
            }
        }
        self.begin_step(time, engine);
    }

    fn note_event(&mut self, call: usize, time: u64) {
        let state = &mut self.states[call];
        match state.first_event {
            None => state.first_event = Some(time),
            Some(_) => {
                state.longest_pause = state.longest_pause.max(time - state.last_event);
            }
        }
        state.last_event = time;
    }

    fn tell(&mut self, call: usize, action: impl FnOnce(&mut DirectRouter, RunId)) {
        let state = &self.states[call];
        if let Some(run) = state.run {
            action(&mut self.routers[state.router], run);
        }
    }

    fn exchange(&mut self, time: u64, router: usize) {
        let now = MonotonicTime(time);
        let report: PeerReport = self.routers[router].report(now);
        let heard = MonotonicTime(time + MESSAGE_MICROS);
        for (index, other) in self.routers.iter_mut().enumerate() {
            if index != router {
                other.apply_report(heard, &report);
            }
        }
        self.routers[router].expire(now);
        let next = time + REPORT_PERIOD_MICROS;
        self.queue.push(Reverse((next, ModelEvent::Report { router })));
    }

    fn report(&self) -> ModelReport {
        let mut report = ModelReport::default();
        for (call, state) in self.calls.iter().zip(&self.states) {
            let outcome = self.outcome(call, state);
            report.add(call.customer, call.kind, outcome, call.prompt.charged_tokens());
        }
        for engine in &self.engines {
            report.tokens_read += engine.tokens_read;
            report.shared_tokens_read += engine.shared_tokens_read;
        }
        report
    }

    fn outcome(&self, call: &ModelCall, state: &CallState) -> CallOutcome {
        let Some(first) = state.first_event.filter(|_| state.is_finished) else {
            return if state.is_refused { CallOutcome::Refused } else { CallOutcome::Open };
        };
        let is_prompt = Duration::from_micros(first - call.arrival) <= call.latency_objective;
        let is_steady = Duration::from_micros(state.longest_pause) <= self.shape.pause_limit;
        if is_prompt && is_steady { CallOutcome::OnTime } else { CallOutcome::Late }
    }
}

fn engine_shape(shape: &FleetShape, index: usize) -> EngineShape {
    let mut engine = shape.engine;
    if shape.slow_every > 0 && index % shape.slow_every == shape.slow_every - 1 {
        engine.step_micros *= shape.slow_factor;
        engine.slot_micros *= shape.slow_factor;
        engine.read_micros *= shape.slow_factor;
    }
    engine
}

fn target_entry(index: usize) -> TargetEntry {
    TargetEntry {
        name: format!("engine-{index}"),
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + index as u16)),
        domain: format!("domain-{}", index % 3),
        slots: EngineShape::default().slots as u32,
        state: TargetState::Ready,
        started_unix_ms: 1,
        revision: 1 + index as u64,
    }
}

fn model_router(index: usize, shape: &FleetShape, entries: &[TargetEntry]) -> DirectRouter {
    let policy = DirectPolicy {
        domain: format!("domain-{}", index % 3),
        share_window: Duration::from_secs(4),
        repeat_window: Duration::from_secs(10),
        repeat_ratio: 0.2,
        repeat_allowance: 100,
    };
    let now = MonotonicTime(0);
    let mut router = DirectRouter::new(now, policy, ProcessIncarnation(1 + index as u64));
    router.install_config(model_config(shape));
    for entry in entries {
        let mut entry = entry.clone();
        entry.slots = shape.engine.slots as u32;
        router.targets.apply(now, TargetChange::Present(entry));
    }
    router
}

fn model_config(shape: &FleetShape) -> FleetConfig {
    let route = RouteConfig {
        name: "assistant".to_owned(),
        host: "assistant.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: Duration::from_secs(15),
        latency_objective: Duration::from_millis(500),
        priority: 0,
        max_attempts: 1,
        is_public: true,
        services: vec![ServiceWeight { service: SERVICE.to_owned(), weight: 1 }],
    };
    FleetConfig {
        version: 1,
        routes: vec![route],
        services: vec![ServiceConfig {
            name: SERVICE.to_owned(),
            connection_limit: 1000,
            memory_tokens: Some(shape.engine.memory_tokens),
        }],
        customers: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 22,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: shape.tokens_per_second,
        },
    }
}
