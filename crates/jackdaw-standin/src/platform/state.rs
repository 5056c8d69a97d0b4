//! State of the platform stand-in: objects, VM list, faults and counters.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use jackdaw_base::{VmRecord, plain_data};
use tokio::sync::watch;

use super::{AnswerFault, PlatformCounts, PlatformFaults, StandinSettings};

plain_data! {
    /// The key of an object and its latest version.
    pub(super) struct ObjectChange {
        pub(super) key: String,
        pub(super) version: u64,
        pub(super) removed: bool,
    }
}

plain_data! {
    /// The objects under a prefix as of one revision.
    pub(super) struct ObjectListing {
        pub(super) revision: u64,
        pub(super) changes: Vec<ObjectChange>,
    }
}

plain_data! {
    /// The VM list with its version.
    #[derive(Default)]
    pub(super) struct VmListing {
        pub(super) version: u64,
        pub(super) vms: Vec<VmRecord>,
    }
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy)]
pub(super) enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// A conditional write as received.
#[derive(Debug, Clone)]
pub(super) struct ObjectWrite {
    pub(super) key: String,
    pub(super) condition: WriteCondition,
    pub(super) value: Bytes,
}

/// The result of a write that took effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteEffect {
    pub(super) version: u64,
    /// How the response is lost; `None` if it is sent.
    pub(super) lost: Option<AnswerFault>,
}

/// Kind of a call, which selects its counter and rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
    List,
    Watch,
}

/// State shared by all handlers.
pub(super) struct PlatformState {
    settings: StandinSettings,
    inner: Mutex<StateInner>,
    /// Notifies watchers of each new revision and VM list.
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct StateInner {
    revision: u64,
    objects: BTreeMap<String, ObjectEntry>,
    held_writes: Vec<ObjectWrite>,
    vms: VmListing,
    pending_vms: VecDeque<(Instant, VmListing)>,
    latest_vm_version: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
}

struct ObjectEntry {
    version: u64,
    value: Bytes,
}

/// Rate limiter over fixed windows of one second.
#[derive(Default)]
struct RateLimiter {
    window_start: Option<Instant>,
    calls: u32,
}

impl RateLimiter {
    /// Counts a call and returns whether it is within the limit; zero means no limit.
    fn admit(&mut self, limit: u32, now: Instant) -> bool {
        let is_expired =
            self.window_start.is_none_or(|start| now - start >= Duration::from_secs(1));
        if is_expired {
            self.window_start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}

impl PlatformState {
    pub(super) fn new(settings: StandinSettings) -> PlatformState {
        let (changed, _) = watch::channel(0);
        PlatformState { settings, inner: Mutex::default(), changed }
    }

    /// Returns a receiver that is notified of each change from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Counts a call and returns whether it is within the rate limit of its kind.
    pub(super) fn admit(&self, kind: CallKind) -> bool {
        let now = Instant::now();
        let mut inner = self.lock();
        match kind {
            CallKind::Read => inner.counts.reads += 1,
            CallKind::Write => inner.counts.writes += 1,
            CallKind::List => inner.counts.lists += 1,
            CallKind::Watch => inner.counts.watches += 1,
        }
        let admitted = match kind {
            CallKind::Write => inner.write_limiter.admit(self.settings.writes_per_second, now),
            CallKind::Read | CallKind::List | CallKind::Watch => {
                inner.read_limiter.admit(self.settings.reads_per_second, now)
            }
        };
        if !admitted {
            inner.counts.refused += 1;
        }
        admitted
    }

    pub(super) fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Holds back a write if the faults ask for it; returns whether it was held.
    pub(super) fn hold(&self, write: &ObjectWrite) -> bool {
        let mut inner = self.lock();
        let is_held = decrement(&mut inner.faults.held_writes);
        if is_held {
            inner.held_writes.push(write.clone());
        }
        is_held
    }

    pub(super) fn held_writes(&self) -> usize {
        self.lock().held_writes.len()
    }

    pub(super) fn release_writes(&self) -> usize {
        let held = std::mem::take(&mut self.lock().held_writes);
        held.into_iter().filter(|write| self.write(write).is_some()).count()
    }

    pub(super) fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    pub(super) fn read(&self, key: &str) -> Option<(u64, Bytes)> {
        let mut inner = self.lock();
        let (version, value) =
            inner.objects.get(key).map(|entry| (entry.version, entry.value.clone()))?;
        inner.counts.read_bytes += value.len() as u64;
        Some((version, value))
    }

    /// Returns the value of an object without counting its bytes.
    pub(super) fn read_uncounted(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().objects.get(key).map(|entry| entry.value.to_vec())
    }

    /// Applies a write if its condition is met; returns `None` otherwise.
    pub(super) fn write(&self, write: &ObjectWrite) -> Option<WriteEffect> {
        let mut inner = self.lock();
        inner.counts.written_bytes += write.value.len() as u64;
        let current = inner.objects.get(&write.key).map(|entry| entry.version);
        let is_met = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !is_met {
            return None;
        }
        inner.revision += 1;
        inner.counts.effective_writes += 1;
        let version = inner.revision;
        let entry = ObjectEntry { version, value: write.value.clone() };
        inner.objects.insert(write.key.clone(), entry);
        let lost_as = inner.faults.lost_as.unwrap_or(AnswerFault::Gateway);
        let lost = decrement(&mut inner.faults.lost_answers).then_some(lost_as);
        drop(inner);
        self.changed.send_replace(version);
        Some(WriteEffect { version, lost })
    }

    /// Lists the objects under a prefix whose version is greater than `after`.
    pub(super) fn list(&self, prefix: &str, after: u64) -> ObjectListing {
        let inner = self.lock();
        let changes = inner
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.version > after)
            .map(|(key, entry)| ObjectChange {
                key: key.clone(),
                version: entry.version,
                removed: false,
            })
            .collect();
        ObjectListing { revision: inner.revision, changes }
    }

    pub(super) fn set_vms(&self, vms: Vec<VmRecord>) {
        let mut inner = self.lock();
        inner.latest_vm_version += 1;
        let listing = VmListing { version: inner.latest_vm_version, vms };
        inner.pending_vms.push_back((Instant::now() + self.settings.vm_lag, listing));
        drop(inner);
        self.changed.send_modify(|_| {});
    }

    /// Returns the VM list that is visible now, and when the next one becomes visible, if any.
    pub(super) fn vms(&self) -> (VmListing, Option<Instant>) {
        let now = Instant::now();
        let mut inner = self.lock();
        while inner.pending_vms.front().is_some_and(|(visible_at, _)| *visible_at <= now) {
            if let Some((_, listing)) = inner.pending_vms.pop_front() {
                inner.vms = listing;
            }
        }
        let next = inner.pending_vms.front().map(|(visible_at, _)| *visible_at);
        (inner.vms.clone(), next)
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decrements a counter unless it is zero; returns whether it was decremented.
fn decrement(counter: &mut u32) -> bool {
    let is_positive = *counter > 0;
    *counter = counter.saturating_sub(1);
    is_positive
}
