//! Counters of the bytes, open runs and unacknowledged run streams of a link.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use tokio::sync::{Notify, watch};

/// Counters of one link.
pub(crate) struct LinkCounters {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    run_sent: AtomicU64,
    run_received: AtomicU64,
    violated: AtomicBool,
    open_runs: AtomicUsize,
    activity: Notify,
    unacked_streams: watch::Sender<usize>,
}

/// Guard that counts a finished run stream as unacknowledged until it is dropped.
pub(crate) struct UnackedStream {
    unacked_streams: watch::Sender<usize>,
}

impl LinkCounters {
    /// Creates counters that are all zero.
    pub(crate) fn new() -> LinkCounters {
        LinkCounters {
            control_sent: AtomicU64::new(0),
            control_received: AtomicU64::new(0),
            run_sent: AtomicU64::new(0),
            run_received: AtomicU64::new(0),
            violated: AtomicBool::new(false),
            open_runs: AtomicUsize::new(0),
            activity: Notify::new(),
            unacked_streams: watch::Sender::new(0),
        }
    }

    pub(crate) fn control_sent(&self, bytes: u64) {
        self.control_sent.fetch_add(bytes, Ordering::Relaxed);
        self.activity.notify_one();
    }

    pub(crate) fn control_received(&self, bytes: u64) {
        self.control_received.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn run_sent(&self, bytes: u64) {
        self.run_sent.fetch_add(bytes, Ordering::Relaxed);
        self.activity.notify_one();
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

    /// Counts a run whose response this end is waiting for.
    pub(crate) fn open_run(&self) {
        self.open_runs.fetch_add(1, Ordering::Relaxed);
        self.activity.notify_one();
    }

    /// Removes a run whose response is complete or no longer wanted.
    pub(crate) fn close_run(&self) {
        self.open_runs.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of runs whose response this end is waiting for.
    pub(crate) fn open_runs(&self) -> usize {
        self.open_runs.load(Ordering::Relaxed)
    }

    /// Waits until this end sends something or waits for a response.
    pub(crate) async fn wait_active(&self) {
        if self.open_runs() == 0 {
            self.activity.notified().await;
        }
    }

    /// Records that this end closed the link because of a protocol violation by the peer.
    pub(crate) fn record_violation(&self) {
        self.violated.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_violation(&self) -> bool {
        self.violated.load(Ordering::Relaxed)
    }

    /// Counts a finished run stream as unacknowledged until the guard is dropped.
    pub(crate) fn track_unacked(&self) -> UnackedStream {
        self.unacked_streams.send_modify(|count| *count += 1);
        UnackedStream { unacked_streams: self.unacked_streams.clone() }
    }

    /// Waits until every finished run stream is acknowledged.
    pub(crate) async fn drained(&self) {
        let mut count = self.unacked_streams.subscribe();
        // The wait fails only if the sender is dropped, and `self` owns it.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

impl Drop for UnackedStream {
    fn drop(&mut self) {
        self.unacked_streams.send_modify(|count| *count -= 1);
    }
}
