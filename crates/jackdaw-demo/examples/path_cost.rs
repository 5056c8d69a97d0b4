//! Measures the latency and CPU time that the fleet adds per request and per streamed token.
//!
//! The same requests are sent directly to engine stand-ins and through one router and the agents
//! of the engines. Request rates and answer lengths differ by a factor of four, so that the cost
//! per request and per token can be computed as slopes. The highest rates are those of one router
//! in a fleet of the size that the system is designed for.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use actix_rt::time::{interval, sleep};
use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use jackdaw_base::{CustomerShare, ErrorKind};
use jackdaw_demo::client::{CallOutcome, CallResult, CallerClient, CompletionCall};
use jackdaw_demo::fleet::{DemoFleet, FleetPlan, MODEL_NAME};
use jackdaw_demo::population::{CustomerPlan, CustomerRole};
use jackdaw_policy::SharePolicy;
use jackdaw_standin::EngineSettings;
use jackdaw_standin::answer::{LONG_ANSWER_MARKER, answer_length};
use pico_args::Arguments;
use serde_json::{Value, json};

/// The requests per second of the phases, which differ by a factor of four.
const RATES: [u32; 2] = [9, 36];

/// The tokens per answer of the phases, which differ by a factor of four.
const TOKENS: [u32; 2] = [97, 388];

/// The default duration of the measurement in a phase, in seconds.
const PHASE_SECONDS: u64 = 4;

/// The number of engines; several engines produce the tokens of different streams at different
/// times.
const ENGINES: usize = 4;

/// The duration of a decode step: the time between two tokens of one stream.
const STEP_TIME: Duration = Duration::from_millis(10);

/// The number of parts of a step over which an engine spreads the tokens of its streams.
const STEP_SLOTS: u32 = 10;

/// The deadline of a call.
const CALL_DEADLINE: Duration = Duration::from_secs(20);

/// The number of steps, in addition to the length of an answer, until the load counts as steady.
const RAMP_UP_STEPS: u32 = 50;

/// The delay before each measurement that lets the activity of the previous one end.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Cumulative CPU time by role.
#[derive(Debug, Clone, Copy)]
struct RoleCpuTime {
    /// The CPU time of the router.
    router: Duration,
    /// The CPU time of all agents.
    agent: Duration,
}

/// Load of one phase.
struct LoadPhase<'a> {
    /// The requests per second.
    rate: u32,
    /// The tokens per answer.
    tokens: u32,
    /// The time until the load is steady.
    ramp_up: Duration,
    /// The time for which the steady load is measured.
    span: Duration,
    /// The prompts of all requests, including those sent during the ramp-up.
    prompts: &'a [String],
}

/// Results of one phase. CPU time and tokens are measured while the load is steady.
struct PhaseStats {
    /// The outcomes and timings of all calls.
    calls: Vec<CallResult>,
    /// The tokens per second that the engines produced.
    tokens_per_s: f64,
    /// The CPU load by role.
    load: RoleCpuLoad,
}

