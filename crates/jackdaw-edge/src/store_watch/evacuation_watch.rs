//! Follows the evacuated failure domains in the store.

use std::rc::Rc;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_platform::EvacuationUpdate;

use crate::edge_state::EdgeState;
use crate::store_watch::{LONG_POLL_WAIT, WatchSession};

/// Follows the evacuated domains while this router is assigned to watch the store. The other routers
/// learn of them from reports.
pub(super) async fn watch_evacuations_loop(state: Rc<EdgeState>) {
    let mut session = WatchSession::open(&state);
    loop {
        session.prepare(&state).await;
        let outcome = poll_evacuations(&state, &mut session).await;
        session.count_calls(&state);
        match outcome {
            Ok(()) => session.backoff.reset(),
            Err(report) => session.retry(&state, "evacuations", &report).await,
        }
    }
}

/// Lists the evacuated domains, or waits for their next changes if a revision is known.
async fn poll_evacuations(
    state: &EdgeState,
    session: &mut WatchSession,
) -> Result<(), Report<ErrorKind>> {
    let Some(after) = session.revision else {
        let (domains, read) = session.client.list_evacuations(session.listing_age).await?;
        log::info!(domains = domains.join(" "), revision:% = read; "evacuated domains listed");
        let effect = state.router().replace_evacuations(state.now(), read, domains);
        state.handle_evacuations(&effect, "store");
        session.start_watch(read).await;
        return Ok(());
    };
    match session.client.watch_evacuations(after, LONG_POLL_WAIT).await? {
        EvacuationUpdate::Changes { changes, revision } => {
            let effect = state.router().change_evacuations(state.now(), revision, &changes);
            state.handle_evacuations(&effect, "store");
            session.revision = Some(revision);
        }
        EvacuationUpdate::HistoryLost => {
            log::info!(revision:% = after; "revision expired; listing the evacuated domains again");
            session.restart_watch();
        }
    }
    Ok(())
}
