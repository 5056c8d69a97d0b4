//! Writes claims, many to one conditional update.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use error_stack::Report;
use jackdaw_base::{ErrorKind, ProcessIncarnation, plain_data};
use tokio::sync::oneshot;

use super::key::{ClaimKey, ClaimLayout};
use super::line::{ClaimLine, SharedWriter, WaitingClaim, serve_line};
use super::object::{ClaimOwner, ClaimRequest};
use crate::store::ObjectStore;

/// How claims are written.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// The spread of claims over objects.
    pub layout: ClaimLayout,
    /// The greatest age of a key; older ones may have run before and been forgotten.
    pub max_key_age: Duration,
    /// The time by which a key may be ahead of this machine's clock.
    pub max_clock_skew: Duration,
    /// The least time between two writes of one object.
    pub write_interval: Duration,
    /// The time after which a claim without a verdict fails.
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
    /// Claims of one writer, counted.
    #[derive(Default)]
    pub struct ClaimCounts {
        /// The claims that were granted.
        pub granted: u64,
        /// The claims whose key another attempt holds.
        pub already_claimed: u64,
        /// The claims whose key lies outside the accepted age.
        pub expired: u64,
        /// The claims that got no verdict.
        pub unavailable: u64,
        /// The conditional writes that took effect.
        pub writes: u64,
        /// The conditional writes that met another version.
        pub conflicts: u64,
    }
}

/// Writer of claims; clones share everything.
///
/// A claim that fails never leads to a run, so each of its errors with the outcome "not run"
/// is honest, whatever becomes of a write that is still on the way: it can only block the
/// key, and not let it run. The writer takes such claims back as soon as the platform answers
/// again.
pub struct ClaimWriter<S> {
    shared: Rc<SharedWriter<S>>,
}

impl<S> Clone for ClaimWriter<S> {
    fn clone(&self) -> ClaimWriter<S> {
        ClaimWriter { shared: Rc::clone(&self.shared) }
    }
}

impl<S: ObjectStore> ClaimWriter<S> {
    /// Starts a writer; must be used within an actix runtime.
    pub fn spawn(
        store: S,
        incarnation: ProcessIncarnation,
        settings: ClaimSettings,
    ) -> ClaimWriter<S> {
        let shared = SharedWriter {
            store,
            incarnation,
            settings,
            lines: RefCell::default(),
            tasks: RefCell::default(),
            layout_checked: RefCell::default(),
            counts: RefCell::default(),
        };
        ClaimWriter { shared: Rc::new(shared) }
    }

    /// Claims a key; the recording may be run once, and only if this returns `Ok`.
    ///
    /// Fails with [`ErrorKind::KeyRequired`] for a key that is no UUID of version 7, with
    /// [`ErrorKind::KeyExpired`] outside the accepted age, with
    /// [`ErrorKind::AlreadyClaimed`] if another attempt holds the key, and with
    /// [`ErrorKind::ClaimUnavailable`] if there was no verdict in time.
    pub async fn claim(&self, key: &str) -> Result<(), Report<ErrorKind>> {
        let key = ClaimKey::parse(key)?;
        let result = match self.shared.check_age(key, SystemTime::now()) {
            Ok(()) => self.await_decision(key).await,
            Err(kind) => Err(kind),
        };
        self.shared.count_result(result);
        result.map_err(Report::new)
    }

    /// Takes back a claim that was granted here and whose recording was never given to a
    /// target, so that a caller who is told "not run" may send it again.
    ///
    /// Only whoever got `Ok` from [`ClaimWriter::claim`] may call this, and only if no byte of
    /// the recording can have reached a target. Where the claim cannot be found any more, the
    /// key stays claimed.
    pub fn release(&self, key: &str) {
        let Ok(key) = ClaimKey::parse(key) else {
            return;
        };
        let layout = &self.shared.settings.layout;
        let line = self.shared.line(&layout.object_key(layout.locate(key)));
        if line.release_held(key, self.shared.incarnation) {
            self.serve(&line);
        }
    }

    /// Returns the claims so far.
    pub fn counts(&self) -> ClaimCounts {
        *self.shared.counts.borrow()
    }

    /// Ends all writing; claims without a verdict fail, and their keys may stay claimed.
    pub async fn close(self) {
        let mut tasks = self.shared.tasks.take();
        tasks.shutdown().await;
        for line in self.shared.lines.take().into_values() {
            line.state.borrow_mut().waiting.clear();
        }
    }

    /// Hands the claim to its line and waits for the verdict.
    ///
    /// Where the wait is cut short, the line notices that nobody takes the verdict and takes
    /// the claim back.
    async fn await_decision(&self, key: ClaimKey) -> Result<(), ErrorKind> {
        let (reply, verdict) = oneshot::channel();
        self.enqueue(key, reply);
        let limit = self.shared.settings.claim_timeout;
        match actix_rt::time::timeout(limit, verdict).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ErrorKind::ClaimUnavailable),
        }
    }

    /// Adds a claim to the line of its object.
    fn enqueue(&self, key: ClaimKey, reply: oneshot::Sender<Result<(), ErrorKind>>) {
        let layout = &self.shared.settings.layout;
        let place = layout.locate(key);
        let owner =
            ClaimOwner { incarnation: self.shared.incarnation, nonce: rand::random::<u64>() };
        let line = self.shared.line(&layout.object_key(place));
        let request = ClaimRequest { key, bucket: place.bucket, owner };
        line.push(WaitingClaim { request, reply });
        self.serve(&line);
    }

    /// Starts a task for a line that has none.
    fn serve(&self, line: &Rc<ClaimLine>) {
        if line.start_serving() {
            let mut tasks = self.shared.tasks.borrow_mut();
            while tasks.try_join_next().is_some() {}
            tasks.spawn_local(serve_line(Rc::clone(&self.shared), Rc::clone(line)));
        }
    }
}
