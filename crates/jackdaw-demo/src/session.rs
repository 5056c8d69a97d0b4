//! One run of the demo, from starting the fleet to the report.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use error_stack::Report;
use jackdaw_base::{CustomerShare, ErrorKind};
use jackdaw_standin::EngineSettings;

use crate::args::DemoSettings;
use crate::client::{CallOutcome, CallerClient, CompletionCall};
use crate::fleet::{DemoFleet, FleetPlan, MODEL_NAME};
use crate::latency::LatencyHistograms;
use crate::load::{LoadState, spawn_load};
use crate::meter::{FleetMeter, WindowStats};
use crate::population::{CustomerPlan, plan_customers};
use crate::report::DemoReport;

/// The number of places of an engine.
const ENGINE_PLACES: usize = 8;

/// The base duration of a decode step of an engine.
const STEP_BASE: Duration = Duration::from_millis(4);

/// The fraction of the load time that precedes the measured window.
const WARM_UP_FRACTION: f64 = 0.2;

/// The interval between samples of the meter.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between progress messages.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of request pairs that measure the added latency.
const MAX_LATENCY_PAIRS: usize = 120;

/// The number of such request pairs per second of load time.
const LATENCY_PAIRS_PER_SECOND: usize = 24;

/// The number of preceding request pairs that open connections and are not measured.
const LATENCY_WARM_UP_PAIRS: usize = 12;

/// The maximum number of tokens in the answer to such a request.
const LATENCY_TOKENS: u32 = 2;

/// The deadline of such a request.
const LATENCY_DEADLINE: Duration = Duration::from_secs(5);

/// Latencies of direct requests and of requests through the idle fleet.
struct LatencyComparison {
    /// The times until the first byte.
    first_byte: LatencyHistograms,
    /// The total times of the requests.
    request: LatencyHistograms,
}

/// Control traffic during the measured window.
struct ControlTraffic {
    /// The calls per second that the platform stand-in received.
    platform_calls_per_second: f64,
    /// The bytes of control traffic sent and received per second, averaged over all nodes.
    control_bytes_per_second_per_node: f64,
}

/// Runs the demo in a new actix system and returns its report.
///
/// Fails if the fleet cannot be started or does not become ready in time.
pub fn run(settings: DemoSettings) -> Result<DemoReport, Report<ErrorKind>> {
    actix_rt::System::new().block_on(run_session(settings))
}

/// Starts the fleet, measures it idle and under load, and returns the report.
async fn run_session(settings: DemoSettings) -> Result<DemoReport, Report<ErrorKind>> {
    let places = settings.targets * ENGINE_PLACES;
    let plans = plan_customers(&settings, places);
    let fleet = DemoFleet::spawn(plan_fleet(&settings), &plans).await?;
    let latency = measure_latency(&settings, &fleet, &plans).await;
    let state = Rc::new(LoadState::new(
        plans.clone(),
        fleet.router_addresses(),
        settings.targets,
        settings.seed,
    ));
    let tasks = spawn_load(&state);
    let (stats, traffic) = measure_window(&settings, &fleet, &state, &plans, places).await;
    state.stop();
    eprintln!("load stopped, waiting for open requests");
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("load generator task failed: {error}");
        }
    }
    let ledger = state.ledger();
    let report = DemoReport {
        seed: settings.seed,
        policy: settings.policy,
        window_seconds: stats.seconds,
        requests: ledger.requests(&fleet.engine_tallies()),
        recordings: ledger.recordings(&fleet.service_tallies()),
        fairness_gap_tokens: stats.fairness_gap_tokens,
        mean_normal_tokens: stats.mean_normal_tokens,
        utilisation_percent: stats.utilisation_percent,
        waiting_percent: stats.waiting_percent,
        platform_calls_per_second: traffic.platform_calls_per_second,
        control_bytes_per_second_per_node: traffic.control_bytes_per_second_per_node,
        added_latency_ms: latency.request.added(),
        added_first_byte_ms: latency.first_byte.added(),
        customers: stats.customers,
    };
    fleet.close().await;
    Ok(report)
}

/// Returns the size and configuration of the fleet for the settings.
fn plan_fleet(settings: &DemoSettings) -> FleetPlan {
    FleetPlan {
        routers: settings.routers,
        engines: settings.targets,
        engine: EngineSettings {
            models: vec![MODEL_NAME.to_owned()],
            max_batch_size: ENGINE_PLACES,
            step_base: STEP_BASE,
            ..EngineSettings::default()
        },
        policy: settings.policy,
        seed: settings.seed,
    }
}

