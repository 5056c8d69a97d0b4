//! Limits caller connections by the process's file descriptors and memory.
//!
//! Callers may leave a connection idle for a long time and open a new one for each retry, or never
//! finish a request. Above the limit, the oldest connection on which no request is served is closed; if
//! there is none, the oldest one is drained: it closes after its current response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};

use tokio::sync::Notify;

use crate::delivery::DeliveryCount;

/// Fraction of the file descriptors available to caller connections. The rest is reserved for
/// connections to targets, the store and other routers, and for files.
const CALLER_FRACTION: f64 = 0.5;

/// Connections drained together when the process is out of descriptors.
const DRAIN_BATCH: usize = 16;

/// The open connections of callers and the limit on their number.
#[derive(Debug)]
pub struct CallerConnections {
    /// Limit by descriptors.
    limit: Cell<usize>,
    /// Limit by memory.
    memory_limit: Cell<usize>,
    open: Rc<Cell<usize>>,
    /// Signals of the connections, oldest first.
    by_age: RefCell<VecDeque<Weak<ConnectionSignals>>>,
}

/// Signals to one connection.
#[derive(Debug, Default)]
struct ConnectionSignals {
    /// Asks it to close after its current response.
    drain: Notify,
    /// Asks it to close at once.
    close: Notify,
    /// Requests of the connection that are served.
    served: DeliveryCount,
}

/// Guard that counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    signals: Rc<ConnectionSignals>,
    open: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Creates an empty set for a process that may open `descriptors` file descriptors.
    pub fn new(descriptors: usize) -> CallerConnections {
        let connections = CallerConnections {
            limit: Cell::new(0),
            memory_limit: Cell::new(usize::MAX),
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

    /// Sets the number of connections that the memory of the process allows.
    pub fn set_memory_limit(&self, connections: usize) {
        self.memory_limit.set(connections);
    }

    /// Adds a connection. Above the limit, an older connection is closed or drained.
    pub fn add(&self) -> CallerGuard {
        let signals = Rc::new(ConnectionSignals::default());
        if self.open.get() >= self.limit.get().min(self.memory_limit.get()) && !self.close_unused()
        {
            self.drain(1);
        }
        self.by_age.borrow_mut().push_back(Rc::downgrade(&signals));
        self.open.set(self.open.get() + 1);
        self.prune_closed();
        CallerGuard { signals, open: Rc::clone(&self.open) }
    }

    /// Closes the oldest connection on which no request is served; returns whether there was one.
    fn close_unused(&self) -> bool {
        let mut by_age = self.by_age.borrow_mut();
        let is_unused = |connection: &Weak<ConnectionSignals>| {
            connection.upgrade().is_some_and(|signals| signals.served.get() == 0)
        };
        let position = by_age.iter().position(is_unused);
        let signals = position.and_then(|position| by_age.remove(position)?.upgrade());
        let Some(signals) = signals else {
            return false;
        };
        signals.drain.notify_one();
        signals.close.notify_one();
        true
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
            if let Some(signals) = connection.upgrade() {
                signals.drain.notify_one();
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
        self.signals.drain.notified().await;
    }

    /// Waits for the signal to close the connection at once.
    pub async fn wait_close(&self) {
        self.signals.close.notified().await;
    }

    /// Returns the count of the connection's requests that are served.
    pub fn served(&self) -> &DeliveryCount {
        &self.signals.served
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
