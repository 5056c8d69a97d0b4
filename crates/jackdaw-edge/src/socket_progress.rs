//! What the HTTP server wrote for a connection, as far as the connection's socket has taken it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::task::AbortHandle;

use crate::delivery::DeliveryGuard;

/// Progress of the writes to one connection.
#[derive(Debug, Default)]
pub struct SocketProgress {
    /// Bytes that the socket has taken.
    taken: Cell<u64>,
    /// How often the socket has taken all that had been written.
    flushes: Cell<u64>,
    /// Responses whose last bytes the socket may not have taken.
    held: RefCell<Vec<HeldDelivery>>,
    /// Waits for the next flush.
    waker: RefCell<Option<Waker>>,
}

/// A response that has ended, until the socket has taken its last bytes.
#[derive(Debug)]
pub struct HeldDelivery {
    _guard: DeliveryGuard,
    watchdog: Option<AbortHandle>,
}

/// Ends what is held for a connection when the connection ends.
#[derive(Debug)]
pub struct ProgressGuard {
    progress: Rc<SocketProgress>,
}

impl HeldDelivery {
    /// Holds a response, and the task that ends the connection if its caller does not read.
    pub fn new(guard: DeliveryGuard, watchdog: Option<AbortHandle>) -> HeldDelivery {
        HeldDelivery { _guard: guard, watchdog }
    }
}

impl Drop for HeldDelivery {
    fn drop(&mut self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.abort();
        }
    }
}

impl SocketProgress {
    /// Holds a response until the next flush, which includes its last bytes.
    pub fn hold(&self, delivery: HeldDelivery) {
        self.held.borrow_mut().push(delivery);
    }

    /// Returns the number of bytes that the socket has taken.
    pub fn taken(&self) -> u64 {
        self.taken.get()
    }

    /// Returns how often the socket has taken all that had been written.
    pub fn flushes(&self) -> u64 {
        self.flushes.get()
    }

    /// Waits until the socket has taken all that had been written after `flushes` flushes.
    pub fn poll_flushed(&self, flushes: u64, cx: &mut Context<'_>) -> Poll<()> {
        if self.flushes.get() > flushes {
            return Poll::Ready(());
        }
        self.waker.replace(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// Records that the socket has taken bytes.
    pub(crate) fn record_write(&self, bytes: usize) {
        self.taken.set(self.taken.get() + bytes as u64);
    }

    /// Records that the socket has taken all that had been written.
    pub(crate) fn record_flush(&self) {
        self.flushes.set(self.flushes.get() + 1);
        self.held.take();
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl ProgressGuard {
    /// Creates the guard of a connection; it has to outlive the connection's responses.
    pub fn new(progress: &Rc<SocketProgress>) -> ProgressGuard {
        ProgressGuard { progress: Rc::clone(progress) }
    }
}

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.progress.held.take();
    }
}
