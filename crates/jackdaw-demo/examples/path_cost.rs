//! Latency and processor time of the path, by request and by streamed token.
//!
//! The same requests are sent direct to engine stand-ins and through one router and the agents
//! beside the engines, at request rates and answer lengths four times apart, so that slopes can be read.
//! The highest rates are those of one router at the target size.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::time::{interval, sleep};
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use jackdaw_base::{CustomerShare, ErrorKind};
use jackdaw_demo::client::{CallEnd, CallResult, CallerClient, CompletionCall};
use jackdaw_demo::fleet::{DemoFleet, FleetPlan, MODEL_NAME};
use jackdaw_demo::population::{CustomerPlan, CustomerRole};
use jackdaw_policy::SharePolicy;
use jackdaw_standin::EngineSettings;
use jackdaw_standin::answer::{DRAFT_MARKER, answer_length};
use pico_args::Arguments;
use serde_json::{Value, json};

/// Requests a second of the phases, four times apart.
const RATES: [u32; 2] = [9, 36];

/// Tokens of each answer, four times apart.
const TOKENS: [u32; 2] = [97, 388];

/// Seconds of a phase unless the command line says otherwise.
const PHASE_SECONDS: u64 = 4;

/// Engines of the fleet, so that tokens of different streams come at different times.
const ENGINES: usize = 4;

/// The time between two tokens of one stream.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Parts of a step over which an engine spreads the tokens of its streams.
const STEP_SLOTS: u32 = 10;

/// The time that a call may take.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

/// The pause that lets a phase die away.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Processor time by role.
#[derive(Debug, Clone, Copy)]
struct RoleTime {
    /// The router.
    router: Duration,
    /// The agents.
    agent: Duration,
}

/// What is sent in one phase.
struct LoadPhase<'a> {
    /// The requests a second.
    rate: u32,
    /// The tokens of each answer.
    tokens: u32,
    /// The prompts.
    prompts: &'a [String],
}

/// What one phase measured.
struct PhaseFigures {
    /// The calls.
    calls: Vec<CallResult>,
    /// The time from the first call to the last answer.
    elapsed: Duration,
    /// The processor time.
    time: RoleTime,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        println!("Usage: path_cost [--seconds N] [--seed N]\n\nPrints one JSON line per phase.");
        return ExitCode::SUCCESS;
    }
    let mut run = || -> Result<(), Report<ErrorKind>> {
        let seconds: Option<u64> =
            arguments.opt_value_from_str("--seconds").change_context(ErrorKind::Malformed)?;
        let seed: Option<u64> =
            arguments.opt_value_from_str("--seed").change_context(ErrorKind::Malformed)?;
        let span = Duration::from_secs(seconds.unwrap_or(PHASE_SECONDS));
        actix_rt::System::new().block_on(measure(span, seed.unwrap_or(1)))
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all phases and prints their figures.
async fn measure(span: Duration, seed: u64) -> Result<(), Report<ErrorKind>> {
    let customer = plan_customer();
    let fleet = DemoFleet::spawn(plan_fleet(seed), std::slice::from_ref(&customer)).await?;
    let idle = measure_idle(&fleet, span).await;
    println!(
        "{}",
        json!({"phase": "idle", "seed": seed, "time_ms_per_s": idle_figures(idle, span)})
    );
    let mut added = Vec::new();
    for rate in RATES {
        for tokens in TOKENS {
            let prompts = find_prompts(rate, tokens, span, seed);
            let phase = LoadPhase { rate, tokens, prompts: &prompts };
            let direct = run_phase(&fleet, &fleet.engine_addresses(), &customer, &phase).await;
            let path = run_phase(&fleet, &fleet.router_addresses(), &customer, &phase).await;
            println!("{}", phase_line(rate, tokens, &direct, &path));
            added.push(request_time(&path, idle, span));
        }
    }
    for (index, rate) in RATES.iter().enumerate() {
        println!("{}", slope_line(*rate, added[2 * index], added[2 * index + 1]));
    }
    fleet.close().await;
    Ok(())
}

/// Returns the only customer.
fn plan_customer() -> CustomerPlan {
    CustomerPlan {
        name: "customer".to_owned(),
        key: "key-of-the-only-customer".to_owned(),
        share: CustomerShare(1),
        role: CustomerRole::Interactive,
        draft_percent: 0,
        routers: vec![0],
        window: 0,
    }
}

/// Returns a fleet of one router and a few engines with room for every request.
fn plan_fleet(seed: u64) -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: ENGINES,
        engine: EngineSettings {
            models: vec![MODEL_NAME.to_owned()],
            batch_places: 256,
            step_base: STEP_TIME,
            step_slots: STEP_SLOTS,
            step_per_request: Duration::ZERO,
            prefill_per_token: Duration::ZERO,
            ..EngineSettings::default()
        },
        policy: SharePolicy::Fleet,
        seed,
    }
}

/// Finds prompts whose answers are at least `tokens` long, so that all are cut to that length.
fn find_prompts(rate: u32, tokens: u32, span: Duration, seed: u64) -> Vec<String> {
    let wanted = rate as usize * span.as_secs() as usize;
    let mut prompts = Vec::with_capacity(wanted);
    let mut number = 0;
    while prompts.len() < wanted {
        let prompt = format!("{DRAFT_MARKER}{seed} {rate} {tokens} {number}");
        if answer_length(&prompt, u32::MAX) >= tokens {
            prompts.push(prompt);
        }
        number += 1;
    }
    prompts
}

