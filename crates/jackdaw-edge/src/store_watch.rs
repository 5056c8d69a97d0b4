//! Watches configuration, targets, crash findings and software versions in the platform's store while this
//! router is assigned to.

mod binding_sync;
mod evacuation_watch;
mod finding_sync;
mod version_sync;

use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_platform::{ConfigUpdate, ListingAge, StoreClient, TargetUpdate};
use jackdaw_policy::direct::{FleetConfig, StoreContact, StoreRevision};
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;
use crate::log_text::format_names;
use crate::store_watch::binding_sync::{read_bindings_loop, save_bindings_loop};
use crate::store_watch::evacuation_watch::watch_evacuations_loop;
use crate::store_watch::finding_sync::{watch_records_loop, write_findings_loop};
use crate::store_watch::version_sync::{keep_versions_loop, record_versions};

/// How long the store may hold a watch of the configuration or the targets. A connection that went silent
/// is found after this time and that of a response, 2.4 s together. The rest of the three seconds after which
/// the platform expects an undisturbed VM to act again is for the next call, and for routers that do
/// not watch the store.
const POLL_WAIT: Duration = Duration::from_millis(1500);

/// As [`POLL_WAIT`], for what the platform sets no such bound for.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2500);

/// Pause after a change of the configuration, so that changes in quick succession arrive in one
/// response. It is short compared with the report period by which changes reach routers that do not
/// watch the store.
const CONFIG_BATCH_PAUSE: Duration = Duration::from_millis(100);

/// As [`CONFIG_BATCH_PAUSE`], for targets, of which many change in a row when they start or are
/// replaced. Targets that leave must be known everywhere after two seconds at the earliest, and
/// failing ones are noticed by the requests sent to them.
const TARGET_BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Time after the first listing before the first watch. Most routers of a fleet that starts as a
/// whole find within it that others watch the store.
const ELECTION_TIME: Duration = Duration::from_millis(400);

/// Minimum backoff after a failed call; the maximum depends on the election of the watching routers.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Background tasks that watch configuration, targets, crash findings and software versions in the store.
pub struct StoreWatch {
    tasks: Vec<JoinHandle<()>>,
}

/// State of one watch.
struct WatchSession {
    client: StoreClient,
    backoff: RetryBackoff,
    /// The revision to continue from; `None` if everything has to be read again.
    revision: Option<StoreRevision>,
    /// Whether the next listing may be stale.
    listing_age: ListingAge,
    has_listed: bool,
    /// Calls of the client that the metrics already include.
    counted_calls: u64,
}

/// Exponential backoff with jitter.
struct RetryBackoff {
    next: Duration,
    failures: u32,
}

impl StoreWatch {
    /// Starts the watches, which run until [`StoreWatch::close`].
    pub fn spawn(state: &Rc<EdgeState>) -> StoreWatch {
        let mut tasks = vec![
            tokio::task::spawn_local(watch_config_loop(Rc::clone(state))),
            tokio::task::spawn_local(watch_targets_loop(Rc::clone(state))),
            tokio::task::spawn_local(watch_records_loop(Rc::clone(state))),
            tokio::task::spawn_local(write_findings_loop(Rc::clone(state))),
            tokio::task::spawn_local(keep_versions_loop(Rc::clone(state))),
            tokio::task::spawn_local(read_bindings_loop(Rc::clone(state))),
            tokio::task::spawn_local(save_bindings_loop(Rc::clone(state))),
        ];
        if state.settings().evacuation_time.is_some() {
            tasks.push(tokio::task::spawn_local(watch_evacuations_loop(Rc::clone(state))));
        }
        StoreWatch { tasks }
    }

