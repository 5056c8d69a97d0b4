//! Watch on the platform's configuration.
//!
//! Only some routers run it; the others receive the configuration from their peers.

use actix::Addr;
use actix_rt::task::JoinHandle;
use jackdaw_objects::{CatalogFeed, FeedSettings, PlatformClient};
use tokio::sync::oneshot;

use crate::decision_actor::{ApplyUpdate, DecisionActor};

/// Watch that is started and stopped as the router's relay role changes.
pub struct CatalogWatch {
    /// Client of the platform's store.
    store: PlatformClient,
    /// Task of the watch, if it was started.
    running: Option<RunningWatch>,
}

/// Task of a started watch.
struct RunningWatch {
    /// Task that forwards updates to the actor.
    task: JoinHandle<()>,
    /// Stops the task when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl CatalogWatch {
    /// Creates a stopped watch.
    pub fn new(store: PlatformClient) -> CatalogWatch {
        CatalogWatch { store, running: None }
    }

    /// Starts the watch unless its task is still running.
    pub fn start(&mut self, actor: Addr<DecisionActor>) {
        if self.running.as_ref().is_some_and(|running| !running.task.is_finished()) {
            return;
        }
        let feed = CatalogFeed::spawn(self.store.clone(), FeedSettings::default());
        let (stop, stopped) = oneshot::channel();
        let task = actix_rt::spawn(forward_updates(feed, actor, stopped));
        self.running = Some(RunningWatch { task, _stop: stop });
    }

    /// Stops the watch if it was started.
    pub fn stop(&mut self) {
        self.running = None;
    }

    /// Returns whether the watch was started and not stopped since.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }
}

/// Forwards configuration updates to the actor until the watch is stopped or the feed ends.
async fn forward_updates(
    mut feed: CatalogFeed,
    actor: Addr<DecisionActor>,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            update = feed.next() => match update {
                Some(update) => actor.do_send(ApplyUpdate(update)),
                None => return,
            },
            _ = &mut stopped => break,
        }
    }
    feed.close().await;
}