/// CPU load by role, in milliseconds of CPU time per second.
#[derive(Debug, Clone, Copy)]
struct RoleCpuLoad {
    /// The load of the router.
    router: f64,
    /// The load of all agents.
    agent: f64,
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

/// Runs all phases and prints their results.
async fn measure(span: Duration, seed: u64) -> Result<(), Report<ErrorKind>> {
    let customer = plan_customer();
    let fleet = DemoFleet::spawn(plan_fleet(seed), std::slice::from_ref(&customer)).await?;
    let idle = measure_idle(&fleet, span).await;
    println!("{}", json!({"phase": "idle", "seed": seed, "core_ms_per_s": cpu_load_json(idle)}));
    let mut phases = Vec::new();
    for rate in RATES {
        for tokens in TOKENS {
            let ramp_up = STEP_TIME * (tokens + RAMP_UP_STEPS);
            let prompts = find_prompts(rate, tokens, ramp_up + span, seed);
            let phase = LoadPhase { rate, tokens, ramp_up, span, prompts: &prompts };
            let direct = run_phase(&fleet, &fleet.engine_addresses(), &customer, &phase).await;
            let routed = run_phase(&fleet, &fleet.router_addresses(), &customer, &phase).await;
            println!("{}", phase_json(&phase, &direct, &routed));
            phases.push(routed);
        }
    }
    println!("{}", slopes_json(&phases));
    fleet.close().await;
    Ok(())
}

/// Returns the only customer of the fleet.
fn plan_customer() -> CustomerPlan {
    CustomerPlan {
        name: "customer".to_owned(),
        key: "key-of-the-only-customer".to_owned(),
        share: CustomerShare(1),
        role: CustomerRole::Interactive,
        long_answer_percent: 0,
        routers: vec![0],
        concurrency: 0,
    }
}

/// Returns a fleet of one router and engines with enough places to run every request at once.
fn plan_fleet(seed: u64) -> FleetPlan {
    FleetPlan {
        routers: 1,
        engines: ENGINES,
        engine: EngineSettings {
            models: vec![MODEL_NAME.to_owned()],
            max_batch_size: 256,
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

/// Finds prompts whose full answers have at least `tokens` tokens, so that limiting the answers to
/// `tokens` gives all of them the same length.
fn find_prompts(rate: u32, tokens: u32, span: Duration, seed: u64) -> Vec<String> {
    let wanted = (f64::from(rate) * span.as_secs_f64()) as usize;
    let mut prompts = Vec::with_capacity(wanted);
    let mut candidate = 0;
    while prompts.len() < wanted {
        let prompt = format!("{LONG_ANSWER_MARKER}{seed} {rate} {tokens} {candidate}");
        if answer_length(&prompt, u32::MAX) >= tokens {
            prompts.push(prompt);
        }
        candidate += 1;
    }
    prompts
}

/// Measures the CPU load of the idle fleet.
async fn measure_idle(fleet: &DemoFleet, span: Duration) -> RoleCpuLoad {
    sleep(SETTLE_TIME).await;
    let before = read_cpu_time(fleet);
    sleep(span).await;
    cpu_load_since(fleet, before, span)
}

/// Runs one phase against the given addresses and measures it while the load is steady.
async fn run_phase(
    fleet: &DemoFleet,
    addresses: &[SocketAddr],
    customer: &CustomerPlan,
    phase: &LoadPhase<'_>,
) -> PhaseStats {
    sleep(SETTLE_TIME).await;
    let send_task = send_calls(addresses.to_vec(), customer.clone(), phase);
    sleep(phase.ramp_up).await;
    let (before, tokens_before, start) =
        (read_cpu_time(fleet), count_tokens(fleet), Instant::now());
    sleep(phase.span).await;
    let elapsed = start.elapsed();
    let load = cpu_load_since(fleet, before, elapsed);
    let tokens = count_tokens(fleet) - tokens_before;
    let calls = send_task.await.expect("the sending task does not panic");
    PhaseStats { calls, tokens_per_s: tokens as f64 / elapsed.as_secs_f64(), load }
}

/// Spawns a task that sends the calls of a phase at a fixed rate, without waiting for earlier ones
/// to finish, and collects their results.
fn send_calls(
    addresses: Vec<SocketAddr>,
    customer: CustomerPlan,
    phase: &LoadPhase<'_>,
) -> JoinHandle<Vec<CallResult>> {
    let client = CallerClient::new();
    let prompts = phase.prompts.to_vec();
    let (rate, max_tokens) = (phase.rate, phase.tokens);
    actix_rt::spawn(async move {
        let mut ticks = interval(Duration::from_secs(1) / rate);
        let mut tasks = Vec::with_capacity(prompts.len());
        for (index, prompt) in prompts.into_iter().enumerate() {
            ticks.tick().await;
            let call = CompletionCall {
                model: MODEL_NAME.to_owned(),
                prompt,
                max_tokens,
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
        calls
    })
}

/// Returns the total number of tokens that the engines have produced.
fn count_tokens(fleet: &DemoFleet) -> u64 {
    let usages = fleet.engine_usages();
    usages.iter().flat_map(|usage| usage.users.values()).map(|user| user.tokens).sum()
}

/// Returns the current cumulative CPU time by role.
fn read_cpu_time(fleet: &DemoFleet) -> RoleCpuTime {
    RoleCpuTime { router: fleet.router_cpu_time(), agent: fleet.agent_cpu_time() }
}

/// Returns the CPU load since the reading `before`, which was taken `elapsed` ago.
fn cpu_load_since(fleet: &DemoFleet, before: RoleCpuTime, elapsed: Duration) -> RoleCpuLoad {
    let now = read_cpu_time(fleet);
    let load = |time: Duration| 1e3 * time.as_secs_f64() / elapsed.as_secs_f64();
    RoleCpuLoad { router: load(now.router - before.router), agent: load(now.agent - before.agent) }
}

/// Returns a CPU load as JSON.
fn cpu_load_json(load: RoleCpuLoad) -> Value {
    json!({"router": load.router, "agents": load.agent})
}

/// Returns the results of one phase as JSON.
fn phase_json(phase: &LoadPhase<'_>, direct: &PhaseStats, routed: &PhaseStats) -> Value {
    json!({
        "phase": "load",
        "requests_per_s": phase.rate,
        "tokens_per_request": phase.tokens,
        "tokens_per_s": routed.tokens_per_s,
        "direct_ms": latency_json(direct),
        "path_ms": latency_json(routed),
        "core_ms_per_s": cpu_load_json(routed.load),
    })
}

/// Returns latency percentiles in milliseconds and the number of calls that were not answered
/// completely and correctly.
fn latency_json(phase: &PhaseStats) -> Value {
    let mut first_byte =
        Histogram::<u64>::new(3).expect("the number of significant digits is valid");
    let mut total = Histogram::<u64>::new(3).expect("the number of significant digits is valid");
    let mut failed = 0;
    for call in &phase.calls {
        if call.outcome != CallOutcome::Answered {
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

/// Returns the CPU time per token and per request as JSON, in microseconds.
///
/// The cost per token is the slope between both answer lengths at the same request rate, and the
/// cost per request the slope between both request rates at the same token rate.
fn slopes_json(phases: &[PhaseStats]) -> Value {
    let us_per_token = |low: &PhaseStats, high: &PhaseStats, role: fn(&RoleCpuLoad) -> f64| {
        1e3 * (role(&high.load) - role(&low.load)) / (high.tokens_per_s - low.tokens_per_s)
    };
    let us_per_request = |role: fn(&RoleCpuLoad) -> f64| {
        let rates = f64::from(RATES[1] - RATES[0]);
        1e3 * (role(&phases[2].load) - role(&phases[1].load)) / rates
    };
    let costs_json = |role: fn(&RoleCpuLoad) -> f64| {
        json!({
            "us_per_token_low_rate": us_per_token(&phases[0], &phases[1], role),
            "us_per_token_high_rate": us_per_token(&phases[2], &phases[3], role),
            "us_per_request": us_per_request(role),
        })
    };
    json!({
        "phase": "slopes",
        "router": costs_json(|load| load.router),
        "agents": costs_json(|load| load.agent),
    })
}