    /// Stops the watches.
    pub fn close(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

impl RetryBackoff {
    fn new() -> RetryBackoff {
        RetryBackoff { next: MIN_BACKOFF, failures: 0 }
    }

    fn reset(&mut self) {
        *self = RetryBackoff::new();
    }

    /// Waits for 50 to 100 % of the current backoff, so that routers do not retry in lockstep. The
    /// backoff doubles up to `longest`.
    async fn wait(&mut self, longest: Duration) {
        let jitter = rand::random_range(0.5..=1.0);
        self.failures += 1;
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(longest);
    }
}

impl WatchSession {
    fn open(state: &EdgeState) -> WatchSession {
        let client = StoreClient::new(state.settings().store_address);
        WatchSession {
            client,
            backoff: RetryBackoff::new(),
            revision: None,
            // A router that has just started knows nothing that would supersede a stale listing.
            listing_age: ListingAge::Latest,
            has_listed: false,
            counted_calls: 0,
        }
    }

    /// Waits until this router is assigned to watch the store, and follows a changed store address.
    async fn prepare(&mut self, state: &EdgeState) {
        if !state.watches_store() {
            state.wait_store_watch().await;
            self.revision = None;
            self.backoff.reset();
        }
        if self.client.address() != state.settings().store_address {
            *self = WatchSession::open(state);
        }
        self.client.raise_era(state.router().targets.era());
    }

    /// Continues from a listing. After the first one of the process, the election of the watching
    /// routers is given time.
    async fn start_watch(&mut self, revision: StoreRevision) {
        self.revision = Some(revision);
        self.listing_age = ListingAge::MayBeStale;
        if !std::mem::replace(&mut self.has_listed, true) {
            tokio::time::sleep(ELECTION_TIME).await;
        }
    }

    /// Prepares to list again, since the history since the known revision is lost.
    fn restart_watch(&mut self) {
        self.revision = None;
        // A stale listing may be older than the history that the store still has.
        self.listing_age = ListingAge::Latest;
    }

    /// Prepares to try again after a failed call. The store limits the number of calls for the latest
    /// state, which a fleet that starts as a whole may exceed.
    fn allow_stale(&mut self) {
        self.listing_age = ListingAge::MayBeStale;
    }

    /// Logs a failed call and waits before the next one.
    async fn retry(&mut self, state: &EdgeState, subject: &str, report: &Report<ErrorKind>) {
        let now = state.now();
        state.router().watch.record_store_call(now, false);
        log_failure(subject, report, self.backoff.failures);
        let longest = state.router().watch.longest_retry_pause();
        self.allow_stale();
        self.backoff.wait(longest).await;
    }

    /// Adds the calls since the previous invocation to the metrics.
    fn count_calls(&mut self, state: &EdgeState) {
        let calls = self.client.call_count();
        state.metrics.store_calls.inc_by(calls - self.counted_calls);
        self.counted_calls = calls;
    }
}

async fn watch_config_loop(state: Rc<EdgeState>) {
    let mut session = WatchSession::open(&state);
    loop {
        session.prepare(&state).await;
        let outcome = poll_config(&state, &mut session).await;
        session.count_calls(&state);
        match outcome {
            Ok(()) => {
                if session.backoff.failures > 0 {
                    log::info!(failures = session.backoff.failures; "config watch recovered");
                }
                session.backoff.reset();
            }
            Err(report) => session.retry(&state, "configuration", &report).await,
        }
    }
}

/// Reads the configuration, or waits for its next change if a revision is known.
async fn poll_config(
    state: &EdgeState,
    session: &mut WatchSession,
) -> Result<(), Report<ErrorKind>> {
    let Some(after) = session.revision else {
        let (config, read) = session.client.read_config(session.listing_age).await?;
        install_config(state, config);
        session.start_watch(read).await;
        return Ok(());
    };
    match session.client.watch_config(after, POLL_WAIT).await? {
        ConfigUpdate::Current { config, revision: next } => {
            let has_changes = config.is_some();
            install_config(state, config);
            session.revision = Some(next);
            if has_changes {
                tokio::time::sleep(CONFIG_BATCH_PAUSE).await;
            }
        }
        ConfigUpdate::HistoryLost => {
            log::info!(revision:% = after; "revision expired; reading the configuration again");
            session.restart_watch();
        }
    }
    Ok(())
}

fn install_config(state: &EdgeState, config: Option<FleetConfig>) {
    let Some(config) = config else {
        return;
    };
    let (version, routes) = (config.version, config.routes.len());
    let known = state.router().config_version();
    if state.router().install_config(config) {
        log::info!(config = version, before = known, routes; "configuration installed");
    } else if version < known {
        log::warn!(config = version, known; "ignoring a configuration older than the current one");
    }
}

async fn watch_targets_loop(state: Rc<EdgeState>) {
    let mut session = WatchSession::open(&state);
    loop {
        if !state.watches_store() {
            let now = state.now();
            state.router().record_store_contact(now, StoreContact::Ended);
        }
        session.prepare(&state).await;
        let outcome = poll_targets(&state, &mut session).await;
        session.count_calls(&state);
        match outcome {
            Ok(()) => session.backoff.reset(),
            Err(report) => {
                let now = state.now();
                let is_lost = state.router().record_store_contact(now, StoreContact::Failed);
                if is_lost || session.backoff.failures == 0 {
                    log_failure("targets", &report, session.backoff.failures);
                }
                let longest = state.router().watch.longest_retry_pause();
                session.allow_stale();
                session.backoff.wait(longest).await;
            }
        }
    }
}

/// Lists the targets, or waits for their next changes if a revision is known.
async fn poll_targets(
    state: &EdgeState,
    session: &mut WatchSession,
) -> Result<(), Report<ErrorKind>> {
    let Some(after) = session.revision else {
        let (entries, read) = session.client.list_targets(session.listing_age).await?;
        // A router that has just started must not send requests that were refused before.
        state.findings.wait_tried().await;
        record_store_success(state);
        let count = entries.len();
        let effect = state.router().replace_targets(state.now(), entries, read);
        state.metrics.record_target_update(&effect);
        let missing = state.router().targets.missing_count();
        log::info!(
            targets = count, missing, revision:% = read,
            withdrawn = format_names(&effect.withdrawn),
            registered = format_names(&effect.registered),
            withheld = format_names(&state.router().withheld_targets());
            "targets listed"
        );
        if !state.router().expects_others() {
            // No election has to be waited for.
            record_versions(state, &mut session.client).await?;
        }
        session.start_watch(read).await;
        return Ok(());
    };
    // Not before the first watch, since few routers of a fleet that starts as a whole have to do it.
    record_versions(state, &mut session.client).await?;
    match session.client.watch_targets(after, POLL_WAIT).await? {
        TargetUpdate::Changes { changes, revision: next } => {
            record_store_success(state);
            let has_changes = !changes.is_empty();
            for change in changes {
                let description = format!("{change:?}");
                let effect = state.router().apply_target_change(state.now(), change);
                state.metrics.record_target_change(effect);
                log::info!(change = description, effect:? = effect; "target changed");
            }
            session.revision = Some(next);
            record_versions(state, &mut session.client).await?;
            if has_changes {
                tokio::time::sleep(TARGET_BATCH_PAUSE).await;
            }
        }
        TargetUpdate::HistoryLost => {
            log::info!(revision:% = after; "revision expired; listing the targets again");
            session.restart_watch();
        }
    }
    Ok(())
}

fn record_store_success(state: &EdgeState) {
    let now = state.now();
    if state.router().record_store_contact(now, StoreContact::Answered) {
        log::info!("target watch recovered");
    }
}

/// Logs every tenth consecutive failure, starting with the first.
fn log_failure(subject: &str, report: &Report<ErrorKind>, failures: u32) {
    if failures.is_multiple_of(10) {
        log::warn!(subject, failures, error:% = describe_report(report); "store call failed");
    }
}
