//! Startup, signal handling and shutdown of an edge router.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_policy::direct::BALANCER_DELAY;
use jackdaw_settings::EdgeSettings;
use jackdaw_telemetry::LogBuffer;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use crate::caller_server::CallerServer;
use crate::edge_state::{EdgeStage, EdgeState, StopSchedule, TICK_PERIOD};
use crate::internal_server::InternalServer;
use crate::peer_reports::PeerReports;
use crate::settings_file::SettingsFile;
use crate::store_watch::StoreWatch;

/// Time before the end of the shutdown grace period at which the process exits on its own.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Interval of checks for a settings file that changed without a reload signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Time after the last connection was accepted in which requests are still begun that may outlast the
/// process. They were sent before, and a process that lags reads them late.
const LAST_BEGIN_MARGIN: Duration = Duration::from_millis(300);

/// Time for writing the responses to requests that have none when the process is about to exit.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(120);

/// How often what is known of streams is handed over before the process exits, since datagrams may be
/// lost, and the pause after each time.
const HANDOVER_SENDS: u32 = 2;
const HANDOVER_PAUSE: Duration = Duration::from_millis(30);

/// Interval of checks for requests in progress during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running edge router with all of its servers and background tasks.
pub struct EdgeDaemon {
    state: Rc<EdgeState>,
    callers: CallerServer,
    internal_servers: Vec<InternalServer>,
    reports: PeerReports,
    watch: StoreWatch,
    housekeeping: JoinHandle<()>,
}

/// Signal listeners of the router. They are registered before anything else starts, because the
/// default action of a signal that arrives earlier terminates the process.
pub struct EdgeSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl EdgeSignals {
    /// Registers the signal listeners.
    ///
    /// # Errors
    ///
    /// `LocalResource` if a listener cannot be registered.
    pub fn register() -> Result<EdgeSignals, Report<ErrorKind>> {
        Ok(EdgeSignals {
            terminate: register_signal(SignalKind::terminate())?,
            interrupt: register_signal(SignalKind::interrupt())?,
            reload: register_signal(SignalKind::hangup())?,
        })
    }
}

impl EdgeDaemon {
    /// Binds all addresses and starts the router on the current local task set.
    ///
    /// # Errors
    ///
    /// `LocalResource` if an address cannot be bound.
    pub async fn bind(settings: EdgeSettings) -> Result<EdgeDaemon, Report<ErrorKind>> {
        let state = EdgeState::new(settings);
        let settings = state.settings();
        let metrics = SocketAddr::from((settings.ip(), settings.metrics_port));
        let mut internal_servers = Vec::new();
        for address in [settings.readiness_address, settings.peer_address.into(), metrics] {
            internal_servers.push(InternalServer::bind(&state, address).await?);
        }
        let reports = PeerReports::bind(&state).await?;
        let watch = StoreWatch::spawn(&state);
        let callers = CallerServer::bind(&state).await?;
        let housekeeping = tokio::task::spawn_local(run_housekeeping(Rc::clone(&state)));
        log::info!(
            node:% = settings.name,
            incarnation:% = state.router().incarnation(),
            domain:% = settings.domain,
            callers:% = settings.caller_address,
            store:% = settings.store_address,
            seeds = settings.seeds.len();
            "edge router started"
        );
        Ok(EdgeDaemon { state, callers, internal_servers, reports, watch, housekeeping })
    }

    /// Returns the shared state of the router.
    pub fn state(&self) -> &Rc<EdgeState> {
        &self.state
    }

