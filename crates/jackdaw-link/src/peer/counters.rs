//! Byte counts of a link and its unacknowledged run streams.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use tokio::sync::{Notify, watch};

/// Counts of one link.
pub(crate) struct LinkCounters {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    run_sent: AtomicU64,
    run_received: AtomicU64,
    violated: AtomicBool,
    open_runs: AtomicUsize,
    used: Notify,
    open_finals: watch::Sender<usize>,
}

/// Counts one finished run stream as unacknowledged until it is dropped.
pub(crate) struct FinalGuard {
    open_finals: watch::Sender<usize>,
}

impl LinkCounters {
    /// Starts at zero.
    pub(crate) fn new() -> LinkCounters {
        LinkCounters {
            control_sent: AtomicU64::new(0),
            control_received: AtomicU64::new(0),
            run_sent: AtomicU64::new(0),
            run_received: AtomicU64::new(0),
            violated: AtomicBool::new(false),
            open_runs: AtomicUsize::new(0),
            used: Notify::new(),
            open_finals: watch::Sender::new(0),
        }
    }

    pub(crate) fn control_sent(&self, bytes: u64) {
        self.control_sent.fetch_add(bytes, Ordering::Relaxed);
        self.used.notify_one();
    }

    pub(crate) fn control_received(&self, bytes: u64) {
        self.control_received.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn run_sent(&self, bytes: u64) {
        self.run_sent.fetch_add(bytes, Ordering::Relaxed);
        self.used.notify_one();
    }

    pub(crate) fn run_received(&self, bytes: u64) {
        self.run_received.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn control_bytes(&self) -> (u64, u64) {
        (self.control_sent.load(Ordering::Relaxed), self.control_received.load(Ordering::Relaxed))
    }

    pub(crate) fn run_bytes(&self) -> (u64, u64) {
        (self.run_sent.load(Ordering::Relaxed), self.run_received.load(Ordering::Relaxed))
    }

    /// Counts a run whose answer this end waits for.
    pub(crate) fn open_run(&self) {
        self.open_runs.fetch_add(1, Ordering::Relaxed);
        self.used.notify_one();
    }

    /// Counts a run as answered or given up.
    pub(crate) fn close_run(&self) {
        self.open_runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the runs whose answers this end waits for.
    pub(crate) fn open_runs(&self) -> usize {
        self.open_runs.load(Ordering::Relaxed)
    }

    /// Waits until this end sends something or waits for an answer.
    pub(crate) async fn used(&self) {
        if self.open_runs() == 0 {
            self.used.notified().await;
        }
    }

    /// Notes that this end closed the link because of a message.
    pub(crate) fn note_violation(&self) {
        self.violated.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_violation(&self) -> bool {
        self.violated.load(Ordering::Relaxed)
    }

    /// Counts a finished run stream until the guard is dropped.
    pub(crate) fn unacknowledged(&self) -> FinalGuard {
        self.open_finals.send_modify(|count| *count += 1);
        FinalGuard { open_finals: self.open_finals.clone() }
    }

    /// Waits until no finished run stream is unacknowledged.
    pub(crate) async fn drained(&self) {
        let mut count = self.open_finals.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for FinalGuard {
    fn drop(&mut self) {
        self.open_finals.send_modify(|count| *count -= 1);
    }
}
