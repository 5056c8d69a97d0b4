//! Keeps in the store which software versions began streams, while a service has several.
//!
//! The keeper of each failure domain writes. Routers that watch the store read when they start, and when others
//! have ended.

use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_platform::{BindingSlot, BindingWrite, StoreClient, StoredBindings};
use jackdaw_policy::direct::{BindingRing, StreamBinding};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::edge_state::EdgeState;
use crate::store_watch::{ELECTION_TIME, RetryBackoff, log_failure};

/// Maximum number of streams in one write: 640 KB, of the megabyte that the store takes.
const MAX_SAVED_STREAMS: usize = 40_000;

/// Least time between two times that the streams are read, which bounds the calls while routers end one after
/// another.
const READ_PAUSE: Duration = Duration::from_secs(2);

/// As [`READ_PAUSE`], while a caller waits.
const AWAITED_READ_PAUSE: Duration = Duration::from_millis(500);

/// Writes that are made at once, if more streams are to be written or others write as well.
const MAX_WRITES: u32 = 4;

/// Reads the streams of routers that have ended, when this one starts and whenever others end, while the record
/// of versions does not tell their versions. Only routers that watch the store read them; the others ask these, and
/// read themselves if a caller comes back to a stream that nobody who answers knows.
pub(super) async fn read_bindings_loop(state: Rc<EdgeState>) {
    state.bindings.request_read();
    state.findings.wait_tried().await;
    let mut client = StoreClient::new(state.settings().store_address);
    let mut backoff = RetryBackoff::new();
    let mut last_read = None;
    loop {
        state.bindings.wait_read_request().await;
        wait_turn(&state, last_read).await;
        let is_reader = || state.watches_store() || state.bindings.is_awaited();
        while is_reader() && state.router().version_record().record.has_several() {
            if client.address() != state.settings().store_address {
                client = StoreClient::new(state.settings().store_address);
            }
            let calls = client.call_count();
            let outcome = list_bindings(&state, &mut client).await;
            state.metrics.store_calls.inc_by(client.call_count() - calls);
            match outcome {
                Ok(streams) => {
                    log::info!(streams; "streams read from the store");
                    backoff.reset();
                    break;
                }
                Err(report) => {
                    log_failure("list of streams", &report, backoff.failures);
                    let longest = state.router().watch.longest_retry_pause();
                    backoff.wait(longest).await;
                }
            }
        }
        last_read = Some(Instant::now());
        state.bindings.end_reading();
    }
}

/// Waits until streams may be read again. The election of the routers that watch is given time, unless a caller
/// waits.
async fn wait_turn(state: &EdgeState, last_read: Option<Instant>) {
    let begun = Instant::now();
    loop {
        let is_awaited = state.bindings.is_awaited();
        let (delay, pause) = match is_awaited {
            true => (Duration::ZERO, AWAITED_READ_PAUSE),
            false => (ELECTION_TIME, READ_PAUSE),
        };
        let after_pause = last_read.map_or(begun, |last_read| last_read + pause);
        let ends = after_pause.max(begun + delay);
        if Instant::now() >= ends {
            return;
        }
        // A caller that begins to wait ends the wait early.
        let _ = tokio::time::timeout_at(ends, state.bindings.wait_read_request()).await;
    }
}

/// Lists the streams in the store, and takes them over; returns their number.
async fn list_bindings(
    state: &EdgeState,
    client: &mut StoreClient,
) -> Result<usize, Report<ErrorKind>> {
    client.raise_era(state.router().targets.era());
    let (stored, _) = client.list_bindings().await?;
    let mut streams = 0;
    for StoredBindings { bindings, .. } in &stored {
        streams += bindings.len();
        for binding in bindings {
            state.record_binding(binding);
        }
        state.router().mark_streams_saved(bindings);
    }
    let domain = domain_hash(state);
    let own = stored.iter().filter(|stored| stored.slot.domain == domain);
    let ring = own.map(|stored| (stored.slot.number, stored.sequence, stored.object_revision));
    state.bindings.set_ring(Some(BindingRing::new(ring)));
    Ok(streams)
}

/// Writes streams while this router keeps those of its failure domain.
pub(super) async fn save_bindings_loop(state: Rc<EdgeState>) {
    let mut client = StoreClient::new(state.settings().store_address);
    let mut backoff = RetryBackoff::new();
    loop {
        let period = BindingRing::write_period(state.router().return_span());
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = state.bindings.wait_write_request() => {}
        }
        state.wait_store_watch().await;
        if !saves_bindings(&state) {
            continue;
        }
        if client.address() != state.settings().store_address {
            client = StoreClient::new(state.settings().store_address);
        }
        client.raise_era(state.router().targets.era());
        let calls = client.call_count();
        let outcome = save_bindings(&state, &mut client).await;
        state.metrics.store_calls.inc_by(client.call_count() - calls);
        match outcome {
            Ok(()) => backoff.reset(),
            Err(report) => {
                log_failure("write of streams", &report, backoff.failures);
                let longest = state.router().watch.longest_retry_pause();
                backoff.wait(longest).await;
            }
        }
    }
}

fn saves_bindings(state: &EdgeState) -> bool {
    let router = state.router();
    router.watch.is_keeper() && router.version_record().record.has_several()
}

/// Writes the streams that the store lacks.
pub(super) async fn save_bindings(
    state: &EdgeState,
    client: &mut StoreClient,
) -> Result<(), Report<ErrorKind>> {
    let Some(_guard) = state.bindings.begin_write() else {
        return Ok(());
    };
    for _ in 0..MAX_WRITES {
        let unsaved = state.router().unsaved_streams(state.now(), MAX_SAVED_STREAMS);
        if unsaved.is_empty() {
            break;
        }
        match state.bindings.ring() {
            Some(ring) => write_bindings(state, client, ring, &unsaved).await?,
            None => {
                list_bindings(state, client).await?;
            }
        }
    }
    Ok(())
}

async fn write_bindings(
    state: &EdgeState,
    client: &mut StoreClient,
    mut ring: BindingRing,
    unsaved: &[StreamBinding],
) -> Result<(), Report<ErrorKind>> {
    let next = ring.next_write();
    let slot = BindingSlot { domain: domain_hash(state), number: next.number };
    let written = client.write_bindings(slot, next.sequence, unsaved, next.replaced).await?;
    match written {
        BindingWrite::Written(revision) => {
            ring.record_write(next, revision);
            state.router().mark_streams_saved(unsaved);
            state.metrics.bindings_saved.inc_by(unsaved.len() as u64);
        }
        // Another router keeps the domain's streams as well, or did when a write was lost.
        BindingWrite::Conflict(revision) => ring.record_write(next, revision),
        BindingWrite::Missing => ring.record_missing(next),
    }
    log::debug!(streams = unsaved.len(), slot = next.number, outcome:? = written; "streams written to the store");
    state.bindings.set_ring(Some(ring));
    Ok(())
}

fn domain_hash(state: &EdgeState) -> u32 {
    xxh3_64(state.settings().domain.as_bytes()) as u32
}
