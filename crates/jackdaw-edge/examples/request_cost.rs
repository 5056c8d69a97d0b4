//! Measures the processor time that a router spends on a request, by outcome and connection.
//!
//! Usage: `cargo run --release -p jackdaw-edge --example request_cost -- [TARGETS] > /dev/null`
//!
//! The router runs on a thread of its own, so that its processor time excludes that of the
//! stand-ins. Its log goes to standard output and the results to standard error.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use jackdaw_edge::edge_daemon::EdgeDaemon;
use jackdaw_platform_standins::{
    CallerConnection, RouterEndpoints, StoreStandin, TargetBehavior, TargetStandin, TargetState,
    build_request, sample_config,
};
use jackdaw_settings::{EdgeSettings, LogOutput, LogSettings};
use jackdaw_telemetry::open_log;
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Requests of one measurement.
const REQUESTS: usize = 4000;

/// Callers that send requests at the same time.
const CALLERS: usize = 8;

/// Registered targets without an argument, as in the largest deployment measured so far.
const DEFAULT_TARGETS: usize = 160;

/// Time for the router to read configuration and targets.
const WARM_UP: Duration = Duration::from_millis(1500);

/// Asks the router's thread for its processor time.
type ClockRequest = oneshot::Sender<Duration>;

/// One measurement.
#[derive(Debug, Clone, Copy)]
struct CostCase {
    name: &'static str,
    path: &'static str,
    /// Whether each request opens a connection of its own.
    is_connecting: bool,
    /// Whether targets accept requests.
    is_served: bool,
}

impl CostCase {
    const fn new(
        name: &'static str,
        path: &'static str,
        is_connecting: bool,
        is_served: bool,
    ) -> CostCase {
        CostCase { name, path, is_connecting, is_served }
    }
}

const CASES: [CostCase; 6] = [
    CostCase::new("answer", "/safe/x", false, true),
    CostCase::new("answer, new connection", "/safe/x", true, true),
    CostCase::new("stream", "/stream/x", false, true),
    CostCase::new("refusal", "/safe/x", false, false),
    CostCase::new("refusal, new connection", "/safe/x", true, false),
    CostCase::new("unknown route", "/none/x", true, false),
];

fn main() {
    let targets = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let targets = targets.unwrap_or(DEFAULT_TARGETS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime"), measure_all(targets));
}

async fn measure_all(count: usize) {
    let store = StoreStandin::bind().await;
    store.put_config(&sample_config(1, &["k1"]));
    let mut targets = Vec::new();
    for number in 0..count {
        let name = format!("t-{number}");
        let target = TargetStandin::bind(&name).await;
        target.set_default_behavior(TargetBehavior::Echo(Duration::from_millis(1)));
        store.put_target(&name, &target.entry("s", TargetState::Ready));
        targets.push((name, target));
    }
    let endpoints = RouterEndpoints::allocate("a");
    let (clock_sender, clock_receiver) = mpsc::channel::<ClockRequest>();
    let settings = endpoints.settings(&[], store.address);
    thread::spawn(move || run_router(&settings, &clock_receiver));
    tokio::time::sleep(WARM_UP).await;
    eprintln!("{count} targets, {REQUESTS} requests each");
    for (index, case) in CASES.into_iter().enumerate() {
        let was_served = index == 0 || CASES[index - 1].is_served;
        if was_served && !case.is_served {
            for (name, target) in &targets {
                store.put_target(name, &target.entry("s", TargetState::Draining));
            }
            tokio::time::sleep(WARM_UP).await;
        }
        let before = read_clock(&clock_sender).await;
        send_all(endpoints.caller_address(), case).await;
        let spent = read_clock(&clock_sender).await - before;
        let micros = spent.as_secs_f64() * 1e6 / REQUESTS as f64;
        eprintln!("{:24} {micros:7.1} us", case.name);
    }
}

/// Runs the router, and answers requests for the processor time of its thread.
fn run_router(settings: &str, clocks: &mpsc::Receiver<ClockRequest>) {
    let settings = EdgeSettings::parse("request_cost", settings).expect("valid settings");
    let log = LogSettings { output: LogOutput::StandardOutput, ..settings.log.clone() };
    open_log(&log, &settings.name).expect("first logger");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("runtime"), async {
        let _daemon = EdgeDaemon::bind(settings).await.expect("free addresses");
        loop {
            while let Ok(request) = clocks.try_recv() {
                let time = clock_gettime(ClockId::ThreadCPUTime);
                let time = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
                request.send(time).expect("the measuring thread waits");
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

async fn read_clock(clocks: &mpsc::Sender<ClockRequest>) -> Duration {
    let (sender, receiver) = oneshot::channel();
    clocks.send(sender).expect("router thread is running");
    receiver.await.expect("router thread answers")
}

async fn send_all(address: SocketAddr, case: CostCase) {
    let callers = (0..CALLERS).map(|_| tokio::task::spawn_local(run_caller(address, case)));
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("caller does not panic");
    }
}

async fn run_caller(address: SocketAddr, case: CostCase) {
    let mut connection = None;
    for number in 0..REQUESTS / CALLERS {
        if connection.is_none() || case.is_connecting {
            connection = CallerConnection::open(address).await;
        }
        let open = connection.as_mut().expect("router accepts connections");
        let id = format!("attempt-{number}");
        let answer = open.send(build_request(case.path, &id, "body")).await;
        let answer = answer.expect("answer");
        assert_eq!(answer.status.is_success(), case.is_served, "{answer:?}");
    }
}
