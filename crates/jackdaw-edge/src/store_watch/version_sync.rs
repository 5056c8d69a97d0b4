//! Keeps the record of software versions in the store, and uses targets once it names their versions.
//!
//! Only routers that watch the store write. Those that keep the streams of their failure domain go first;
//! the others learn of the write from their watch, or write if it does not come.

use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_platform::{ListingAge, StoreClient, StoredRecords, StoredVersions, VersionWrite};
use jackdaw_policy::direct::{KnownRecord, RecordAge, ServiceVersions, VersionRecord};

use crate::edge_state::EdgeState;
use crate::log_text::format_names;
use crate::store_watch::binding_sync::save_bindings;
use crate::store_watch::finding_sync::take_over_findings;
use crate::store_watch::{RetryBackoff, log_failure};

/// Time between two checks whether the record is right.
const REVIEW_PERIOD: Duration = Duration::from_secs(1);

/// Random delay before a write of versions that are about to be used: of keepers, and of others. A write of
/// another router that arrives within it makes this one needless.
const RECORD_DELAYS: [(Duration, Duration); 2] = [
    (Duration::ZERO, Duration::from_millis(40)),
    (Duration::from_millis(60), Duration::from_millis(140)),
];

/// As [`RECORD_DELAYS`], of other changes of the record.
const REVIEW_DELAYS: [(Duration, Duration); 2] = [
    (Duration::ZERO, Duration::from_millis(100)),
    (Duration::from_millis(500), Duration::from_millis(1500)),
];

/// Calls that are made for one change of the record, if other routers change it at the same time.
const MAX_ROUNDS: u32 = 5;

/// Takes over what the store keeps for routers.
pub(super) fn take_over_records(state: &EdgeState, stored: StoredRecords, age: RecordAge) {
    take_over_findings(state, stored.findings);
    take_over_versions(state, stored.versions, age);
}

/// Takes over the record, and uses the targets whose versions it names.
pub(super) fn take_over_versions(state: &EdgeState, stored: StoredVersions, age: RecordAge) {
    let known = KnownRecord { record: stored.record.clone(), as_of: stored.revision };
    let (before, after) = {
        let mut router = state.router();
        let before = router.version_record().clone();
        router.apply_version_record(state.now(), known, age);
        (before, router.version_record().clone())
    };
    if before.record != after.record {
        log::info!(
            versions = describe_versions(&after.record.services),
            complete_in:? = after.record.complete_in, revision:% = after.as_of, age:? = age;
            "software versions that may have streams"
        );
    }
    if before.as_of.era() != after.as_of.era() {
        // The copy lacks what was written last.
        state.router().mark_streams_unsaved();
        state.bindings.set_ring(None);
    }
    state.versions.update(stored);
    release_targets(state);
    if after.record.has_several() {
        state.bindings.request_write();
    }
}

/// Notes that the record is unchanged up to a revision.
pub(super) fn confirm_versions(state: &EdgeState, unchanged: StoredVersions) {
    let known = KnownRecord { record: unchanged.record.clone(), as_of: unchanged.revision };
    state.router().apply_version_record(state.now(), known, RecordAge::Latest);
    state.versions.update(unchanged);
    release_targets(state);
}

fn release_targets(state: &EdgeState) {
    let released = state.router().release_targets(state.now());
    for (entry, effect) in released {
        state.metrics.record_target_change(effect);
        log::info!(
            target_name = entry.name, version = entry.version.unwrap_or_default(), effect:? = effect;
            "target used, since its version is recorded"
        );
    }
}

/// Records the versions of withheld targets, which are used from then on.
pub(super) async fn record_versions(
    state: &EdgeState,
    client: &mut StoreClient,
) -> Result<(), Report<ErrorKind>> {
    for _ in 0..MAX_ROUNDS {
        if state.router().withheld_targets().is_empty() {
            return Ok(());
        }
        let held = state.versions.held();
        if held.is_none() || state.router().needs_newer_record() {
            let stored = client.read_records(ListingAge::Latest).await?;
            take_over_records(state, stored, RecordAge::Latest);
            continue;
        }
        delay(state, &RECORD_DELAYS).await;
        write_record(state, client).await?;
    }
    let withheld = format_names(&state.router().withheld_targets());
    log::warn!(withheld; "targets are withheld, since their versions could not be recorded");
    Ok(())
}

