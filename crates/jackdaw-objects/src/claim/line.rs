//! Claims that wait for one object, and the rounds in which they are written.

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

/// The object that keeps all processes to one layout.
const LAYOUT_KEY: &str = "claims/layout";
/// The first bound of the wait after a version conflict or a failure.
const RETRY_FIRST: Duration = Duration::from_millis(5);
/// The longest wait after a version conflict.
const CONFLICT_LIMIT: Duration = Duration::from_millis(100);
/// The longest wait after a failure.
const FAILURE_LIMIT: Duration = Duration::from_secs(2);

/// State that all clones of a writer share.
pub(super) struct SharedWriter<S> {
    pub(super) store: S,
    pub(super) incarnation: ProcessIncarnation,
    pub(super) settings: ClaimSettings,
    pub(super) lines: RefCell<HashMap<String, Rc<ClaimLine>>>,
    pub(super) tasks: RefCell<JoinSet<()>>,
    pub(super) layout_checked: RefCell<bool>,
    pub(super) counts: RefCell<ClaimCounts>,
}

/// Claims that wait for one object.
pub(super) struct ClaimLine {
    object_key: String,
    pub(super) arrived: Notify,
    pub(super) state: RefCell<LineState>,
}

#[derive(Default)]
pub(super) struct LineState {
    pub(super) waiting: Vec<WaitingClaim>,
    /// Attempts that ended without a verdict for their caller.
    pub(super) released: HashSet<ClaimOwner>,
    /// The object as last read or written.
    pub(super) known: Option<KnownObject>,
    /// The newest bucket that was asked for.
    pub(super) bucket: u64,
    /// Whether a task serves the line.
    pub(super) served: bool,
    written: Option<Instant>,
}

pub(super) struct WaitingClaim {
    pub(super) request: ClaimRequest,
    pub(super) reply: oneshot::Sender<Result<(), ErrorKind>>,
}

#[derive(Clone)]
pub(super) struct KnownObject {
    condition: WriteCondition,
    object: ClaimObject,
}

/// What became of one round of writing.
enum RoundEnd {
    /// The batch has its decisions.
    Settled,
    /// Another writer was first; the batch goes into the next round.
    Conflict,
    /// The platform failed; the batch has failed too.
    Failed,
}

impl ClaimLine {
    /// Adds a claim.
    pub(super) fn push(&self, claim: WaitingClaim) {
        let mut state = self.state.borrow_mut();
        state.bucket = state.bucket.max(claim.request.bucket);
        state.waiting.push(claim);
        self.arrived.notify_one();
    }

    /// Marks the line as served and returns whether it was not.
    pub(super) fn start_serving(&self) -> bool {
        !std::mem::replace(&mut self.state.borrow_mut().served, true)
    }

    /// Notes that a claim of this process is to be taken back; returns whether it was found.
    pub(super) fn release_held(&self, key: ClaimKey, incarnation: ProcessIncarnation) -> bool {
        let mut state = self.state.borrow_mut();
        let held = state.known.as_ref().and_then(|known| {
            let mut entries = known.object.entries.iter();
            entries.find(|entry| entry.key == key && entry.owner.incarnation == incarnation)
        });
        let Some(owner) = held.map(|entry| entry.owner) else {
            return false;
        };
        self.arrived.notify_one();
        state.released.insert(owner)
    }

