//! Follows configuration and targets in the platform's store, while this router is to watch it.

use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_platform::{ConfigUpdate, StoreClient, TargetUpdate};
use jackdaw_policy::direct::FleetConfig;
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;

/// Time for which the store may hold a watch. A connection gone silent is noticed after it, within
/// the three seconds after which the platform expects a calm machine to act again.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Pause after news, so that changes in quick succession arrive with one call; short beside the
/// report period by which news reaches routers that do not watch.
const NEWS_PAUSE: Duration = Duration::from_millis(100);

/// Bounds of the pause after a failed call.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// The watches of the store.
pub struct StoreWatch {
    tasks: Vec<JoinHandle<()>>,
}

/// The state of one watch.
struct WatchLink {
    client: StoreClient,
    pause: RetryPause,
    /// The revision from which to go on; `None` where all is to be read anew.
    revision: Option<u64>,
    /// The client's calls that the metrics count already.
    counted_calls: u64,
}

/// Pause between failed calls, doubling up to a limit.
struct RetryPause {
    next: Duration,
    failures: u32,
}

impl StoreWatch {
    /// Starts the watches; they end when the returned value is closed.
    pub fn spawn(state: &Rc<EdgeState>) -> StoreWatch {
        let tasks = vec![
            tokio::task::spawn_local(follow_config(Rc::clone(state))),
            tokio::task::spawn_local(follow_targets(Rc::clone(state))),
        ];
        StoreWatch { tasks }
    }

    /// Ends the watches.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

impl RetryPause {
    fn new() -> RetryPause {
        RetryPause { next: RETRY_RANGE.0, failures: 0 }
    }

    fn reset(&mut self) {
        *self = RetryPause::new();
    }

    /// Waits between half and the whole of the pause, so that routers do not call in step.
    async fn wait(&mut self) {
        let part = rand::random_range(0.5..=1.0);
        self.failures += 1;
        tokio::time::sleep(self.next.mul_f64(part)).await;
        self.next = (self.next * 2).min(RETRY_RANGE.1);
    }
}

impl WatchLink {
    fn open(state: &EdgeState) -> WatchLink {
        let client = StoreClient::new(state.settings().store_address);
        WatchLink { client, pause: RetryPause::new(), revision: None, counted_calls: 0 }
    }

    /// Waits until this router is to watch the store that the settings name.
    async fn prepare(&mut self, state: &EdgeState) {
        if !state.watches_store() {
            state.wait_store_watch().await;
            self.revision = None;
            self.pause.reset();
        }
        if self.client.address() != state.settings().store_address {
            *self = WatchLink::open(state);
        }
    }

    /// Adds the calls made since the last time to the metrics.
    fn count_calls(&mut self, state: &EdgeState) {
        let calls = self.client.call_count();
        state.metrics.store_calls.inc_by(calls - self.counted_calls);
        self.counted_calls = calls;
    }
}

async fn follow_config(state: Rc<EdgeState>) {
    let mut link = WatchLink::open(&state);
    loop {
        link.prepare(&state).await;
        let outcome = config_step(&state, &mut link).await;
        link.count_calls(&state);
        match outcome {
            Ok(()) => {
                if link.pause.failures > 0 {
                    log::info!(failures = link.pause.failures; "store regained, configuration");
                }
                link.pause.reset();
            }
            Err(report) => {
                note_failure(&state);
                log_failure("configuration", &report, link.pause.failures);
                link.pause.wait().await;
            }
        }
    }
}

/// Reads the configuration, or waits for its next change.
async fn config_step(state: &EdgeState, link: &mut WatchLink) -> Result<(), Report<ErrorKind>> {
    let Some(after) = link.revision else {
        let (config, read) = link.client.read_config().await?;
        install(state, config);
        link.revision = Some(read);
        return Ok(());
    };
    match link.client.watch_config(after, WATCH_WAIT).await? {
        ConfigUpdate::Current { config, revision: next } => {
            let has_news = config.is_some();
            install(state, config);
            link.revision = Some(next);
            if has_news {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
        }
        ConfigUpdate::HistoryLost => {
            log::info!(revision = after; "the store's history is gone, configuration read again");
            link.revision = None;
        }
    }
    Ok(())
}

fn install(state: &EdgeState, config: Option<FleetConfig>) {
    let Some(config) = config else {
        return;
    };
    let (version, routes) = (config.version, config.routes.len());
    let known = state.router().config_version();
    if state.router().install_config(config) {
        log::info!(config = version, before = known, routes; "configuration in force");
    } else if version < known {
        log::warn!(config = version, known; "an older configuration was read, left out");
    }
}

async fn follow_targets(state: Rc<EdgeState>) {
    let mut link = WatchLink::open(&state);
    loop {
        if !state.watches_store() {
            // What comes and goes until the next watch is not seen.
            let now = state.now();
            state.router().targets.record_contact(now, false);
        }
        link.prepare(&state).await;
        let outcome = targets_step(&state, &mut link).await;
        link.count_calls(&state);
        match outcome {
            Ok(()) => link.pause.reset(),
            Err(report) => {
                note_failure(&state);
                let now = state.now();
                let is_lost = state.router().targets.record_contact(now, false);
                if is_lost || link.pause.failures == 0 {
                    log_failure("targets", &report, link.pause.failures);
                }
                link.pause.wait().await;
            }
        }
    }
}

/// Lists the targets, or waits for their next changes.
async fn targets_step(state: &EdgeState, link: &mut WatchLink) -> Result<(), Report<ErrorKind>> {
    let Some(after) = link.revision else {
        let (entries, read) = link.client.list_targets().await?;
        note_contact(state);
        let count = entries.len();
        state.router().targets.replace(state.now(), entries, read);
        log::info!(targets = count, revision = read; "targets listed");
        link.revision = Some(read);
        return Ok(());
    };
    match link.client.watch_targets(after, WATCH_WAIT).await? {
        TargetUpdate::Changes { changes, revision: next } => {
            note_contact(state);
            let has_news = !changes.is_empty();
            for change in changes {
                log::info!(change:? = change; "target changed");
                state.router().targets.apply(state.now(), change);
            }
            link.revision = Some(next);
            if has_news {
                tokio::time::sleep(NEWS_PAUSE).await;
            }
        }
        TargetUpdate::HistoryLost => {
            log::info!(revision = after; "the store's history is gone, targets listed again");
            link.revision = None;
        }
    }
    Ok(())
}

fn note_contact(state: &EdgeState) {
    let now = state.now();
    let mut router = state.router();
    router.watch.record_store_call(now, true);
    if router.targets.record_contact(now, true) {
        log::info!("store regained, targets");
    }
}

fn note_failure(state: &EdgeState) {
    let now = state.now();
    state.router().watch.record_store_call(now, false);
}

/// Logs the first failure in a row, and then every tenth.
fn log_failure(subject: &str, report: &Report<ErrorKind>, failures: u32) {
    if failures.is_multiple_of(10) {
        log::warn!(subject, failures, error:% = describe_report(report); "store not reached");
    }
}