/// Keeps the record right while this router watches the store: removes versions without streams, and adds
/// what a store that was restored from an older copy lacks.
pub(super) async fn keep_versions_loop(state: Rc<EdgeState>) {
    let mut client = StoreClient::new(state.settings().store_address);
    let mut backoff = RetryBackoff::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(REVIEW_PERIOD) => {}
            () = state.versions.wait_changed() => {}
        }
        state.wait_store_watch().await;
        if plan_record(&state).is_none() || !state.router().withheld_targets().is_empty() {
            continue;
        }
        delay(&state, &REVIEW_DELAYS).await;
        if client.address() != state.settings().store_address {
            client = StoreClient::new(state.settings().store_address);
        }
        client.raise_era(state.router().targets.era());
        let calls = client.call_count();
        let outcome = write_record(&state, &mut client).await;
        state.metrics.store_calls.inc_by(client.call_count() - calls);
        match outcome {
            Ok(()) => backoff.reset(),
            Err(report) => {
                log_failure("write of software versions", &report, backoff.failures);
                let longest = state.router().watch.longest_retry_pause();
                backoff.wait(longest).await;
            }
        }
    }
}

/// Waits for a random time, of which a router that keeps streams has the first part.
async fn delay(state: &EdgeState, [keepers, others]: &[(Duration, Duration); 2]) {
    let (from, to) = if state.router().watch.is_keeper() { keepers } else { others };
    tokio::time::sleep(rand::random_range(*from..=*to)).await;
}

/// Returns the record that the store is to have and the state that it replaces; `None` if there is
/// nothing to write.
fn plan_record(state: &EdgeState) -> Option<(VersionRecord, StoredVersions)> {
    let held = state.versions.held()?;
    let has_record = held.object_revision.is_some();
    let record = state.router().plan_version_record(state.now(), has_record)?;
    Some((record, held))
}

/// Writes the record, if there is anything to write. The streams of a failure domain are written before a
/// service has a second version, from when on a stream that is not known may be of either.
async fn write_record(
    state: &EdgeState,
    client: &mut StoreClient,
) -> Result<(), Report<ErrorKind>> {
    let Some((record, _)) = plan_record(state) else {
        return Ok(());
    };
    if record.has_several()
        && state.router().watch.is_keeper()
        && let Err(report) = save_bindings(state, client).await
    {
        log_failure("write of streams", &report, 0);
    }
    let Some((record, replaced)) = plan_record(state) else {
        return Ok(());
    };
    match client.write_versions(&record, &replaced).await? {
        VersionWrite::Written(stored) => {
            log::info!(
                versions = describe_versions(&record.services),
                before = describe_versions(&replaced.record.services),
                complete_in:? = record.complete_in;
                "software versions written to the store"
            );
            take_over_versions(state, stored, RecordAge::Latest);
        }
        VersionWrite::Conflict(stored) => {
            log::info!("software versions were written by another router");
            take_over_versions(state, stored, RecordAge::Latest);
        }
        VersionWrite::Missing => {
            log::warn!("the store has lost its record of software versions; writing it again");
            let record = VersionRecord::default();
            let missing = StoredVersions { record, object_revision: None, ..replaced };
            take_over_versions(state, missing, RecordAge::Latest);
        }
    }
    Ok(())
}

/// Lists the versions of each service, of which only the first ones are named.
fn describe_versions(services: &ServiceVersions) -> String {
    let services = services.iter().map(|(service, versions)| {
        let versions: Vec<String> =
            versions.iter().map(|version| format!("{:x}", version.0)).collect();
        format!("{service}={}", versions.join(","))
    });
    format_names(&services.collect::<Vec<String>>())
}
