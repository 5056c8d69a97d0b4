//! Stand-in for a model engine with continuous batching.
//!
//! Up to [`EngineSettings::max_batch_size`] requests run, the rest wait in FIFO order, and each
//! decode step produces one token for every running request. The engine caches prompt prefixes,
//! reports its load with a lag, reports cache events late and loses some of them, resumes and
//! cancels streams, accepts orders from a controller, and crashes on prompts that contain
//! [`CRASH_MARKER`](crate::CRASH_MARKER).

mod batch;
mod cache;
mod http;
mod wire;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use tokio::sync::Notify;
use tokio::time::Instant;

pub use batch::{EngineTally, EngineUsage, OrderRecord, PromptTally, UserTally};
pub use cache::{CacheChange, CacheEvent};
pub use wire::{EngineOrder, LoadReport, OrderAction};

use crate::port::ReservedPort;
use batch::EngineBatch;

/// Lag at which the step loop resets its schedule instead of catching up on missed steps.
const MAX_STEP_LAG: Duration = Duration::from_millis(200);

plain_data! {
    /// Settings of an engine stand-in.
    pub struct EngineSettings {
        /// The loopback port; zero picks a free one.
        pub port: u16,
        /// The models served at the start; empty to serve every model.
        pub models: Vec<String>,
        /// The maximum number of requests in the batch.
        pub max_batch_size: usize,
        /// The base duration of a decode step, without the share of the running requests.
        pub step_base: Duration,
        /// The time that each running request adds to a step.
        pub step_per_request: Duration,
        /// The number of equal parts of a step over which its tokens are spread, according to the
        /// part in which each request was admitted. With one part, all tokens are sent at the end
        /// of the step.
        pub step_slots: u32,
        /// The prefill time per prompt token that is not cached.
        pub prefill_per_token: Duration,
        /// The number of prefixes that the cache holds.
        pub max_cached_prefixes: usize,
        /// The age of the reported load.
        pub load_lag: Duration,
        /// The delay before a cache event is reported.
        pub cache_event_lag: Duration,
        /// The percentage of cache events that are lost.
        pub cache_event_loss_percent: u32,
        /// Whether orders with an outdated fencing number are rejected.
        pub checks_fencing: bool,
        /// The time for which connections are refused after a crash.
        pub crash_downtime: Duration,
        /// The seed of the random choice of lost cache events.
        pub seed: u64,
    }
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            port: 0,
            models: Vec::new(),
            max_batch_size: 8,
            step_base: Duration::from_millis(10),
            step_per_request: Duration::from_micros(100),
            step_slots: 1,
            prefill_per_token: Duration::from_micros(50),
            max_cached_prefixes: 64,
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss_percent: 10,
            checks_fencing: true,
            crash_downtime: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// Handle of a running engine stand-in.
pub struct EngineStandin {
    /// The bound address.
    address: SocketAddr,
    /// State shared with the supervisor and the worker.
    shared: Arc<EngineShared>,
    /// The task that runs the server and restarts it after crashes.
    supervisor: JoinHandle<()>,
}

/// State shared between the handle, the supervisor and the worker.
struct EngineShared {
    settings: EngineSettings,
    /// The batch, its queue and its tally.
    batch: Mutex<EngineBatch>,
    /// Wakes the step loop when work arrives.
    work_available: Notify,
    /// Notifies the supervisor of a crash.
    crashed: Notify,
    /// Tells the supervisor to stop the server.
    close_requested: Notify,
}

impl EngineStandin {
    /// Starts an engine; must be called inside an actix system.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the port cannot be bound.
    pub fn bind(settings: EngineSettings) -> Result<EngineStandin, Report<ErrorKind>> {
        let port = ReservedPort::bind(settings.port)?;
        let address = port.address();
        let shared = Arc::new(EngineShared {
            batch: Mutex::new(EngineBatch::new(&settings)),
            settings,
            work_available: Notify::new(),
            crashed: Notify::new(),
            close_requested: Notify::new(),
        });
        let server = start_server(&shared, &port)?;
        let supervisor = actix_rt::spawn(supervise(Arc::clone(&shared), port, server));
        Ok(EngineStandin { address, shared, supervisor })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of all requests and orders so far.
    pub fn tally(&self) -> EngineTally {
        self.shared.lock().tally(Instant::now())
    }

    /// Returns the part of the tally whose size does not grow with the number of requests.
    pub fn usage(&self) -> EngineUsage {
        self.shared.lock().usage(Instant::now())
    }

    /// Stops the engine immediately, closing open connections.
    pub async fn close(self) {
        self.shared.close_requested.notify_one();
        // The supervisor returns nothing; the panic hook has printed any panic in it.
        let _ = self.supervisor.await;
    }
}

impl EngineShared {
    fn lock(&self) -> MutexGuard<'_, EngineBatch> {
        self.batch.lock().expect("no code panics while it holds the batch")
    }
}

/// Starts the HTTP server on the reserved port.
fn start_server(
    shared: &Arc<EngineShared>,
    port: &ReservedPort,
) -> Result<Server, Report<ErrorKind>> {
    let listener = port.listen()?;
    let state = Arc::clone(shared);
    let server = HttpServer::new(move || {
        // The factory runs once, on the thread of the only worker, which also runs the step loop.
        actix_rt::spawn(run_steps(Arc::clone(&state)));
        App::new().app_data(web::Data::from(Arc::clone(&state))).configure(http::routes)
    })
    .workers(1)
    .disable_signals()
    .h1_allow_half_closed(false)
    // With Nagle's algorithm, small stream chunks would wait for earlier acknowledgements.
    .tcp_nodelay(true)
    .listen(listener)
    .change_context(ErrorKind::LocalResource)?;
    Ok(server.run())
}

/// Runs the server until [`EngineStandin::close`], restarting it after each crash.
async fn supervise(shared: Arc<EngineShared>, port: ReservedPort, first: Server) {
    let mut server = first;
    loop {
        let handle = server.handle();
        let running = actix_rt::spawn(server);
        let is_closing = tokio::select! {
            () = shared.close_requested.notified() => true,
            () = shared.crashed.notified() => false,
        };
        handle.stop(false).await;
        // `stop` has already waited for the server to end.
        let _ = running.await;
        if is_closing {
            return;
        }
        actix_rt::time::sleep(shared.settings.crash_downtime).await;
        match start_server(&shared, &port) {
            Ok(next) => server = next,
            Err(report) => {
                log::error!("engine stand-in failed to restart after a crash: {report:?}");
                return;
            }
        }
    }
}

/// Runs decode steps on schedule until a crash; waits for work while the batch is empty.
async fn run_steps(shared: Arc<EngineShared>) {
    let mut due = Instant::now();
    loop {
        let duration = shared.lock().begin_step(Instant::now());
        let Some(duration) = duration else {
            shared.work_available.notified().await;
            due = Instant::now();
            continue;
        };
        due += duration;
        let now = Instant::now();
        if due + MAX_STEP_LAG < now {
            due = now;
        }
        actix_rt::time::sleep_until(due).await;
        let is_crashed = shared.lock().end_step(Instant::now());
        if is_crashed {
            shared.crashed.notify_one();
            return;
        }
    }
}
