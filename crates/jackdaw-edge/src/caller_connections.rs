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
const CALLER_PART: f64 = 0.5;

/// Connections that are recalled at once when a descriptor is missing.
const RECALL_COUNT: usize = 16;

/// The callers' connections, the oldest first.
#[derive(Debug)]
pub struct CallerConnections {
    limit: Cell<usize>,
    open: Rc<Cell<usize>>,
    oldest: RefCell<VecDeque<Weak<Notify>>>,
}

/// One connection; it counts until it is dropped.
#[derive(Debug)]
pub struct CallerTicket {
    recall: Rc<Notify>,
    open: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Creates an empty set within a number of descriptors.
    pub fn new(descriptors: usize) -> CallerConnections {
        let connections = CallerConnections {
            limit: Cell::new(0),
            open: Rc::default(),
            oldest: RefCell::default(),
        };
        connections.set_limit(descriptors);
        connections
    }

    /// Sets the number of descriptors that the process may have open.
    pub fn set_limit(&self, descriptors: usize) {
        self.limit.set((descriptors as f64 * CALLER_PART) as usize);
    }

    /// Adds a connection; beyond the limit the oldest one is recalled.
    pub fn add(&self) -> CallerTicket {
        let recall = Rc::new(Notify::new());
        self.oldest.borrow_mut().push_back(Rc::downgrade(&recall));
        self.open.set(self.open.get() + 1);
        if self.open.get() > self.limit.get() {
            self.recall(1);
        }
        self.forget_closed();
        CallerTicket { recall, open: Rc::clone(&self.open) }
    }

    /// Recalls some of the oldest connections.
    pub fn recall_some(&self) {
        self.recall(RECALL_COUNT);
    }

    /// Recalls all connections.
    pub fn recall_all(&self) {
        self.recall(usize::MAX);
    }

    /// Returns the open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn recall(&self, count: usize) {
        let mut oldest = self.oldest.borrow_mut();
        let mut left = count;
        while left > 0 {
            let Some(connection) = oldest.pop_front() else {
                return;
            };
            if let Some(recall) = connection.upgrade() {
                recall.notify_one();
                left -= 1;
            }
        }
    }

    /// Drops what is kept of closed connections once that is more than the open ones.
    fn forget_closed(&self) {
        let mut oldest = self.oldest.borrow_mut();
        if oldest.len() > 2 * self.open.get() + RECALL_COUNT {
            oldest.retain(|connection| connection.strong_count() > 0);
        }
    }
}

impl CallerTicket {
    /// Waits until the connection is to close after its present answer.
    pub async fn wait_recalled(&self) {
        self.recall.notified().await;
    }
}

impl Drop for CallerTicket {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
