//! Follows the platform's configuration and VM list.

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

/// The updates that may wait to be taken.
const UPDATE_CAPACITY: usize = 16;

/// Pace of a feed.
#[derive(Debug, Clone)]
pub struct FeedSettings {
    /// The time for which one watch waits.
    pub watch_timeout: Duration,
    /// The time for which accepted tickets are left to the desk that accepted them; up to as
    /// much again is added at random.
    pub apply_delay: Duration,
    /// The first bound of the wait after a failure.
    pub initial_backoff: Duration,
    /// The longest wait after a failure.
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

/// What a feed has learnt.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogUpdate {
    /// The documents that were new to the feed.
    Documents(Vec<VersionedDocument>),
    /// The VM list, for [`crate::ConfigCatalog::merge_vms`].
    Vms(VmListing),
}

/// Running feed; goes on through outages of the platform.
pub struct CatalogFeed {
    updates: mpsc::Receiver<CatalogUpdate>,
    tasks: Vec<JoinHandle<()>>,
}

impl CatalogFeed {
    /// Starts to load and follow configuration and VM list; must run within an actix runtime.
    pub fn spawn<S: ObjectStore>(store: S, settings: FeedSettings) -> CatalogFeed {
        let (sender, updates) = mpsc::channel(UPDATE_CAPACITY);
        let vm_task = follow_vms(store.clone(), settings.clone(), sender.clone());
        let catalog_task = follow_catalog(store, settings, sender);
        let tasks = vec![actix_rt::spawn(vm_task), actix_rt::spawn(catalog_task)];
        CatalogFeed { updates, tasks }
    }

    /// Waits for the next update; `None` after both followers have ended.
    pub async fn next(&mut self) -> Option<CatalogUpdate> {
        self.updates.recv().await
    }

    /// Ends the feed.
    pub async fn close(self) {
        for task in self.tasks {
            task.abort();
            // An aborted task ends with an error, which says nothing more.
            let _ = task.await;
        }
    }
}

/// Follows the configuration until nobody takes the updates any more.
async fn follow_catalog<S: ObjectStore>(
    store: S,
    settings: FeedSettings,
    sender: mpsc::Sender<CatalogUpdate>,
) {
    let mut cache = CatalogCache::default();
    let mut backoff = CallBackoff::new(settings.initial_backoff, settings.max_backoff);
    loop {
        if let Err(report) = cache.refresh(&store).await {
            pause("the configuration cannot be read", &report, &mut backoff).await;
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
                pause("the configuration cannot be followed", &report, &mut backoff).await;
            }
        }
    }
}

/// Waits until the configuration changes, and applies tickets that are left in the head.
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

/// Follows the VM list until nobody takes the updates any more.
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
            Err(report) => pause("the VM list cannot be read", &report, &mut backoff).await,
        }
    }
}

/// Logs a failure and waits.
async fn pause(what: &str, report: &Report<ErrorKind>, backoff: &mut CallBackoff) {
    log::warn!("{what}: {report}");
    let wait = backoff.next_wait(&mut rand::rng());
    actix_rt::time::sleep(wait).await;
}
