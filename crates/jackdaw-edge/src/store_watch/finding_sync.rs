//! Keeps the findings behind refusals in the store, so that routers that start know them even if no
//! other router runs. The watch of the findings also delivers the record of software versions
//! ([`version_sync`](crate::store_watch::version_sync)).
//!
//! The routers that watch the store read the findings of the others there and write what is missing.
//! Findings can be merged in any order, so a write that another one preceded is simply planned again.

use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_platform::{
    FindingWrite, ListingAge, RecordUpdate, StoreClient, StoredFindings, StoredVersions,
};
use jackdaw_policy::direct::{CrashFinding, FindingSource, RecordAge};

use crate::edge_state::EdgeState;
use crate::store_watch::version_sync::{confirm_versions, take_over_records, take_over_versions};
use crate::store_watch::{LONG_POLL_WAIT, RetryBackoff, WatchSession, log_failure};

/// Time between two checks whether the store lacks findings.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

/// Maximum random delay of a write. A write of another router that arrives within it makes this one
/// needless.
const WRITE_SPREAD: Duration = Duration::from_millis(100);

/// Follows what the store keeps for routers while this router is assigned to watch it.
pub(super) async fn watch_records_loop(state: Rc<EdgeState>) {
    let mut session = WatchSession::open(&state);
    loop {
        session.prepare(&state).await;
        let outcome = poll_records(&state, &mut session).await;
        state.findings.mark_tried();
        session.count_calls(&state);
        match outcome {
            Ok(()) => session.backoff.reset(),
            Err(report) => session.retry(&state, "crash findings", &report).await,
        }
    }
}

/// Reads what the store keeps for routers, or waits for its next change if a revision is known.
async fn poll_records(
    state: &EdgeState,
    session: &mut WatchSession,
) -> Result<(), Report<ErrorKind>> {
    let Some(after) = session.revision else {
        let age = match session.listing_age {
            ListingAge::MayBeStale => RecordAge::MayBeStale,
            ListingAge::Latest => RecordAge::Latest,
        };
        let stored = session.client.read_records(session.listing_age).await?;
        let (count, read) = (stored.findings.findings.len(), stored.revision);
        log::info!(findings = count, revision:% = read; "crash findings read from the store");
        take_over_records(state, stored, age);
        state.findings.mark_tried();
        session.start_watch(read).await;
        return Ok(());
    };
    match session.client.watch_records(after, LONG_POLL_WAIT).await? {
        RecordUpdate::Current { findings, versions, revision } => {
            if let Some(stored) = findings {
                take_over_findings(state, stored);
            }
            match (versions, state.versions.held()) {
                (Some(stored), _) => take_over_versions(state, stored, RecordAge::Latest),
                (None, Some(held)) if held.revision < revision => {
                    confirm_versions(state, StoredVersions { revision, ..held });
                }
                (None, _) => {}
            }
            session.revision = Some(revision);
        }
        RecordUpdate::HistoryLost => {
            log::info!(revision:% = after; "revision expired; reading the crash findings again");
            session.restart_watch();
        }
    }
    Ok(())
}

/// Merges the findings of the store and remembers what it holds.
pub(super) fn take_over_findings(state: &EdgeState, stored: StoredFindings) {
    let now = state.now();
    state.router().apply_crash_findings(now, &stored.findings, FindingSource::Store);
    state.log_crash_notices();
    state.findings.update(stored);
}

/// Writes findings that the store lacks, while this router is assigned to watch it.
pub(super) async fn write_findings_loop(state: Rc<EdgeState>) {
    let mut client = StoreClient::new(state.settings().store_address);
    let mut backoff = RetryBackoff::new();
    loop {
        tokio::time::sleep(WRITE_PERIOD).await;
        state.wait_store_watch().await;
        if plan_write(&state).is_none() {
            continue;
        }
        tokio::time::sleep(WRITE_SPREAD.mul_f64(rand::random_range(0.0..=1.0))).await;
        let Some((findings, replaced)) = plan_write(&state) else {
            continue;
        };
        if client.address() != state.settings().store_address {
            client = StoreClient::new(state.settings().store_address);
        }
        client.raise_era(replaced.revision.era());
        let calls = client.call_count();
        let outcome = client.write_findings(&findings, &replaced).await;
        state.metrics.store_calls.inc_by(client.call_count() - calls);
        match outcome {
            Ok(write) => {
                record_write(&state, write, findings.len(), &replaced);
                backoff.reset();
            }
            Err(report) => {
                log_failure("write of crash findings", &report, backoff.failures);
                let longest = state.router().watch.longest_retry_pause();
                backoff.wait(longest).await;
            }
        }
    }
}

/// Returns the findings that the store is to hold and the state that they replace; `None` if there
/// is nothing to write.
fn plan_write(state: &EdgeState) -> Option<(Vec<CrashFinding>, StoredFindings)> {
    let held = state.findings.held()?;
    let findings = state.router().plan_stored_findings(state.now(), &held.findings)?;
    Some((findings, held))
}

fn record_write(state: &EdgeState, write: FindingWrite, count: usize, replaced: &StoredFindings) {
    match write {
        FindingWrite::Written(stored) => {
            let before = replaced.findings.len();
            log::info!(findings = count, before; "crash findings written to the store");
            take_over_findings(state, stored);
        }
        FindingWrite::Conflict(stored) => {
            log::info!(findings = stored.findings.len(); "crash findings were written by another router");
            take_over_findings(state, stored);
        }
        FindingWrite::Missing => {
            log::warn!("the store has lost its crash findings; writing them again");
            let missing =
                StoredFindings { findings: Vec::new(), object_revision: None, ..*replaced };
            state.findings.update(missing);
        }
    }
}
