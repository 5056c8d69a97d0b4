//! What this router knows of the crash findings in the platform's store.

use std::cell::RefCell;

use jackdaw_platform::StoredFindings;
use tokio::sync::watch;

/// Latest known state of the findings in the store.
#[derive(Default)]
pub(crate) struct FindingStore {
    held: RefCell<Option<StoredFindings>>,
    /// Whether the first reading has ended, with or without success.
    is_tried: watch::Sender<bool>,
}

impl FindingStore {
    /// Returns what the store holds; `None` before the first successful reading.
    pub(crate) fn held(&self) -> Option<StoredFindings> {
        self.held.borrow().clone()
    }

    /// Takes over a state of the store, unless a later one is known.
    pub(crate) fn update(&self, stored: StoredFindings) {
        let mut held = self.held.borrow_mut();
        if held.as_ref().is_none_or(|held| held.revision <= stored.revision) {
            *held = Some(stored);
        }
    }

    /// Ends the wait of [`FindingStore::wait_tried`].
    pub(crate) fn mark_tried(&self) {
        self.is_tried.send_replace(true);
    }

    /// Waits until the findings were read, or the first attempt to do so has failed.
    pub(crate) async fn wait_tried(&self) {
        let mut tried = self.is_tried.subscribe();
        // `wait_for` fails only after the sender is dropped, and `self` owns the sender.
        let _ = tried.wait_for(|is_tried| *is_tried).await;
    }
}
