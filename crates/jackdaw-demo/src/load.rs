//! Seeded load generator: tasks that send calls for each customer and record their outcomes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use jackdaw_standin::answer::LONG_ANSWER_MARKER;
use jackdaw_standin::{expected_reply, prompt_id};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::client::{CallOutcome, CallerClient, CompletionCall, ServiceCall};
use crate::fleet::{MODEL_NAME, SERVICE_PREFIX};
use crate::ledger::CallLedger;
use crate::population::{CustomerPlan, CustomerRole};

/// The deadline of every call.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

/// The maximum number of tokens in a short answer.
const SHORT_ANSWER_TOKENS: u32 = 64;

/// The maximum number of tokens in a long answer.
const LONG_ANSWER_TOKENS: u32 = 600;

/// The requests per second of the flooding customer for each engine.
const FLOOD_RATE: f64 = 30.0;

/// The requests per second of an interactive customer.
const INTERACTIVE_RATE: f64 = 8.0;

/// The reads per second.
const READ_RATE: f64 = 20.0;

/// The recordings per second.
const RECORDING_RATE: f64 = 20.0;

/// The percentage of recordings that are resent through another router.
const RESEND_PERCENT: u32 = 25;

/// The maximum delay before a recording is resent, in milliseconds.
const MAX_RESEND_DELAY_MILLIS: u64 = 40;

/// The minimum delay before a backlogged customer replaces a request that failed.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The maximum delay before a backlogged customer replaces a request that did not run.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State shared by all tasks of the load generator.
pub(crate) struct LoadState {
    /// The plans of the customers.
    plans: Vec<CustomerPlan>,
    /// The addresses of the routers.
    routers: Vec<SocketAddr>,
    /// The number of engines, to which the rate of the flooding customer is proportional.
    engines: usize,
    /// The client that sends all calls.
    client: CallerClient,
    /// The record of all calls and their outcomes.
    ledger: RefCell<CallLedger>,
    /// The number of open completions of each customer.
    open_completions: RefCell<Vec<usize>>,
    /// Whether the tasks must stop sending calls.
    is_stopped: Cell<bool>,
    /// The sequence number of the next call, which makes prompts and paths unique.
    sequence: Cell<u64>,
    /// The seed of the random number generators of all tasks.
    seed: u64,
}

impl LoadState {
    /// Creates the state before any call is sent.
    pub(crate) fn new(
        plans: Vec<CustomerPlan>,
        routers: Vec<SocketAddr>,
        engines: usize,
        seed: u64,
    ) -> LoadState {
        LoadState {
            open_completions: RefCell::new(vec![0; plans.len()]),
            plans,
            routers,
            engines,
            client: CallerClient::new(),
            ledger: RefCell::new(CallLedger::default()),
            is_stopped: Cell::new(false),
            sequence: Cell::new(0),
            seed,
        }
    }

    /// Returns the number of open completions of each customer.
    pub(crate) fn open_requests(&self) -> Vec<usize> {
        self.open_completions.borrow().clone()
    }

    /// Returns a copy of the record of all calls.
    pub(crate) fn ledger(&self) -> CallLedger {
        self.ledger.borrow().clone()
    }

    /// Makes all tasks stop sending calls.
    pub(crate) fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Returns the random number generator of a task, which has its own stream.
    fn rng(&self, task: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(task + 1);
        rng
    }

    /// Returns the sequence number for the next call.
    fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get();
        self.sequence.set(sequence + 1);
        sequence
    }

    /// Creates a random completion of a customer.
    fn random_completion(&self, plan: &CustomerPlan, rng: &mut ChaCha8Rng) -> CompletionCall {
        let sequence = self.next_sequence();
        let is_long = rng.random_range(0..100) < plan.long_answer_percent;
        let (marker, max_tokens) = if is_long {
            (LONG_ANSWER_MARKER, LONG_ANSWER_TOKENS)
        } else {
            ("", SHORT_ANSWER_TOKENS)
        };
        CompletionCall {
            model: MODEL_NAME.to_owned(),
            prompt: format!("{marker}{} asks {sequence} of {}", plan.name, self.seed),
            max_tokens,
            user: plan.name.clone(),
            deadline: CALL_DEADLINE,
        }
    }

    /// Picks a random router among those that the customer uses.
    fn random_customer_router(&self, plan: &CustomerPlan, rng: &mut ChaCha8Rng) -> SocketAddr {
        let router = plan.routers[rng.random_range(0..plan.routers.len())];
        self.routers[router]
    }

    /// Sends a completion for the customer at `index` and records its outcome.
    async fn complete(
        &self,
        index: usize,
        router: SocketAddr,
        call: CompletionCall,
    ) -> CallOutcome {
        self.open_completions.borrow_mut()[index] += 1;
        self.ledger.borrow_mut().record_sent();
        let result = self.client.complete(router, &self.plans[index].key, &call).await;
        self.open_completions.borrow_mut()[index] -= 1;
        self.ledger.borrow_mut().record_completion(prompt_id(&call.prompt), result.outcome);
        result.outcome
    }
}

