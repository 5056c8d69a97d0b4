//! Queues of pending claims, one per object, and the rounds in which they are written.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;

use super::key::ClaimKey;
use super::object::{ClaimDecision, ClaimObject, ClaimOwner, ClaimRequest};
use super::writer::{ClaimCounts, ClaimSettings};
use crate::backoff::CallBackoff;
use crate::rollforward::succeeded;
use crate::store::{ObjectStore, StoredObject, WriteCondition};

/// The object that fixes one layout for all processes.
const LAYOUT_KEY: &str = "claims/layout";
/// The upper bound of the first wait after a version conflict or a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// The upper bound of any wait after a version conflict.
const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(100);
/// The upper bound of any wait after a failure.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// State that all clones of a writer share.
pub(super) struct SharedWriter<S> {
    pub(super) store: S,
    pub(super) incarnation: ProcessIncarnation,
    pub(super) settings: ClaimSettings,
    pub(super) queues: RefCell<HashMap<String, Rc<ClaimQueue>>>,
    pub(super) tasks: RefCell<JoinSet<()>>,
    pub(super) layout_checked: RefCell<bool>,
    pub(super) counts: RefCell<ClaimCounts>,
}

/// Pending claims for one object.
pub(super) struct ClaimQueue {
    object_key: String,
    pub(super) arrived: Notify,
    pub(super) state: RefCell<QueueState>,
}

#[derive(Default)]
pub(super) struct QueueState {
    pub(super) pending: Vec<PendingClaim>,
    /// Attempts whose claims are to be released, since their recordings will not be run.
    pub(super) released: HashSet<ClaimOwner>,
    /// The object as last read or written.
    pub(super) cached: Option<CachedObject>,
    /// The newest time bucket of any claim queued so far.
    pub(super) bucket: u64,
    /// Whether a task drains the queue.
    pub(super) draining: bool,
    last_write: Option<Instant>,
}

pub(super) struct PendingClaim {
    pub(super) request: ClaimRequest,
    pub(super) reply: oneshot::Sender<Result<(), ErrorKind>>,
}

#[derive(Clone)]
pub(super) struct CachedObject {
    condition: WriteCondition,
    object: ClaimObject,
}

/// Outcome of one round of reading and writing the object.
enum RoundOutcome {
    /// Every claim of the batch is decided.
    Decided,
    /// Another writer changed the object first; the batch is tried again in the next round.
    Conflict,
    /// The platform failed, and so did every claim of the batch.
    Failed,
}

impl ClaimQueue {
    /// Adds a claim and wakes the task that drains the queue.
    pub(super) fn push(&self, claim: PendingClaim) {
        let mut state = self.state.borrow_mut();
        state.bucket = state.bucket.max(claim.request.bucket);
        state.pending.push(claim);
        self.arrived.notify_one();
    }

    /// Marks the queue as being drained; returns whether it was not before.
    pub(super) fn start_draining(&self) -> bool {
        !std::mem::replace(&mut self.state.borrow_mut().draining, true)
    }

    /// Marks a claim of this process for release; returns whether it was found and not yet marked.
    pub(super) fn release_held(&self, key: ClaimKey, incarnation: ProcessIncarnation) -> bool {
        let mut state = self.state.borrow_mut();
        let held = state.cached.as_ref().and_then(|cached| {
            let mut entries = cached.object.entries.iter();
            entries.find(|entry| entry.key == key && entry.owner.incarnation == incarnation)
        });
        let Some(owner) = held.map(|entry| entry.owner) else {
            return false;
        };
        self.arrived.notify_one();
        state.released.insert(owner)
    }

    /// Removes claims whose callers are gone from the batch and marks them for release, since an
    /// earlier round may have written them.
    fn release_abandoned(&self, batch: &mut Vec<PendingClaim>) {
        let mut state = self.state.borrow_mut();
        batch.retain(|claim| {
            let abandoned = claim.reply.is_closed();
            if abandoned {
                state.released.insert(claim.request.owner);
            }
            !abandoned
        });
    }
}

