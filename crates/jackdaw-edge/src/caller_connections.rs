//! Limits caller connections by the process's file descriptors and memory.
//!
//! Callers may leave a connection idle for a long time and open a new one for each retry, or never
//! finish a request. Above the limit by descriptors, the oldest connection on which no request is served is
//! closed; if there is none, the oldest one is drained: it closes after its current response. Memory limits
//! the connections on which a request has begun and is not complete: above that, the oldest of them is
//! closed.

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
    /// Limit of connections with an unfinished request, by memory.
    unfinished_limit: Cell<usize>,
    /// Connections with an unfinished request.
    unfinished: Rc<Cell<usize>>,
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
    /// Whether a request has begun that is not complete.
    is_unfinished: Cell<bool>,
}

/// Guard that counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct CallerGuard {
    signals: Rc<ConnectionSignals>,
    open: Rc<Cell<usize>>,
    unfinished: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Creates an empty set for a process that may open `descriptors` file descriptors.
    pub fn new(descriptors: usize) -> CallerConnections {
        let connections = CallerConnections {
            limit: Cell::new(0),
            unfinished_limit: Cell::new(usize::MAX),
            unfinished: Rc::default(),
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

    /// Sets the number of connections with unfinished requests that the memory of the process allows.
    pub fn set_unfinished_limit(&self, connections: usize) {
        self.unfinished_limit.set(connections);
    }

    /// Adds a connection. Above the limit, an older connection is closed or drained.
    pub fn add(&self) -> CallerGuard {
        let signals = Rc::new(ConnectionSignals::default());
        let is_unused = |signals: &ConnectionSignals| signals.served.get() == 0;
        if self.open.get() >= self.limit.get() && !self.close_oldest(is_unused) {
            self.drain(1);
        }
        self.by_age.borrow_mut().push_back(Rc::downgrade(&signals));
        self.open.set(self.open.get() + 1);
        self.prune_closed();
        let (open, unfinished) = (Rc::clone(&self.open), Rc::clone(&self.unfinished));
        CallerGuard { signals, open, unfinished }
    }

    /// Records that a request may have begun on a connection. Above the limit, the oldest connection with
    /// an unfinished request is closed.
    pub fn begin_request(&self, guard: &CallerGuard) {
        if guard.signals.served.get() > 0 || guard.signals.is_unfinished.replace(true) {
            return;
        }
        self.unfinished.set(self.unfinished.get() + 1);
        if self.unfinished.get() > self.unfinished_limit.get() {
            self.close_oldest(|signals| signals.is_unfinished.get());
        }
    }

    /// Closes the oldest connection that meets a condition; returns whether there was one.
    fn close_oldest(&self, condition: impl Fn(&ConnectionSignals) -> bool) -> bool {
        let mut by_age = self.by_age.borrow_mut();
        let meets = |connection: &Weak<ConnectionSignals>| {
            connection.upgrade().is_some_and(|signals| condition(&signals))
        };
        let position = by_age.iter().position(meets);
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

    /// Records that the request that had begun is complete, or was refused.
    pub fn end_request(&self) {
        if self.signals.is_unfinished.replace(false) {
            self.unfinished.set(self.unfinished.get() - 1);
        }
    }

    /// Returns the count of the connection's requests that are served.
    pub fn served(&self) -> &DeliveryCount {
        &self.signals.served
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.end_request();
        self.open.set(self.open.get() - 1);
    }
}
