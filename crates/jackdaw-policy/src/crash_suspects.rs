//! Evidence against requests that crash the targets that run them.
//!
//! Evidence is kept by the fingerprint of customer and content, so that a request that comes
//! again under another identifier is known. All requests in flight at a crash become suspects.
//! A target runs one suspect at a time, so that a further crash tells the cause from those that
//! were only near it; once the cause is known, those are suspects no more.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{CrashEvidence, MonotonicTime, VmId};
use smallvec::SmallVec;

/// The crashes after which a request is refused.
const REFUSED_CRASHES: usize = 2;

/// The time for which evidence counts.
const EVIDENCE_SPAN: Duration = Duration::from_secs(60);

/// The time within which reports from one target are of the same crash.
const CRASH_SPAN: Duration = Duration::from_millis(100);

/// The fingerprints that are kept at the most.
const SUSPECT_LIMIT: usize = 4096;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Nothing is known against it.
    Clear,
    /// It was in flight at a crash and must not run beside another suspect.
    Suspect,
    /// It was in flight at as many crashes as one request may cause.
    Refused,
}

/// Evidence of a process against requests.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// The crashes by fingerprint.
    crashes: BTreeMap<u64, SmallVec<[TargetCrash; 2]>>,
}

/// A crash of a target.
#[derive(Debug, Clone, Copy)]
struct TargetCrash {
    /// The VM of the target.
    target: VmId,
    /// The time at which it became known.
    time: MonotonicTime,
}

impl TargetCrash {
    /// Returns whether two reports are of one crash.
    fn is_same(self, other: TargetCrash) -> bool {
        let (earlier, later) = (self.time.min(other.time), self.time.max(other.time));
        self.target == other.target && later.since(earlier) < CRASH_SPAN
    }
}

impl CrashSuspects {
    /// Takes in evidence; returns whether it was new.
    pub fn record(&mut self, now: MonotonicTime, evidence: CrashEvidence) -> bool {
        let CrashEvidence { fingerprint, target } = evidence;
        let Some(target) = target else {
            return self.crashes.remove(&fingerprint).is_some();
        };
        self.forget_old(now);
        let crash = TargetCrash { target, time: now };
        if self.is_explained(fingerprint, crash) {
            return false;
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        let is_known = crashes.iter().any(|known| known.is_same(crash));
        if is_known || crashes.len() >= REFUSED_CRASHES {
            return false;
        }
        crashes.push(crash);
        if crashes.len() >= REFUSED_CRASHES {
            let explained = crashes.clone();
            self.clear_bystanders(&explained);
        }
        true
    }

    /// Returns what may be done with the request of a fingerprint.
    pub fn status(&self, now: MonotonicTime, fingerprint: u64) -> SuspectStatus {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return SuspectStatus::Clear;
        };
        match is_recent(now, crashes) {
            false => SuspectStatus::Clear,
            true if crashes.len() >= REFUSED_CRASHES => SuspectStatus::Refused,
            true => SuspectStatus::Suspect,
        }
    }

    /// Returns the number of fingerprints with evidence.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether a crash is put down to another request that is refused already.
    fn is_explained(&self, fingerprint: u64, crash: TargetCrash) -> bool {
        self.crashes.iter().any(|(other, crashes)| {
            *other != fingerprint
                && crashes.len() >= REFUSED_CRASHES
                && crashes.iter().any(|known| known.is_same(crash))
        })
    }

    /// Drops the evidence of crashes whose cause is known, but for that against the cause.
    fn clear_bystanders(&mut self, explained: &[TargetCrash]) {
        for crashes in self.crashes.values_mut() {
            if crashes.len() < REFUSED_CRASHES {
                crashes.retain(|crash| !explained.iter().any(|known| known.is_same(*crash)));
            }
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
    }

    /// Drops what no longer counts, and all evidence where there is too much of it.
    fn forget_old(&mut self, now: MonotonicTime) {
        self.crashes.retain(|_, crashes| is_recent(now, crashes));
        if self.crashes.len() >= SUSPECT_LIMIT {
            self.crashes.clear();
        }
    }
}

fn is_recent(now: MonotonicTime, crashes: &[TargetCrash]) -> bool {
    crashes.last().is_some_and(|crash| now.since(crash.time) < EVIDENCE_SPAN)
}