/// Writes the claims of a queue until none is pending and none has to be released.
pub(super) async fn drain_queue<S: ObjectStore>(
    shared: Rc<SharedWriter<S>>,
    queue: Rc<ClaimQueue>,
) {
    let mut conflicts = CallBackoff::new(INITIAL_BACKOFF, MAX_CONFLICT_BACKOFF);
    let mut failures = CallBackoff::new(INITIAL_BACKOFF, MAX_FAILURE_BACKOFF);
    let mut batch = Vec::new();
    loop {
        shared.wait_write_interval(&queue).await;
        batch.append(&mut queue.state.borrow_mut().pending);
        queue.release_abandoned(&mut batch);
        if batch.is_empty() && !shared.has_releases(&queue) {
            queue.state.borrow_mut().draining = false;
            return;
        }
        match shared.run_round(&queue, &mut batch).await {
            RoundOutcome::Decided => {
                conflicts.reset();
                failures.reset();
            }
            RoundOutcome::Conflict => {
                let wait = conflicts.next_wait(&mut rand::rng());
                actix_rt::time::sleep(wait).await;
            }
            RoundOutcome::Failed => {
                let wait = failures.next_wait(&mut rand::rng());
                // A new claim ends the wait: it is tried at once, and fails at once if the circuit
                // breaker is open.
                let _ = actix_rt::time::timeout(wait, queue.arrived.notified()).await;
            }
        }
    }
}

impl<S: ObjectStore> SharedWriter<S> {
    /// Fails with [`ErrorKind::KeyExpired`] if the key is too old or too far in the future.
    ///
    /// The limits on both sides follow the accept limit of "Netflix TimeSeries Abstraction".
    pub(super) fn check_age(&self, key: ClaimKey, now: SystemTime) -> Result<(), ErrorKind> {
        let now = unix_millis(now);
        let time = key.unix_millis();
        let age = self.settings.max_key_age.min(self.settings.layout.retention());
        let oldest = now.saturating_sub(age.as_millis() as u64);
        let newest = now.saturating_add(self.settings.max_clock_skew.as_millis() as u64);
        if time < oldest || time > newest { Err(ErrorKind::KeyExpired) } else { Ok(()) }
    }

    /// Returns the queue of an object, creating it if needed.
    ///
    /// Creating one discards the queues that are not being drained and whose keys have expired.
    pub(super) fn queue(&self, object_key: &str) -> Rc<ClaimQueue> {
        let mut queues = self.queues.borrow_mut();
        if let Some(queue) = queues.get(object_key) {
            return Rc::clone(queue);
        }
        queues.retain(|_, queue| {
            let state = queue.state.borrow();
            state.draining || !self.is_expired(state.bucket)
        });
        let queue = Rc::new(ClaimQueue {
            object_key: object_key.to_owned(),
            arrived: Notify::new(),
            state: RefCell::default(),
        });
        queues.insert(object_key.to_owned(), Rc::clone(&queue));
        queue
    }

    /// Returns whether all keys of a bucket are too old to be accepted.
    fn is_expired(&self, bucket: u64) -> bool {
        let end = (bucket + 1).saturating_mul(self.settings.layout.bucket_millis);
        let age = self.settings.max_key_age.as_millis() as u64;
        end.saturating_add(age) < unix_millis(SystemTime::now())
    }

    /// Returns whether there are claims to release whose keys may still be accepted.
    fn has_releases(&self, queue: &ClaimQueue) -> bool {
        let state = queue.state.borrow();
        !state.released.is_empty() && !self.is_expired(state.bucket)
    }

