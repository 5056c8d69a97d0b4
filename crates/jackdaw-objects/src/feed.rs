//! Follows changes of the configuration and the VM list on the platform.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use error_stack::Report;
use jackdaw_base::{ErrorKind, VersionedDocument};
use rand::Rng;
use tokio::sync::mpsc;

use crate::backoff::CallBackoff;
use crate::cache::CatalogCache;
use crate::layout::CATALOG_PREFIX;
use crate::rollforward::apply_tickets;
use crate::store::{ObjectStore, VmListing};

/// Capacity of the channel that carries the updates.
const UPDATE_CAPACITY: usize = 16;

/// Timing of a feed.
#[derive(Debug, Clone)]
pub struct FeedSettings {
    /// How long one watch call waits for a change.
    pub watch_timeout: Duration,
    /// How long the feed leaves accepted tickets to the acceptor that accepted them before it
    /// applies them itself; random jitter of up to the same length is added.
    pub apply_delay: Duration,
    /// The upper bound of the first wait after a failure.
    pub initial_backoff: Duration,
    /// The upper bound of any wait after a failure.
    pub max_backoff: Duration,
}

impl Default for FeedSettings {
    fn default() -> FeedSettings {
        FeedSettings {
            watch_timeout: Duration::from_secs(20),
            apply_delay: Duration::from_secs(1),
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// A change that a feed has read from the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogUpdate {
    /// Documents newer than the ones that the feed knew.
    Documents(Vec<VersionedDocument>),
    /// The whole VM list, to be merged by [`crate::ConfigCatalog::merge_vms`].
    Vms(VmListing),
}

/// Background tasks that follow the platform; they retry during outages.
pub struct CatalogFeed {
    updates: mpsc::Receiver<CatalogUpdate>,
    tasks: Vec<JoinHandle<()>>,
}

impl CatalogFeed {
    /// Starts to load and follow the configuration and the VM list.
    ///
    /// Must be called within an actix runtime.
    pub fn spawn<S: ObjectStore>(store: S, settings: FeedSettings) -> CatalogFeed {
        let (sender, updates) = mpsc::channel(UPDATE_CAPACITY);
        let vm_task = follow_vms(store.clone(), settings.clone(), sender.clone());
        let catalog_task = follow_catalog(store, settings, sender);
        let tasks = vec![actix_rt::spawn(vm_task), actix_rt::spawn(catalog_task)];
        CatalogFeed { updates, tasks }
    }

    /// Waits for the next update; `None` after both tasks have ended.
    pub async fn next(&mut self) -> Option<CatalogUpdate> {
        self.updates.recv().await
    }

    /// Aborts the tasks and waits until they have ended.
    pub async fn close(self) {
        for task in self.tasks {
            task.abort();
            // The join error of an aborted task carries no information.
            let _ = task.await;
        }
    }
}

/// Follows the configuration until the receiver of the updates is dropped.
async fn follow_catalog<S: ObjectStore>(
    store: S,
    settings: FeedSettings,
    sender: mpsc::Sender<CatalogUpdate>,
) {
    let mut cache = CatalogCache::default();
    let mut backoff = CallBackoff::new(settings.initial_backoff, settings.max_backoff);
    loop {
        if let Err(report) = cache.refresh(&store).await {
            back_off("the configuration cannot be read", &report, &mut backoff).await;
            continue;
        }
        let documents = cache.take_fresh();
        if !documents.is_empty() && sender.send(CatalogUpdate::Documents(documents)).await.is_err()
        {
            return;
        }
        match wait_for_change(&store, &settings, &cache).await {
            Ok(()) => backoff.reset(),
            Err(report) => {
                back_off("the configuration cannot be followed", &report, &mut backoff).await;
            }
        }
    }
}

/// Waits until the configuration changes; applies tickets still pending in the head if it does
/// not change in time.
async fn wait_for_change<S: ObjectStore>(
    store: &S,
    settings: &FeedSettings,
    cache: &CatalogCache,
) -> Result<(), Report<ErrorKind>> {
    let mut wait = settings.watch_timeout;
    if !cache.head.pending.is_empty() {
        wait = settings.apply_delay.mul_f64(1.0 + rand::rng().random::<f64>());
    }
    let listing = store.watch(CATALOG_PREFIX, cache.revision, wait).await?;
    if listing.changes.is_empty() {
        apply_tickets(store, &cache.head.pending).await?;
    }
    Ok(())
}

/// Follows the VM list until the receiver of the updates is dropped.
async fn follow_vms<S: ObjectStore>(
    store: S,
    settings: FeedSettings,
    sender: mpsc::Sender<CatalogUpdate>,
) {
    let mut backoff = CallBackoff::new(settings.initial_backoff, settings.max_backoff);
    let mut version = 0;
    loop {
        match store.watch_vms(version, settings.watch_timeout).await {
            Ok(listing) if listing.version > version => {
                backoff.reset();
                version = listing.version;
                if sender.send(CatalogUpdate::Vms(listing)).await.is_err() {
                    return;
                }
            }
            Ok(_) => backoff.reset(),
            Err(report) => back_off("the VM list cannot be read", &report, &mut backoff).await,
        }
    }
}

/// Logs a failure and waits for the next backoff delay.
async fn back_off(message: &str, report: &Report<ErrorKind>, backoff: &mut CallBackoff) {
    log::warn!("{message}: {report}");
    let wait = backoff.next_wait(&mut rand::rng());
    actix_rt::time::sleep(wait).await;
}
