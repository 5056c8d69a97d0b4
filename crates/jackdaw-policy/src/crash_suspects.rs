//! Identifies requests that crash the targets running them.
//!
//! Evidence is keyed by a fingerprint of customer and content, so a request resubmitted under
//! another identifier is recognised. Every request in flight at a crash becomes a suspect. A
//! target runs one suspect at a time, so a second crash singles out the request that caused it;
//! the evidence of the same crashes against other requests is then dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{CrashEvidence, MonotonicTime, VmId};
use smallvec::SmallVec;

/// Number of crashes after which a request is refused.
const REFUSAL_CRASHES: usize = 2;

/// How long after its most recent crash the evidence against a request is valid.
const EVIDENCE_TTL: Duration = Duration::from_secs(60);

/// Reports about one target within this window refer to the same crash.
const CRASH_DEDUP_WINDOW: Duration = Duration::from_millis(100);

/// Number of fingerprints at which all evidence is discarded, to bound memory.
const MAX_SUSPECTS: usize = 4096;

/// Whether a request may run, given the evidence against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectStatus {
    /// There is no valid evidence against the request.
    Clear,
    /// The request was in flight at a crash and must not run concurrently with another suspect.
    Suspect,
    /// The request was in flight at the maximum number of crashes and must not run.
    Refused,
}

/// Crash evidence known to a process, by request fingerprint.
#[derive(Debug, Clone, Default)]
pub struct CrashSuspects {
    /// Crashes at which each fingerprint was in flight, oldest first.
    crashes: BTreeMap<u64, SmallVec<[TargetCrash; 2]>>,
}

/// Crash of a target as one process observed it.
#[derive(Debug, Clone, Copy)]
struct TargetCrash {
    /// VM of the target.
    target: VmId,
    /// Time at which this process received the evidence.
    time: MonotonicTime,
}

impl TargetCrash {
    /// Returns whether two reports refer to the same crash.
    fn is_same_crash(self, other: TargetCrash) -> bool {
        let (earlier, later) = (self.time.min(other.time), self.time.max(other.time));
        self.target == other.target && later.since(earlier) < CRASH_DEDUP_WINDOW
    }
}

impl CrashSuspects {
    /// Records evidence; returns whether it was new. Evidence without a target clears the request.
    pub fn record(&mut self, now: MonotonicTime, evidence: CrashEvidence) -> bool {
        let CrashEvidence { fingerprint, target } = evidence;
        let Some(target) = target else {
            return self.crashes.remove(&fingerprint).is_some();
        };
        self.evict_expired(now);
        let crash = TargetCrash { target, time: now };
        if self.is_attributed(fingerprint, crash) {
            return false;
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        let is_known = crashes.iter().any(|known| known.is_same_crash(crash));
        if is_known || crashes.len() >= REFUSAL_CRASHES {
            return false;
        }
        crashes.push(crash);
        if crashes.len() >= REFUSAL_CRASHES {
            let attributed = crashes.clone();
            self.clear_coincidental(&attributed);
        }
        true
    }

    /// Returns whether the request with this fingerprint may run.
    pub fn status(&self, now: MonotonicTime, fingerprint: u64) -> SuspectStatus {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return SuspectStatus::Clear;
        };
        match is_recent(now, crashes) {
            false => SuspectStatus::Clear,
            true if crashes.len() >= REFUSAL_CRASHES => SuspectStatus::Refused,
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

    /// Returns whether a crash is already attributed to another request that is refused.
    fn is_attributed(&self, fingerprint: u64, crash: TargetCrash) -> bool {
        self.crashes.iter().any(|(other, crashes)| {
            *other != fingerprint
                && crashes.len() >= REFUSAL_CRASHES
                && crashes.iter().any(|known| known.is_same_crash(crash))
        })
    }

    /// Drops the evidence from attributed crashes against every request that is not refused.
    fn clear_coincidental(&mut self, attributed: &[TargetCrash]) {
        for crashes in self.crashes.values_mut() {
            if crashes.len() < REFUSAL_CRASHES {
                crashes.retain(|crash| !attributed.iter().any(|known| known.is_same_crash(*crash)));
            }
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
    }

    /// Evicts expired evidence, and all evidence once [`MAX_SUSPECTS`] is reached.
    fn evict_expired(&mut self, now: MonotonicTime) {
        self.crashes.retain(|_, crashes| is_recent(now, crashes));
        if self.crashes.len() >= MAX_SUSPECTS {
            self.crashes.clear();
        }
    }
}

fn is_recent(now: MonotonicTime, crashes: &[TargetCrash]) -> bool {
    crashes.last().is_some_and(|crash| now.since(crash.time) < EVIDENCE_TTL)
}