    /// Takes claims out of the batch whose callers have gone; an earlier round may have
    /// written them.
    fn release_abandoned(&self, batch: &mut Vec<WaitingClaim>) {
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

/// Writes the claims of a line until none waits and none has to be taken back.
pub(super) async fn serve_line<S: ObjectStore>(shared: Rc<SharedWriter<S>>, line: Rc<ClaimLine>) {
    let mut conflicts = CallBackoff::new(RETRY_FIRST, CONFLICT_LIMIT);
    let mut failures = CallBackoff::new(RETRY_FIRST, FAILURE_LIMIT);
    let mut batch = Vec::new();
    loop {
        shared.pace(&line).await;
        batch.append(&mut line.state.borrow_mut().waiting);
        line.release_abandoned(&mut batch);
        if batch.is_empty() && !shared.must_release(&line) {
            line.state.borrow_mut().served = false;
            return;
        }
        match shared.run_round(&line, &mut batch).await {
            RoundEnd::Settled => {
                conflicts.reset();
                failures.reset();
            }
            RoundEnd::Conflict => {
                let wait = conflicts.next_wait(&mut rand::rng());
                actix_rt::time::sleep(wait).await;
            }
            RoundEnd::Failed => {
                let wait = failures.next_wait(&mut rand::rng());
                // New claims are answered at once, by the circuit breaker if need be.
                let _ = actix_rt::time::timeout(wait, line.arrived.notified()).await;
            }
        }
    }
}

impl<S: ObjectStore> SharedWriter<S> {
    /// Fails with [`ErrorKind::KeyExpired`] if the key's time is outside the accepted age.
    ///
    /// The bound on both sides follows the accept limit of "Netflix TimeSeries Abstraction".
    pub(super) fn check_age(&self, key: ClaimKey, now: SystemTime) -> Result<(), ErrorKind> {
        let now = unix_millis(now);
        let time = key.unix_millis();
        let age = self.settings.max_key_age.min(self.settings.layout.retention());
        let oldest = now.saturating_sub(age.as_millis() as u64);
        let newest = now.saturating_add(self.settings.max_clock_skew.as_millis() as u64);
        if time < oldest || time > newest { Err(ErrorKind::KeyExpired) } else { Ok(()) }
    }

    /// Returns the line of an object; lines that are at rest and past their age go.
    pub(super) fn line(&self, object_key: &str) -> Rc<ClaimLine> {
        let mut lines = self.lines.borrow_mut();
        if let Some(line) = lines.get(object_key) {
            return Rc::clone(line);
        }
        lines.retain(|_, line| {
            let state = line.state.borrow();
            state.served || !self.is_past(state.bucket)
        });
        let line = Rc::new(ClaimLine {
            object_key: object_key.to_owned(),
            arrived: Notify::new(),
            state: RefCell::default(),
        });
        lines.insert(object_key.to_owned(), Rc::clone(&line));
        line
    }

    /// Returns whether no key of a bucket is accepted any more.
    fn is_past(&self, bucket: u64) -> bool {
        let end = (bucket + 1).saturating_mul(self.settings.layout.bucket_millis);
        let age = self.settings.max_key_age.as_millis() as u64;
        end.saturating_add(age) < unix_millis(SystemTime::now())
    }

    /// Returns whether claims have to be taken back that somebody may still ask for.
    fn must_release(&self, line: &ClaimLine) -> bool {
        let state = line.state.borrow();
        !state.released.is_empty() && !self.is_past(state.bucket)
    }

    /// Waits until the object may be written again, so that claims gather.
    async fn pace(&self, line: &ClaimLine) {
        let written = line.state.borrow().written;
        if let Some(written) = written {
            let wait = self.settings.write_interval.saturating_sub(written.elapsed());
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Reads the object if need be, and writes the batch.
    async fn run_round(&self, line: &ClaimLine, batch: &mut Vec<WaitingClaim>) -> RoundEnd {
        match self.try_round(line, batch).await {
            Ok(end) => end,
            Err(report) => {
                log::warn!("claims of {} got no verdict: {report}", line.object_key);
                let mut state = line.state.borrow_mut();
                state.known = None;
                for claim in batch.drain(..) {
                    state.released.insert(claim.request.owner);
                    // A caller that has gone needs no answer.
                    let _ = claim.reply.send(Err(ErrorKind::ClaimUnavailable));
                }
                RoundEnd::Failed
            }
        }
    }

    async fn try_round(
        &self,
        line: &ClaimLine,
        batch: &mut Vec<WaitingClaim>,
    ) -> Result<RoundEnd, Report<ErrorKind>> {
        self.check_layout().await?;
        let released = line.state.borrow().released.clone();
        let requests: Vec<ClaimRequest> = batch.iter().map(|claim| claim.request).collect();
        let cached = line.state.borrow().known.is_some();
        let mut known = self.know_object(line).await?;
        let mut plan = known.object.plan(&requests, &released);
        if cached && plan.decisions.contains(&ClaimDecision::AlreadyClaimed) {
            // The holder may have taken its claim back since.
            line.state.borrow_mut().known = None;
            known = self.know_object(line).await?;
            plan = known.object.plan(&requests, &released);
        }
        if let Some(object) = plan.object {
            let value = object.encode()?;
            line.state.borrow_mut().written = Some(Instant::now());
            match self.store.write(&line.object_key, known.condition, value).await {
                Ok(version) => {
                    self.counts.borrow_mut().writes += 1;
                    let condition = WriteCondition::Version(version);
                    let mut state = line.state.borrow_mut();
                    state.known = Some(KnownObject { condition, object });
                    state.released.retain(|owner| !released.contains(owner));
                }
                Err(report) if *report.current_context() == ErrorKind::VersionConflict => {
                    self.counts.borrow_mut().conflicts += 1;
                    let mut state = line.state.borrow_mut();
                    state.known = None;
                    // The backoff paces the next write; the claims have gathered already.
                    state.written = None;
                    return Ok(RoundEnd::Conflict);
                }
                Err(report) => return Err(report),
            }
        }
        let mut state = line.state.borrow_mut();
        for (claim, verdict) in batch.drain(..).zip(plan.decisions) {
            let result = verdict.error().map_or(Ok(()), Err);
            if claim.reply.send(result).is_err() {
                state.released.insert(claim.request.owner);
            }
        }
        Ok(RoundEnd::Settled)
    }

    /// Returns the object as last read or written; reads it if that is not known.
    async fn know_object(&self, line: &ClaimLine) -> Result<KnownObject, Report<ErrorKind>> {
        if let Some(known) = &line.state.borrow().known {
            return Ok(known.clone());
        }
        let stored = self.store.read(&line.object_key).await?;
        let condition = StoredObject::condition(stored.as_ref());
        let object = match stored {
            Some(stored) => ClaimObject::decode(&stored.value)?,
            None => ClaimObject::default(),
        };
        let known = KnownObject { condition, object };
        line.state.borrow_mut().known = Some(known.clone());
        Ok(known)
    }

    /// Makes sure that the whole fleet uses this layout; two layouts would put the same key
    /// into different objects.
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
                return Err(report.attach("the fleet uses another layout of claims"));
            }
        }
        *self.layout_checked.borrow_mut() = true;
        Ok(())
    }

    /// Counts the result of a claim.
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

/// Returns milliseconds since 1970.
fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