/// Sends the same requests directly to engines and through the idle fleet, alternately.
async fn measure_latency(
    settings: &DemoSettings,
    fleet: &DemoFleet,
    plans: &[CustomerPlan],
) -> LatencyComparison {
    let pairs = LATENCY_PAIRS_PER_SECOND * settings.load_time.as_secs() as usize;
    let pairs = pairs.min(MAX_LATENCY_PAIRS);
    let client = CallerClient::new();
    let routers = fleet.router_addresses();
    let engines = fleet.engine_addresses();
    let mut comparison = LatencyComparison {
        first_byte: LatencyHistograms::new(),
        request: LatencyHistograms::new(),
    };
    // The last customer is an interactive one.
    let customer = &plans[plans.len() - 1];
    for pair in 0..LATENCY_WARM_UP_PAIRS + pairs {
        let call = CompletionCall {
            model: MODEL_NAME.to_owned(),
            prompt: format!("latency probe {pair}"),
            max_tokens: LATENCY_TOKENS,
            user: customer.name.clone(),
            deadline: LATENCY_DEADLINE,
        };
        let engine = engines[pair % engines.len()];
        let router = routers[pair % routers.len()];
        // The order alternates because the second request of a pair hits the engine's prefix cache.
        let (direct, routed) = if pair % 2 == 0 {
            let direct = client.complete(engine, &customer.key, &call).await;
            (direct, client.complete(router, &customer.key, &call).await)
        } else {
            let routed = client.complete(router, &customer.key, &call).await;
            (client.complete(engine, &customer.key, &call).await, routed)
        };
        if pair < LATENCY_WARM_UP_PAIRS {
            continue;
        }
        if direct.outcome != CallOutcome::Answered || routed.outcome != CallOutcome::Answered {
            log::warn!(
                "latency probe {pair} failed: direct {:?}, routed {:?}",
                direct.outcome,
                routed.outcome
            );
            continue;
        }
        comparison.first_byte.record_direct(direct.first_byte);
        comparison.first_byte.record_routed(routed.first_byte);
        comparison.request.record_direct(direct.total);
        comparison.request.record_routed(routed.total);
    }
    comparison
}

/// Waits for the warm-up to pass, then samples the fleet until the load time is over.
async fn measure_window(
    settings: &DemoSettings,
    fleet: &DemoFleet,
    state: &LoadState,
    plans: &[CustomerPlan],
    places: usize,
) -> (WindowStats, ControlTraffic) {
    let mut customers: Vec<(String, CustomerShare)> = Vec::with_capacity(plans.len());
    for plan in plans {
        customers.push((plan.name.clone(), plan.share));
    }
    let warm_up = settings.load_time.mul_f64(WARM_UP_FRACTION);
    eprintln!("warming up for {:.1} s", warm_up.as_secs_f64());
    sleep(warm_up).await;
    let calls_before = fleet.platform_calls();
    let bytes_before = fleet.control_bytes().await;
    let mut meter = FleetMeter::open(&customers, places, &fleet.engine_usages());
    let start = Instant::now();
    let window = settings.load_time - warm_up;
    let mut next_progress = PROGRESS_INTERVAL;
    while start.elapsed() < window {
        sleep(SAMPLE_INTERVAL).await;
        let open_requests = state.open_requests();
        let usages = fleet.engine_usages();
        meter.sample(start.elapsed(), &open_requests, &usages);
        if start.elapsed() >= next_progress {
            next_progress += PROGRESS_INTERVAL;
            let open: usize = open_requests.iter().sum();
            let running: usize = usages.iter().map(|usage| usage.running).sum();
            eprintln!("{:>4} s: {open} open, {running} running", start.elapsed().as_secs());
        }
    }
    let stats = meter.close(&fleet.engine_usages());
    let seconds = start.elapsed().as_secs_f64();
    let calls = fleet.platform_calls() - calls_before;
    let bytes = fleet.control_bytes().await.saturating_sub(bytes_before);
    let traffic = ControlTraffic {
        platform_calls_per_second: calls as f64 / seconds,
        control_bytes_per_second_per_node: bytes as f64 / seconds / fleet.node_count() as f64,
    };
    (stats, traffic)
}
