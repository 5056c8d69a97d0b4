//! Limits caller connections to a fraction of the process's file descriptors.
//!
//! Callers may leave a connection idle for a long time and open a new one for each retry. Before
//! the process runs out of descriptors, the oldest connections are drained: they close after their
//! current response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use tokio::sync::Notify;

/// Fraction of the file descriptors available to caller connections. The rest is reserved for
/// connections to targets, the store and other routers, and for files.
const CALLER_FRACTION: f64 = 0.5;

/// Connections drained together when the process is out of descriptors.
const DRAIN_BATCH: usize = 16;

/// The open connections of callers and the limit on their number.
#[derive(Debug)]
pub struct CallerConnections {
    limit: Cell<usize>,
    open: Rc<Cell<usize>>,
    /// Drain signals of the connections, oldest first.
    by_age: RefCell<VecDeque<Weak<Notify>>>,
}

/// Guard that counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    drain: Rc<Notify>,
    open: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Creates an empty set for a process that may open `descriptors` file descriptors.
    pub fn new(descriptors: usize) -> CallerConnections {
        let connections = CallerConnections {
            limit: Cell::new(0),
            open: Rc::default(),
            by_age: RefCell::default(),
        };
        connections.set_limit(descriptors);
        connections
    }

    /// Sets the number of file descriptors that the process may open.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit.set((descriptors as f64 * CALLER_FRACTION) as usize);
    }

    /// Adds a connection. Above the limit, the oldest connection is drained.
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

    /// Drains a batch of the oldest connections.
    pub fn drain_some(&self) {
        self.drain(DRAIN_BATCH);
    }

    /// Drains all connections.
    pub fn drain_all(&self) {
        self.drain(usize::MAX);
    }

    /// Returns the number of open connections.
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

    /// Removes entries of closed connections once they outnumber the open connections.
    fn prune_closed(&self) {
        let mut by_age = self.by_age.borrow_mut();
        if by_age.len() > 2 * self.open.get() + DRAIN_BATCH {
            by_age.retain(|connection| connection.strong_count() > 0);
        }
    }
}

impl CallerGuard {
    /// Waits for the signal to close the connection after its current response.
    pub async fn wait_drain(&self) {
        self.drain.notified().await;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