/// Measures the processor time of the fleet without requests.
async fn measure_idle(fleet: &DemoFleet, span: Duration) -> RoleTime {
    sleep(SETTLE_PAUSE).await;
    let before = read_time(fleet);
    sleep(span).await;
    since(fleet, before)
}

/// Sends the prompts at a rate, whether earlier ones have ended or not.
async fn run_phase(
    fleet: &DemoFleet,
    addresses: &[SocketAddr],
    customer: &CustomerPlan,
    phase: &LoadPhase<'_>,
) -> PhaseFigures {
    sleep(SETTLE_PAUSE).await;
    let client = CallerClient::new();
    let mut ticks = interval(Duration::from_secs(1) / phase.rate);
    let mut tasks = Vec::with_capacity(phase.prompts.len());
    let before = read_time(fleet);
    let start = Instant::now();
    for (index, prompt) in phase.prompts.iter().enumerate() {
        ticks.tick().await;
        let call = CompletionCall {
            model: MODEL_NAME.to_owned(),
            prompt: prompt.clone(),
            max_tokens: phase.tokens,
            user: customer.name.clone(),
            deadline: CALL_DEADLINE,
        };
        let client = client.clone();
        let key = customer.key.clone();
        let address = addresses[index % addresses.len()];
        tasks.push(actix_rt::spawn(async move { client.complete(address, &key, &call).await }));
    }
    let mut calls = Vec::with_capacity(tasks.len());
    for task in tasks {
        calls.push(task.await.expect("a call does not panic"));
    }
    PhaseFigures { calls, elapsed: start.elapsed(), time: since(fleet, before) }
}

/// Returns the processor time so far.
fn read_time(fleet: &DemoFleet) -> RoleTime {
    RoleTime { router: fleet.router_time(), agent: fleet.agent_time() }
}

/// Returns the processor time since an earlier reading.
fn since(fleet: &DemoFleet, before: RoleTime) -> RoleTime {
    let now = read_time(fleet);
    RoleTime { router: now.router - before.router, agent: now.agent - before.agent }
}

/// Returns the processor time of one request in microseconds, idle time taken off.
fn request_time(phase: &PhaseFigures, idle: RoleTime, span: Duration) -> (f64, f64) {
    let share = phase.elapsed.as_secs_f64() / span.as_secs_f64();
    let number = phase.calls.len() as f64;
    let micros = |time: Duration, idle: Duration| {
        (time.as_secs_f64() - idle.as_secs_f64() * share) * 1e6 / number
    };
    (micros(phase.time.router, idle.router), micros(phase.time.agent, idle.agent))
}

/// Returns the idle figures.
fn idle_figures(idle: RoleTime, span: Duration) -> Value {
    let millis = |time: Duration| 1e3 * time.as_secs_f64() / span.as_secs_f64();
    json!({"router": millis(idle.router), "agents": millis(idle.agent)})
}

/// Returns the line of one phase.
fn phase_line(rate: u32, tokens: u32, direct: &PhaseFigures, path: &PhaseFigures) -> Value {
    let sent = f64::from(tokens) * path.calls.len() as f64;
    let core = |time: Duration| 100.0 * time.as_secs_f64() / path.elapsed.as_secs_f64();
    json!({
        "phase": "load",
        "requests_per_s": rate,
        "tokens_per_request": tokens,
        "mean_tokens_per_s": sent / path.elapsed.as_secs_f64(),
        "direct_ms": latency_figures(direct),
        "path_ms": latency_figures(path),
        "core_percent": {"router": core(path.time.router), "agent": core(path.time.agent)},
    })
}

/// Returns percentiles in milliseconds and the calls that were not answered whole.
fn latency_figures(phase: &PhaseFigures) -> Value {
    let mut first_byte = Histogram::<u64>::new(3).expect("the precision is allowed");
    let mut total = Histogram::<u64>::new(3).expect("the precision is allowed");
    let mut failed = 0;
    for call in &phase.calls {
        if call.end != CallEnd::Answered {
            failed += 1;
            continue;
        }
        first_byte += call.first_byte.as_micros() as u64;
        total += call.total.as_micros() as u64;
    }
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1e3
    };
    json!({
        "failed": failed,
        "first_byte": {"p50": millis(&first_byte, 0.5), "p99": millis(&first_byte, 0.99)},
        "request": {"p50": millis(&total, 0.5), "p99": millis(&total, 0.99)},
    })
}

/// Returns the line with the slopes at one rate, from the times of a request at both lengths.
fn slope_line(rate: u32, short: (f64, f64), long: (f64, f64)) -> Value {
    let [low, high] = TOKENS.map(f64::from);
    let slope = |short: f64, long: f64| {
        let token = (long - short) / (high - low);
        json!({"us_per_token": token, "us_per_request": short - token * low})
    };
    json!({
        "phase": "slopes",
        "requests_per_s": rate,
        "router": slope(short.0, long.0),
        "agent": slope(short.1, long.1),
    })
}
