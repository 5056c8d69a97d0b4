//! What this router knows of the streams in the platform's store.

use std::cell::{Cell, RefCell};

use jackdaw_policy::direct::BindingRing;
use tokio::sync::Notify;

/// State of the writes of streams to the store.
#[derive(Default)]
pub(crate) struct BindingStore {
    /// Objects of the failure domain; `None` before they were listed.
    ring: RefCell<Option<BindingRing>>,
    /// Whether a write is in progress.
    is_writing: Cell<bool>,
    /// Whether streams are to be read that routers began which have ended.
    is_reading: Cell<bool>,
    /// Whether a caller waits for that.
    is_awaited: Cell<bool>,
    write_wanted: Notify,
    read_wanted: Notify,
    read_ended: Notify,
}

/// The only write in progress.
pub(crate) struct WriteGuard<'a> {
    store: &'a BindingStore,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        self.store.is_writing.set(false);
    }
}

impl BindingStore {
    /// Begins a write; `None` if one is in progress.
    pub(crate) fn begin_write(&self) -> Option<WriteGuard<'_>> {
        let is_free = !self.is_writing.replace(true);
        is_free.then_some(WriteGuard { store: self })
    }

    /// Returns the objects of the failure domain; `None` if they have to be listed.
    pub(crate) fn ring(&self) -> Option<BindingRing> {
        self.ring.borrow().clone()
    }

    /// Sets the objects of the failure domain; `None` if they have to be listed again.
    pub(crate) fn set_ring(&self, ring: Option<BindingRing>) {
        self.ring.replace(ring);
    }

    /// Asks for what the store has of streams to be read.
    pub(crate) fn request_read(&self) {
        self.is_reading.set(true);
        self.read_wanted.notify_one();
    }

    /// As [`BindingStore::request_read`], and waits until that has ended.
    pub(crate) async fn await_read(&self) {
        let ended = self.read_ended.notified();
        self.is_awaited.set(true);
        self.request_read();
        ended.await;
    }

    /// Returns whether a caller waits for streams to be read.
    pub(crate) fn is_awaited(&self) -> bool {
        self.is_awaited.get()
    }

    /// Waits for a request to read.
    pub(crate) async fn wait_read_request(&self) {
        self.read_wanted.notified().await;
    }

    /// Records that streams were read, or need not be.
    pub(crate) fn end_reading(&self) {
        self.is_reading.set(false);
        self.is_awaited.set(false);
        self.read_ended.notify_waiters();
    }

    /// Returns whether streams are to be read, so that one that is not known now may be soon.
    pub(crate) fn is_reading(&self) -> bool {
        self.is_reading.get()
    }

    /// Asks for a write at once.
    pub(crate) fn request_write(&self) {
        self.write_wanted.notify_one();
    }

    /// Waits for a request to write.
    pub(crate) async fn wait_write_request(&self) {
        self.write_wanted.notified().await;
    }
}
