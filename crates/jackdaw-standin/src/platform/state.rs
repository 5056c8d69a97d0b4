//! Objects, VM list, faults and counters of the platform stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use jackdaw_base::{VmRecord, plain_data};
use tokio::sync::watch;

use super::{AnswerFault, PlatformCounts, PlatformFaults, StandinSettings};

plain_data! {
    /// An object's key with its newest version.
    pub(super) struct ChangeEntry {
        pub(super) key: String,
        pub(super) version: u64,
        pub(super) removed: bool,
    }
}

plain_data! {
    /// Objects under a prefix at one revision.
    pub(super) struct ChangeListing {
        pub(super) revision: u64,
        pub(super) changes: Vec<ChangeEntry>,
    }
}

plain_data! {
    /// The VM list.
    #[derive(Default)]
    pub(super) struct VmAnswer {
        pub(super) version: u64,
        pub(super) vms: Vec<VmRecord>,
    }
}

/// Condition of a write.
#[derive(Debug, Clone, Copy)]
pub(super) enum WriteGuard {
    Absent,
    Version(u64),
}

/// A write as it came in.
#[derive(Debug, Clone)]
pub(super) struct ObjectWrite {
    pub(super) key: String,
    pub(super) guard: WriteGuard,
    pub(super) value: Bytes,
}

/// What a write did.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteEffect {
    pub(super) version: u64,
    /// The way in which the answer is to be lost.
    pub(super) lost: Option<AnswerFault>,
}

/// Kind of a call, for counters and limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
    List,
    Watch,
}

/// State behind all handlers.
pub(super) struct PlatformState {
    settings: StandinSettings,
    inner: Mutex<StateInner>,
    /// Told about every new revision and VM list.
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct StateInner {
    revision: u64,
    objects: BTreeMap<String, ObjectEntry>,
    held: Vec<ObjectWrite>,
    vms: VmAnswer,
    pending_vms: VecDeque<(Instant, VmAnswer)>,
    newest_vms: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
    write_meter: RateMeter,
    read_meter: RateMeter,
}

struct ObjectEntry {
    version: u64,
    value: Bytes,
}

/// Counts calls in the running second.
#[derive(Default)]
struct RateMeter {
    since: Option<Instant>,
    calls: u32,
}

impl RateMeter {
    /// Counts a call and returns whether it is within the limit.
    fn admit(&mut self, limit: u32, now: Instant) -> bool {
        let fresh = self.since.is_none_or(|since| now - since >= Duration::from_secs(1));
        if fresh {
            self.since = Some(now);
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

    /// Returns a receiver that is told about every change from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Counts a call and returns whether it is within the rate limit.
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
            CallKind::Write => inner.write_meter.admit(self.settings.writes_per_second, now),
            CallKind::Read | CallKind::List | CallKind::Watch => {
                inner.read_meter.admit(self.settings.reads_per_second, now)
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

    /// Holds a write back if one is to be held; returns whether it was.
    pub(super) fn hold(&self, write: &ObjectWrite) -> bool {
        let mut inner = self.lock();
        let held = take_one(&mut inner.faults.held_writes);
        if held {
            inner.held.push(write.clone());
        }
        held
    }

    pub(super) fn held_writes(&self) -> usize {
        self.lock().held.len()
    }

    pub(super) fn release_writes(&self) -> usize {
        let held = std::mem::take(&mut self.lock().held);
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

    pub(super) fn peek(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().objects.get(key).map(|entry| entry.value.to_vec())
    }

    /// Writes if the condition holds.
    pub(super) fn write(&self, write: &ObjectWrite) -> Option<WriteEffect> {
        let mut inner = self.lock();
        inner.counts.written_bytes += write.value.len() as u64;
        let current = inner.objects.get(&write.key).map(|entry| entry.version);
        let holds = match write.guard {
            WriteGuard::Absent => current.is_none(),
            WriteGuard::Version(version) => current == Some(version),
        };
        if !holds {
            return None;
        }
        inner.revision += 1;
        inner.counts.effective_writes += 1;
        let version = inner.revision;
        let entry = ObjectEntry { version, value: write.value.clone() };
        inner.objects.insert(write.key.clone(), entry);
        let lost_as = inner.faults.lost_as.unwrap_or(AnswerFault::Gateway);
        let lost = take_one(&mut inner.faults.lost_answers).then_some(lost_as);
        drop(inner);
        self.changed.send_replace(version);
        Some(WriteEffect { version, lost })
    }

    /// Lists the objects under a prefix that changed after a revision.
    pub(super) fn list(&self, prefix: &str, after: u64) -> ChangeListing {
        let inner = self.lock();
        let changes = inner
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.version > after)
            .map(|(key, entry)| ChangeEntry {
                key: key.clone(),
                version: entry.version,
                removed: false,
            })
            .collect();
        ChangeListing { revision: inner.revision, changes }
    }

    pub(super) fn set_vms(&self, vms: Vec<VmRecord>) {
        let mut inner = self.lock();
        inner.newest_vms += 1;
        let answer = VmAnswer { version: inner.newest_vms, vms };
        inner.pending_vms.push_back((Instant::now() + self.settings.vm_lag, answer));
        drop(inner);
        self.changed.send_modify(|_| {});
    }

    /// Returns the VM list that can be seen now, and the time when the next one will be.
    pub(super) fn vms(&self) -> (VmAnswer, Option<Instant>) {
        let now = Instant::now();
        let mut inner = self.lock();
        while inner.pending_vms.front().is_some_and(|(ready, _)| *ready <= now) {
            if let Some((_, answer)) = inner.pending_vms.pop_front() {
                inner.vms = answer;
            }
        }
        let next = inner.pending_vms.front().map(|(ready, _)| *ready);
        (inner.vms.clone(), next)
    }

    fn lock(&self) -> MutexGuard<'_, StateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn take_one(left: &mut u32) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}
