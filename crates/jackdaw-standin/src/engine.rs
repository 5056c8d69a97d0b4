//! Stand-in for a model engine.
//!
//! The engine batches continuously: up to [`EngineSettings::max_batch_size`] requests run, the
//! rest wait first-come, and each step gives every running request one token. It caches
//! prompt prefixes, reports load with a lag and cache events late and with gaps, resumes and
//! cancels streams, takes orders and crashes on a marked prompt.

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

/// A step loop that is later than this starts afresh instead of catching up.
const LATENESS_LIMIT: Duration = Duration::from_millis(200);

plain_data! {
    /// Properties of an engine stand-in.
    pub struct EngineSettings {
        /// The loopback port; zero for a free one.
        pub port: u16,
        /// The models it answers for at the start; empty for every model.
        pub models: Vec<String>,
        /// The requests that run at a time.
        pub max_batch_size: usize,
        /// The time of a step before any request is counted.
        pub step_base: Duration,
        /// The time that each running request adds to a step.
        pub step_per_request: Duration,
        /// The parts of a step over which its tokens are spread by the time of admission; one
        /// sends all at the step's end.
        pub step_slots: u32,
        /// The time to read one prompt token that is not cached.
        pub prefill_per_token: Duration,
        /// The prefixes that fit the cache.
        pub max_cached_prefixes: usize,
        /// The age of the load that is reported.
        pub load_lag: Duration,
        /// The time after which a cache event can be read.
        pub cache_event_lag: Duration,
        /// The cache events in a hundred that are lost.
        pub cache_event_loss_percent: u32,
        /// Whether orders with an old fencing number are refused.
        pub checks_fencing: bool,
        /// The time for which connections are refused after a crash.
        pub crash_downtime: Duration,
        /// The seed of the gaps in cache events.
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

/// A running engine stand-in.
pub struct EngineStandin {
    /// The address.
    address: SocketAddr,
    /// The state shared with the worker.
    shared: Arc<EngineShared>,
    /// The task that restarts the server after crashes.
    supervisor: JoinHandle<()>,
}

/// State shared between the handle, the supervisor and the worker.
struct EngineShared {
    /// The settings.
    settings: EngineSettings,
    /// The batch and its tally.
    batch: Mutex<EngineBatch>,
    /// Wakes the step loop when work arrives.
    work: Notify,
    /// Tells the supervisor of a crash.
    crash: Notify,
    /// Tells the supervisor to stop.
    closing: Notify,
}

impl EngineStandin {
    /// Starts an engine; runs inside an actix system. Fails with
    /// [`ErrorKind::LocalResource`] when the port cannot be bound.
    pub fn bind(settings: EngineSettings) -> Result<EngineStandin, Report<ErrorKind>> {
        let port = ReservedPort::bind(settings.port)?;
        let address = port.address();
        let shared = Arc::new(EngineShared {
            batch: Mutex::new(EngineBatch::new(&settings)),
            settings,
            work: Notify::new(),
            crash: Notify::new(),
            closing: Notify::new(),
        });
        let server = start_server(&shared, &port)?;
        let supervisor = actix_rt::spawn(supervise(Arc::clone(&shared), port, server));
        Ok(EngineStandin { address, shared, supervisor })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the engine has done so far.
    pub fn tally(&self) -> EngineTally {
        self.shared.lock().tally(Instant::now())
    }

    /// Returns the figures of the tally that do not grow with the number of requests.
    pub fn usage(&self) -> EngineUsage {
        self.shared.lock().usage(Instant::now())
    }

    /// Stops the engine at once, cutting its connections.
    pub async fn close(self) {
        self.shared.closing.notify_one();
        // The supervisor ends without a result; a panic in it has been printed.
        let _ = self.supervisor.await;
    }
}

impl EngineShared {
    /// Locks the batch.
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
        // The factory runs once in the only worker, whose thread carries the steps as well.
        actix_rt::spawn(run_steps(Arc::clone(&state)));
        App::new().app_data(web::Data::from(Arc::clone(&state))).configure(http::routes)
    })
    .workers(1)
    .disable_signals()
    .h1_allow_half_closed(false)
    // Small parts of a stream must not wait for acknowledgements of earlier ones.
    .tcp_nodelay(true)
    .listen(listener)
    .change_context(ErrorKind::LocalResource)?;
    Ok(server.run())
}

/// Runs the server until the handle is closed, restarting it after each crash.
async fn supervise(shared: Arc<EngineShared>, port: ReservedPort, first: Server) {
    let mut server = first;
    loop {
        let handle = server.handle();
        let running = actix_rt::spawn(server);
        let is_closing = tokio::select! {
            () = shared.closing.notified() => true,
            () = shared.crash.notified() => false,
        };
        handle.stop(false).await;
        // The result repeats what `stop` has already waited for.
        let _ = running.await;
        if is_closing {
            return;
        }
        actix_rt::time::sleep(shared.settings.crash_downtime).await;
        match start_server(&shared, &port) {
            Ok(next) => server = next,
            Err(report) => {
                log::error!("engine stand-in cannot listen again: {report:?}");
                return;
            }
        }
    }
}

/// Gives tokens to the running requests, step by step.
async fn run_steps(shared: Arc<EngineShared>) {
    let mut due = Instant::now();
    loop {
        let span = shared.lock().begin_step(Instant::now());
        let Some(span) = span else {
            shared.work.notified().await;
            due = Instant::now();
            continue;
        };
        due += span;
        let now = Instant::now();
        if due + LATENESS_LIMIT < now {
            due = now;
        }
        actix_rt::time::sleep_until(due).await;
        let is_crash = shared.lock().end_step(Instant::now());
        if is_crash {
            shared.crash.notify_one();
            return;
        }
    }
}
