//! What this router knows of the record of software versions in the platform's store.

use std::cell::RefCell;

use jackdaw_platform::StoredVersions;
use tokio::sync::Notify;

/// Latest known state of the record in the store.
#[derive(Default)]
pub(crate) struct VersionStore {
    held: RefCell<Option<StoredVersions>>,
    changed: Notify,
}

impl VersionStore {
    /// Returns what the store holds; `None` before the first successful reading.
    pub(crate) fn held(&self) -> Option<StoredVersions> {
        self.held.borrow().clone()
    }

    /// Takes over a state of the store, unless a later one is known.
    pub(crate) fn update(&self, stored: StoredVersions) {
        let mut held = self.held.borrow_mut();
        if held.as_ref().is_none_or(|held| held.revision <= stored.revision) {
            *held = Some(stored);
        }
        self.changed.notify_one();
    }

    /// Waits for a call of [`VersionStore::update`] since the last wait.
    pub(crate) async fn wait_changed(&self) {
        self.changed.notified().await;
    }
}