/// Starts all tasks of the load generator.
pub(crate) fn spawn_load(state: &Rc<LoadState>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let mut task = 0;
    for (index, plan) in state.plans.iter().enumerate() {
        match plan.role {
            CustomerRole::Backlogged => {
                for _ in 0..plan.concurrency {
                    tasks.push(actix_rt::spawn(keep_completion_open(
                        Rc::clone(state),
                        index,
                        task,
                    )));
                    task += 1;
                }
            }
            CustomerRole::Flooding => {
                let rate = FLOOD_RATE * state.engines as f64;
                tasks.push(actix_rt::spawn(send_at_rate(Rc::clone(state), index, task, rate)));
                task += 1;
            }
            CustomerRole::Interactive => {
                let rate = INTERACTIVE_RATE;
                tasks.push(actix_rt::spawn(send_at_rate(Rc::clone(state), index, task, rate)));
                task += 1;
            }
        }
    }
    tasks.push(actix_rt::spawn(send_reads(Rc::clone(state), task)));
    tasks.push(actix_rt::spawn(send_recordings(Rc::clone(state), task + 1)));
    tasks
}

/// Keeps one completion of a backlogged customer open until the load stops.
async fn keep_completion_open(state: Rc<LoadState>, index: usize, task: u64) {
    let mut rng = state.rng(task);
    while !state.is_stopped.get() {
        let plan = &state.plans[index];
        let call = state.random_completion(plan, &mut rng);
        let router = state.random_customer_router(plan, &mut rng);
        match state.complete(index, router, call).await {
            CallOutcome::Answered => {}
            CallOutcome::NotRun { retry_after } => {
                sleep(retry_after.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)).await;
            }
            CallOutcome::Unknown
            | CallOutcome::Lost
            | CallOutcome::Crossed
            | CallOutcome::Truncated => {
                sleep(MIN_RETRY_DELAY).await;
            }
        }
    }
}

/// Sends completions of a customer at a mean rate, without waiting for earlier ones to finish.
async fn send_at_rate(state: Rc<LoadState>, index: usize, task: u64, rate: f64) {
    let mut rng = state.rng(task);
    let mut calls = Vec::new();
    while wait_for_arrival(&state, &mut rng, rate).await {
        let plan = &state.plans[index];
        let call = state.random_completion(plan, &mut rng);
        let router = state.random_customer_router(plan, &mut rng);
        let state = Rc::clone(&state);
        calls.push(actix_rt::spawn(async move {
            state.complete(index, router, call).await;
        }));
    }
    join_all(calls).await;
}

/// Sends reads to the plain service.
async fn send_reads(state: Rc<LoadState>, task: u64) {
    let mut rng = state.rng(task);
    let mut calls = Vec::new();
    while wait_for_arrival(&state, &mut rng, READ_RATE).await {
        let path = format!("{SERVICE_PREFIX}/balance/{}", state.next_sequence());
        let call = ServiceCall {
            expected: expected_reply("GET", &path, b""),
            path,
            idempotency_key: None,
            body: String::new(),
            deadline: CALL_DEADLINE,
        };
        let router = random_router(&state, &mut rng);
        let plan = rng.random_range(0..state.plans.len());
        let state = Rc::clone(&state);
        calls.push(actix_rt::spawn(async move {
            state.ledger.borrow_mut().record_sent();
            let key = &state.plans[plan].key;
            let result = state.client.call_service(router, key, &call).await;
            state.ledger.borrow_mut().record_read(result.outcome);
        }));
    }
    join_all(calls).await;
}

/// Sends recordings to the plain service and resends some of them through another router.
async fn send_recordings(state: Rc<LoadState>, task: u64) {
    let mut rng = state.rng(task);
    let mut calls = Vec::new();
    while wait_for_arrival(&state, &mut rng, RECORDING_RATE).await {
        let sequence = state.next_sequence();
        let path = format!("{SERVICE_PREFIX}/dues/{sequence}");
        let body = format!("{{\"amount\":{sequence}}}");
        let call = ServiceCall {
            expected: expected_reply("POST", &path, body.as_bytes()),
            path,
            idempotency_key: Some(Uuid::now_v7().to_string()),
            body,
            deadline: CALL_DEADLINE,
        };
        let plan = rng.random_range(0..state.plans.len());
        let first = rng.random_range(0..state.routers.len());
        let is_resent = rng.random_range(0..100) < RESEND_PERCENT;
        let delay = Duration::from_millis(rng.random_range(0..=MAX_RESEND_DELAY_MILLIS));
        if is_resent {
            let second = (first + 1) % state.routers.len();
            calls.push(spawn_recording_call(&state, plan, second, call.clone(), delay));
        }
        calls.push(spawn_recording_call(&state, plan, first, call, Duration::ZERO));
    }
    join_all(calls).await;
}

/// Spawns a task that sends a recording after a delay and records its outcome.
fn spawn_recording_call(
    state: &Rc<LoadState>,
    plan: usize,
    router: usize,
    call: ServiceCall,
    delay: Duration,
) -> JoinHandle<()> {
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        sleep(delay).await;
        state.ledger.borrow_mut().record_sent();
        let address = state.routers[router];
        let result = state.client.call_service(address, &state.plans[plan].key, &call).await;
        let key = call.idempotency_key.as_deref().unwrap_or_default();
        state.ledger.borrow_mut().record_recording_attempt(key, result.outcome);
    })
}

/// Picks a random router.
fn random_router(state: &LoadState, rng: &mut ChaCha8Rng) -> SocketAddr {
    state.routers[rng.random_range(0..state.routers.len())]
}

/// Waits for the next arrival of a Poisson process; returns `false` if the load has stopped.
async fn wait_for_arrival(state: &LoadState, rng: &mut ChaCha8Rng, rate: f64) -> bool {
    let uniform: f64 = rng.random_range(0.0..1.0);
    sleep(Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)).await;
    !state.is_stopped.get()
}

/// Waits for tasks to finish; they record their outcomes in the ledger.
async fn join_all(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("load generator task failed: {error}");
        }
    }
}
