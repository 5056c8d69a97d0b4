//! The watch on the platform's configuration, which only some routers keep.

use actix::Addr;
use actix_rt::task::JoinHandle;
use jackdaw_objects::{CatalogFeed, FeedSettings, PlatformClient};
use tokio::sync::oneshot;

use crate::decision_actor::{DecisionActor, LearnUpdate};

/// Starts and ends the watch as the router's duty changes.
pub struct CatalogWatch {
    /// The client of the platform.
    store: PlatformClient,
    /// The running watch.
    running: Option<RunningWatch>,
}

/// A watch that is running.
struct RunningWatch {
    /// The task that passes updates on.
    task: JoinHandle<()>,
    /// Ends the task when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl CatalogWatch {
    /// Creates a watch that is not running.
    pub fn new(store: PlatformClient) -> CatalogWatch {
        CatalogWatch { store, running: None }
    }

    /// Starts the watch where it is not running.
    pub fn start(&mut self, actor: Addr<DecisionActor>) {
        if self.running.as_ref().is_some_and(|running| !running.task.is_finished()) {
            return;
        }
        let feed = CatalogFeed::spawn(self.store.clone(), FeedSettings::default());
        let (stop, stopped) = oneshot::channel();
        let task = actix_rt::spawn(follow(feed, actor, stopped));
        self.running = Some(RunningWatch { task, _stop: stop });
    }

    /// Ends the watch where it is running.
    pub fn stop(&mut self) {
        self.running = None;
    }

    /// Returns whether the watch is running.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }
}

/// Passes configuration from the platform to the actor until the watch is stopped.
async fn follow(
    mut feed: CatalogFeed,
    actor: Addr<DecisionActor>,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            update = feed.next() => match update {
                Some(update) => actor.do_send(LearnUpdate(update)),
                None => return,
            },
            _ = &mut stopped => break,
        }
    }
    feed.close().await;
}