    /// Waits until the write interval of the object has passed, so that claims form a batch.
    async fn wait_write_interval(&self, queue: &ClaimQueue) {
        let last_write = queue.state.borrow().last_write;
        if let Some(last_write) = last_write {
            let wait = self.settings.write_interval.saturating_sub(last_write.elapsed());
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Runs one round for the batch; if it fails, fails all claims of the batch.
    async fn run_round(&self, queue: &ClaimQueue, batch: &mut Vec<PendingClaim>) -> RoundOutcome {
        match self.try_round(queue, batch).await {
            Ok(outcome) => outcome,
            Err(report) => {
                log::warn!("claims in {} were not decided: {report}", queue.object_key);
                let mut state = queue.state.borrow_mut();
                state.cached = None;
                for claim in batch.drain(..) {
                    state.released.insert(claim.request.owner);
                    // Sending fails if the caller is gone, which needs no handling.
                    let _ = claim.reply.send(Err(ErrorKind::ClaimUnavailable));
                }
                RoundOutcome::Failed
            }
        }
    }

    /// Reads the object unless it is cached, decides the batch and writes the object.
    async fn try_round(
        &self,
        queue: &ClaimQueue,
        batch: &mut Vec<PendingClaim>,
    ) -> Result<RoundOutcome, Report<ErrorKind>> {
        self.check_layout().await?;
        let released = queue.state.borrow().released.clone();
        let requests: Vec<ClaimRequest> = batch.iter().map(|claim| claim.request).collect();
        let was_cached = queue.state.borrow().cached.is_some();
        let mut cached = self.load_object(queue).await?;
        let mut plan = cached.object.plan(&requests, &released);
        if was_cached && plan.decisions.contains(&ClaimDecision::AlreadyClaimed) {
            // The holder may have released its claim since the object was cached.
            queue.state.borrow_mut().cached = None;
            cached = self.load_object(queue).await?;
            plan = cached.object.plan(&requests, &released);
        }
        if let Some(object) = plan.object {
            let value = object.encode()?;
            queue.state.borrow_mut().last_write = Some(Instant::now());
            match self.store.write(&queue.object_key, cached.condition, value).await {
                Ok(version) => {
                    self.counts.borrow_mut().writes += 1;
                    let condition = WriteCondition::Version(version);
                    let mut state = queue.state.borrow_mut();
                    state.cached = Some(CachedObject { condition, object });
                    state.released.retain(|owner| !released.contains(owner));
                }
                Err(report) if *report.current_context() == ErrorKind::VersionConflict => {
                    self.counts.borrow_mut().conflicts += 1;
                    let mut state = queue.state.borrow_mut();
                    state.cached = None;
                    // The conflict backoff delays the next write; the batch need not wait for more
                    // claims as well.
                    state.last_write = None;
                    return Ok(RoundOutcome::Conflict);
                }
                Err(report) => return Err(report),
            }
        }
        let mut state = queue.state.borrow_mut();
        for (claim, decision) in batch.drain(..).zip(plan.decisions) {
            let result = decision.error().map_or(Ok(()), Err);
            if claim.reply.send(result).is_err() {
                state.released.insert(claim.request.owner);
            }
        }
        Ok(RoundOutcome::Decided)
    }

    /// Returns the cached object; reads it if it is not cached.
    async fn load_object(&self, queue: &ClaimQueue) -> Result<CachedObject, Report<ErrorKind>> {
        if let Some(cached) = &queue.state.borrow().cached {
            return Ok(cached.clone());
        }
        let stored = self.store.read(&queue.object_key).await?;
        let condition = StoredObject::condition(stored.as_ref());
        let object = match stored {
            Some(stored) => ClaimObject::decode(&stored.value)?,
            None => ClaimObject::default(),
        };
        let cached = CachedObject { condition, object };
        queue.state.borrow_mut().cached = Some(cached.clone());
        Ok(cached)
    }

    /// Ensures that the whole fleet uses this layout; with two layouts, claims of the same key
    /// would be written to different objects.
    async fn check_layout(&self) -> Result<(), Report<ErrorKind>> {
        if *self.layout_checked.borrow() {
            return Ok(());
        }
        let layout = self.settings.layout;
        let value = serde_json::to_vec(&layout)
            .map_err(|error| Report::new(ErrorKind::InvariantViolated).attach(error.to_string()))?;
        let value = Bytes::from(value);
        let created = self.store.write(LAYOUT_KEY, WriteCondition::Absent, value.clone()).await;
        if !succeeded(created)? {
            let stored = self.store.read(LAYOUT_KEY).await?;
            if stored.is_none_or(|stored| stored.value != value) {
                let report = Report::new(ErrorKind::ClaimUnavailable);
                return Err(report.attach("the fleet uses another claim layout"));
            }
        }
        *self.layout_checked.borrow_mut() = true;
        Ok(())
    }

    /// Adds the result of a claim to the counters.
    pub(super) fn count_result(&self, result: Result<(), ErrorKind>) {
        let mut counts = self.counts.borrow_mut();
        match result {
            Ok(()) => counts.granted += 1,
            Err(ErrorKind::AlreadyClaimed) => counts.already_claimed += 1,
            Err(ErrorKind::KeyExpired) => counts.expired += 1,
            Err(_) => counts.unavailable += 1,
        }
    }
}

/// Returns the milliseconds since the Unix epoch.
fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