    /// Serves until a termination signal arrives, reloading the settings file when it changes.
    pub async fn run(self, mut signals: EdgeSignals, mut file: SettingsFile) {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.reload.recv() => file.reload(&self.state),
                () = tokio::time::sleep(SETTINGS_POLL) => file.reload_if_changed(&self.state),
            }
        }
        self.close().await;
    }

    /// Shuts the router down once requests in progress have ended, within the grace period.
    pub async fn close(self) {
        let started = Instant::now();
        let state = &self.state;
        log::info!(open_requests = state.open_requests(); "edge router shutting down");
        state.enter_stage(EdgeStage::Leaving);
        let limit = state.settings().shutdown_grace.saturating_sub(EXIT_MARGIN);
        // Accepts requests until the load balancer sends this router no more connections.
        let accepting = BALANCER_DELAY.min(limit / 2);
        let last_begin = started + accepting + LAST_BEGIN_MARGIN;
        state.schedule_stop(StopSchedule { last_begin, exit: started + limit });
        tokio::time::sleep(accepting).await;
        state.enter_stage(EdgeStage::Closing);
        self.callers.close().await;
        while state.unfinished_requests() > 0 && started.elapsed() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let cut_requests = state.unfinished_requests();
        if cut_requests > 0 {
            state.enter_stage(EdgeStage::Exiting);
            tokio::time::sleep(LAST_RESPONSE_TIME).await;
        }
        // The callers of streams that are cut come back to other routers at once.
        hand_over_streams(state).await;
        // Lets the last responses be flushed.
        tokio::time::sleep(DRAIN_POLL).await;
        log::info!(
            cut_requests,
            cut_responses = state.unfinished_requests(),
            seconds = started.elapsed().as_secs_f64();
            "edge router stopped"
        );
        for server in self.internal_servers {
            server.close();
        }
        self.reports.close();
        self.watch.close();
        self.housekeeping.abort();
        LogBuffer::shared().drain();
    }
}

async fn hand_over_streams(state: &EdgeState) {
    let Some(streams) = state.streams() else {
        return;
    };
    for _ in 0..HANDOVER_SENDS {
        streams.hand_over(state);
        tokio::time::sleep(HANDOVER_PAUSE).await;
    }
}

async fn run_housekeeping(state: Rc<EdgeState>) {
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        state.process_tick();
        if let Some(streams) = state.streams() {
            streams.tell_keeper(&state);
        }
        let expired = {
            let mut router = state.router();
            let now = state.now();
            let expired = router.expire(now);
            router.forget_removed_targets(now);
            state.pool.expire(|target| router.targets.contains(target));
            expired
        };
        let lapsed = state.router().expire_evacuations(state.now());
        state.handle_evacuations(&lapsed, "restored store");
        state.log_cold_notices();
        state.crash_checks.expire();
        for name in expired {
            state.metrics.target_changes.add(&[("effect", "expired")], 1);
            // `target` is the name of the module in each line.
            log::info!(target_name = name; "target did not register again in time; removed");
        }
        update_levels(&state);
        LogBuffer::shared().drain();
    }
}

fn update_levels(state: &EdgeState) {
    let router = state.router();
    let levels = &state.metrics.levels;
    levels.set(&[("of", "config_version")], router.config_version() as i64);
    levels.set(&[("of", "targets")], router.targets.len() as i64);
    levels.set(&[("of", "targets_missing")], router.targets.missing_count() as i64);
    levels.set(&[("of", "targets_limited")], router.limited_count() as i64);
    levels.set(&[("of", "targets_cold")], router.cold_count() as i64);
    levels.set(&[("of", "domains_evacuated")], router.targets.evacuations().len() as i64);
    levels.set(&[("of", "refused_causes")], router.refused_cause_count() as i64);
    levels.set(&[("of", "streams_known")], router.stream_count() as i64);
    levels.set(&[("of", "runs")], router.run_count() as i64);
    levels.set(&[("of", "routers_heard")], router.peer_count() as i64);
    levels.set(&[("of", "caller_connections")], state.callers.open_count() as i64);
    levels.set(&[("of", "request_body_bytes")], state.request_bodies.used_bytes() as i64);
    levels.set(&[("of", "response_body_bytes")], state.body_buffer.used_bytes() as i64);
    levels.set(&[("of", "lag_ms")], state.lag().as_millis() as i64);
    levels.set(&[("of", "log_lines_dropped")], LogBuffer::shared().dropped_lines() as i64);
}

fn register_signal(kind: SignalKind) -> Result<Signal, Report<ErrorKind>> {
    signal(kind).change_context(ErrorKind::LocalResource)
}
