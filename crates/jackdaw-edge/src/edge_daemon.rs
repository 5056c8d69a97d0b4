//! The life of an edge router from its settings to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_policy::direct::{BALANCER_DELAY, TargetEntry};
use jackdaw_settings::EdgeSettings;
use jackdaw_telemetry::LogBuffer;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;

use crate::caller_server::CallerServer;
use crate::edge_state::{EdgeStage, EdgeState, TICK_PERIOD};
use crate::internal_server::InternalServer;
use crate::peer_reports::PeerReports;
use crate::settings_file::SettingsFile;
use crate::store_watch::StoreWatch;

/// Time before the end of the grace period at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Pause between two looks whether the settings file has changed without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Pause between two looks at open requests while the process ends.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running edge router.
pub struct EdgeDaemon {
    state: Rc<EdgeState>,
    callers: CallerServer,
    services: Vec<InternalServer>,
    reports: PeerReports,
    watch: StoreWatch,
    housekeeping: JoinHandle<()>,
}

/// The signals of a router. They are opened before anything else: one that came earlier would
/// end the process at once.
pub struct EdgeSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl EdgeSignals {
    /// Receives signals from now on.
    ///
    /// # Errors
    ///
    /// `LocalResource` where signals cannot be received.
    pub fn register() -> Result<EdgeSignals, Report<ErrorKind>> {
        Ok(EdgeSignals {
            terminate: register_signal(SignalKind::terminate())?,
            interrupt: register_signal(SignalKind::interrupt())?,
            reload: register_signal(SignalKind::hangup())?,
        })
    }
}

impl EdgeDaemon {
    /// Starts all parts of a router within the current local task set.
    ///
    /// # Errors
    ///
    /// `LocalResource` where an address cannot be bound.
    pub async fn bind(settings: EdgeSettings) -> Result<EdgeDaemon, Report<ErrorKind>> {
        let state = EdgeState::new(settings);
        let settings = state.settings();
        let metrics = SocketAddr::from((settings.ip(), settings.metrics_port));
        let mut services = Vec::new();
        for address in [settings.readiness_address, settings.peer_address.into(), metrics] {
            services.push(InternalServer::bind(&state, address).await?);
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
        Ok(EdgeDaemon { state, callers, services, reports, watch, housekeeping })
    }

    /// Returns the state.
    pub fn state(&self) -> &Rc<EdgeState> {
        &self.state
    }

    /// Serves until a signal ends the router; follows changes of its settings file.
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

    /// Ends the router after the work in progress, within the grace period.
    pub async fn close(self) {
        let started = Instant::now();
        let state = &self.state;
        log::info!(open_requests = state.open_requests(); "edge router leaving");
        state.enter_stage(EdgeStage::Leaving);
        let limit = state.settings().shutdown_grace.saturating_sub(EXIT_MARGIN);
        tokio::time::sleep(BALANCER_DELAY.min(limit / 2)).await;
        state.enter_stage(EdgeStage::Closing);
        self.callers.close().await;
        while state.open_requests() > 0 && started.elapsed() < limit {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // The last answers leave their buffers.
        tokio::time::sleep(DRAIN_POLL).await;
        log::info!(
            cut_requests = state.open_requests(),
            seconds = started.elapsed().as_secs_f64();
            "edge router ended"
        );
        for service in self.services {
            service.close();
        }
        self.reports.close();
        self.watch.close();
        self.housekeeping.abort();
        LogBuffer::shared().drain();
    }
}

async fn run_housekeeping(state: Rc<EdgeState>) {
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        state.process_tick();
        let now = state.now();
        let (gone, known) = {
            let mut router = state.router();
            let gone = router.expire(now);
            router.forget_removed_targets();
            let known: Vec<_> = router.targets.entries().map(TargetEntry::id).collect();
            (gone, known)
        };
        for target in gone {
            log::info!(target:% = target; "target did not register again, taken as gone");
        }
        state.pool.expire(|target| known.contains(&target));
        update_levels(&state, known.len());
        LogBuffer::shared().drain();
    }
}

fn update_levels(state: &EdgeState, targets: usize) {
    let router = state.router();
    let levels = &state.metrics.levels;
    levels.set(&[("of", "config_version")], router.config_version() as i64);
    levels.set(&[("of", "targets")], targets as i64);
    levels.set(&[("of", "runs")], router.run_count() as i64);
    levels.set(&[("of", "routers_heard")], router.peer_count() as i64);
    levels.set(&[("of", "lag_ms")], state.lag().as_millis() as i64);
    levels.set(&[("of", "log_lines_dropped")], LogBuffer::shared().dropped_lines() as i64);
}

fn register_signal(kind: SignalKind) -> Result<Signal, Report<ErrorKind>> {
    signal(kind).change_context(ErrorKind::LocalResource)
}
