//! Writes claims, batching many into one conditional update.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation, plain_data};
use tokio::sync::oneshot;

use super::key::{ClaimKey, ClaimLayout};
use super::object::{ClaimOwner, ClaimRequest};
use super::queue::{ClaimQueue, PendingClaim, SharedWriter, drain_queue};
use crate::store::ObjectStore;

/// Layout and timing of claims.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// How claims are distributed over objects.
    pub layout: ClaimLayout,
    /// The maximum age of a key; an older one may have run already and its claim been discarded.
    pub max_key_age: Duration,
    /// The maximum time by which a key may be ahead of this machine's clock.
    pub max_clock_skew: Duration,
    /// The minimum time between two writes of one object.
    pub write_interval: Duration,
    /// The time after which a claim without a decision fails.
    pub claim_timeout: Duration,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            layout: ClaimLayout::default(),
            max_key_age: Duration::from_secs(600),
            max_clock_skew: Duration::from_secs(60),
            write_interval: Duration::from_millis(50),
            claim_timeout: Duration::from_secs(5),
        }
    }
}

plain_data! {
    copy
    /// Numbers of claims and writes of one writer.
    #[derive(Default)]
    pub struct ClaimCounts {
        /// Claims that were granted.
        pub granted: u64,
        /// Claims of a key that another attempt holds.
        pub already_claimed: u64,
        /// Claims of a key that is too old or too far in the future.
        pub expired: u64,
        /// Claims that got no decision.
        pub unavailable: u64,
        /// Conditional writes that took effect.
        pub writes: u64,
        /// Conditional writes that failed with a version conflict.
        pub conflicts: u64,
    }
}

/// Writer of claims; clones share all state.
///
/// A failed claim never leads to a run, so its errors with the outcome "not run" are correct
/// whatever happens to a write that is still in flight: that write can only block the key, not
/// run the recording. The writer releases such claims as soon as the platform responds again.
pub struct ClaimWriter<S> {
    shared: Rc<SharedWriter<S>>,
}

impl<S> Clone for ClaimWriter<S> {
    fn clone(&self) -> ClaimWriter<S> {
        ClaimWriter { shared: Rc::clone(&self.shared) }
    }
}

impl<S: ObjectStore> ClaimWriter<S> {
    /// Creates a writer, which starts its tasks as needed; must be used within an actix runtime.
    pub fn spawn(
        store: S,
        incarnation: ProcessIncarnation,
        settings: ClaimSettings,
    ) -> ClaimWriter<S> {
        let shared = SharedWriter {
            store,
            incarnation,
            settings,
            queues: RefCell::default(),
            tasks: RefCell::default(),
            layout_checked: RefCell::default(),
            counts: RefCell::default(),
        };
        ClaimWriter { shared: Rc::new(shared) }
    }

    /// Claims a key; the recording may be run once, and only if this returns `Ok`.
    ///
    /// Fails with [`ErrorKind::KeyRequired`] if the key is not a UUID of version 7, with
    /// [`ErrorKind::KeyExpired`] if it is too old or too far in the future, with
    /// [`ErrorKind::AlreadyClaimed`] if another attempt holds the key, and with
    /// [`ErrorKind::ClaimUnavailable`] if there is no decision in time.
    pub async fn claim(&self, key: &str) -> Result<(), Report<ErrorKind>> {
        let key = ClaimKey::parse(key)?;
        let result = match self.shared.check_age(key, SystemTime::now()) {
            Ok(()) => self.await_decision(key).await,
            Err(kind) => Err(kind),
        };
        self.shared.count_result(result);
        result.map_err(Report::new)
    }

    /// Releases a claim granted by this writer whose recording was never sent to a target, so
    /// that a caller whose request ended as "not run" can retry it.
    ///
    /// Only the holder of the `Ok` from [`ClaimWriter::claim`] may call this, and only if no
    /// byte of the recording can have reached a target. If the claim is no longer found, the
    /// key stays claimed.
    pub fn release(&self, key: &str) {
        let Ok(key) = ClaimKey::parse(key) else {
            return;
        };
        let layout = &self.shared.settings.layout;
        let queue = self.shared.queue(&layout.object_key(layout.locate(key)));
        if queue.release_held(key, self.shared.incarnation) {
            self.spawn_drain(&queue);
        }
    }

    /// Returns the numbers of claims and writes so far.
    pub fn counts(&self) -> ClaimCounts {
        *self.shared.counts.borrow()
    }

    /// Stops all writes; claims without a decision fail, and their keys may stay claimed.
    pub async fn close(self) {
        let mut tasks = self.shared.tasks.take();
        tasks.shutdown().await;
        for queue in self.shared.queues.take().into_values() {
            queue.state.borrow_mut().pending.clear();
        }
    }

    /// Queues a claim and waits for the decision.
    ///
    /// If the wait is cancelled or times out, the task that drains the queue finds the reply
    /// channel closed and releases the claim.
    async fn await_decision(&self, key: ClaimKey) -> Result<(), ErrorKind> {
        let (reply, decision) = oneshot::channel();
        self.enqueue(key, reply);
        let limit = self.shared.settings.claim_timeout;
        match actix_rt::time::timeout(limit, decision).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ErrorKind::ClaimUnavailable),
        }
    }

    /// Adds a claim to the queue of its object.
    fn enqueue(&self, key: ClaimKey, reply: oneshot::Sender<Result<(), ErrorKind>>) {
        let layout = &self.shared.settings.layout;
        let location = layout.locate(key);
        let owner =
            ClaimOwner { incarnation: self.shared.incarnation, nonce: rand::random::<u64>() };
        let queue = self.shared.queue(&layout.object_key(location));
        let request = ClaimRequest { key, bucket: location.bucket, owner };
        queue.push(PendingClaim { request, reply });
        self.spawn_drain(&queue);
    }

    /// Starts a task that drains the queue unless one is running.
    fn spawn_drain(&self, queue: &Rc<ClaimQueue>) {
        if queue.start_draining() {
            let mut tasks = self.shared.tasks.borrow_mut();
            while tasks.try_join_next().is_some() {}
            tasks.spawn_local(drain_queue(Rc::clone(&self.shared), Rc::clone(queue)));
        }
    }
}
