//! Keeps callers' connections within the descriptors that the process has.
//!
//! Callers may leave a connection idle for a long time and open a new one for each retry. Before
//! descriptors run out, the oldest connections are told to close after their present answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use tokio::sync::Notify;

/// Part of the descriptors that callers' connections may take; the rest is for connections to
/// targets, the store and other routers, and for files.
const CALLER_FRACTION: f64 = 0.5;

/// Connections that are drained at once when a descriptor is missing.
const DRAIN_BATCH: usize = 16;

/// The callers' connections, the oldest first.
#[derive(Debug)]
pub struct CallerConnections {
    limit: Cell<usize>,
    open: Rc<Cell<usize>>,
    by_age: RefCell<VecDeque<Weak<Notify>>>,
}

/// One connection; it counts until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    drain: Rc<Notify>,
    open: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Creates an empty set within a number of descriptors.
    pub fn new(descriptors: usize) -> CallerConnections {
        let connections = CallerConnections {
            limit: Cell::new(0),
            open: Rc::default(),
            by_age: RefCell::default(),
        };
        connections.set_limit(descriptors);
        connections
    }

    /// Sets the number of descriptors that the process may have open.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit.set((descriptors as f64 * CALLER_FRACTION) as usize);
    }

    /// Adds a connection; beyond the limit the oldest one is drained.
    pub fn add(&self) -> CallerGuard {
        let drain = Rc::new(Notify::new());
        self.by_age.borrow_mut().push_back(Rc::downgrade(&drain));
        self.open.set(self.open.get() + 1);
        if self.open.get() > self.limit.get() {
            self.drain(1);
        }
        self.prune_closed();
        CallerGuard { drain, open: Rc::clone(&self.open) }
    }

    /// Recalls some of the oldest connections.
    pub fn drain_some(&self) {
        self.drain(DRAIN_BATCH);
    }

    /// Recalls all connections.
    pub fn drain_all(&self) {
        self.drain(usize::MAX);
    }

    /// Returns the open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    fn drain(&self, count: usize) {
        let mut by_age = self.by_age.borrow_mut();
        let mut remaining = count;
        while remaining > 0 {
            let Some(connection) = by_age.pop_front() else {
                return;
            };
            if let Some(drain) = connection.upgrade() {
                drain.notify_one();
                remaining -= 1;
            }
        }
    }

    /// Drops what is kept of closed connections once that is more than the open ones.
    fn prune_closed(&self) {
        let mut by_age = self.by_age.borrow_mut();
        if by_age.len() > 2 * self.open.get() + DRAIN_BATCH {
            by_age.retain(|connection| connection.strong_count() > 0);
        }
    }
}

impl CallerGuard {
    /// Waits until the connection is to close after its present answer.
    pub async fn wait_drain(&self) {
        self.drain.notified().await;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
