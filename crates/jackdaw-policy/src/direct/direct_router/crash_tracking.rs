//! Crashes of targets, and requests that are refused because they may cause them.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};

use crate::direct::crashes::crash_ledger::{
    CauseChange, CrashCause, CrashFinding, CrashVerdict, EARLY_EVENTS, LedgerPosition,
    RequestCauses, RunPhase, SuspectRun,
};
use crate::direct::direct_router::{DirectRouter, RunId, RunRecord};
use crate::direct::target_id::TargetId;
use crate::direct::targets::target_health::SendFailure;
use crate::rendezvous::rendezvous_weight;

/// Time within which broken connections and a later refused one are attributed to the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1500);

/// Retry delay of a request while another one with the same refused cause is in progress.
const PROBE_RETRY: Duration = Duration::from_secs(1);

/// Change of what the router knows about crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashNotice {
    /// A target crashed.
    Crashed {
        /// Target that crashed.
        target: TargetId,
        /// Number of own runs that broke there and whose requests may have caused the crash.
        suspects: usize,
        /// Digests of these requests.
        requests: Vec<u64>,
        /// Prompt parts of these requests.
        parts: Vec<u64>,
    },
    /// The standing of a cause changed.
    Changed {
        /// The cause.
        cause: CrashCause,
        /// Its new standing.
        change: CauseChange,
        /// What the change follows from.
        source: FindingSource,
    },
}

/// Where a router learned of a finding, or of its clearance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSource {
    /// Own runs broke at a crash.
    OwnCrash,
    /// The response to an own run was complete, or outlasted the beginning on which parts act.
    OwnAnswer,
    /// The report of another router.
    Report,
    /// The platform's store.
    Store,
}

/// A run whose connection broke, kept as possible evidence of a crash.
#[derive(Debug, Clone)]
pub(super) struct BrokenRun {
    target: TargetId,
    time: MonotonicTime,
    run: SuspectRun,
}

impl BrokenRun {
    /// Returns the run as possible evidence. Nobody knows how far a response gets before its request
    /// crashes the target, so runs count however far they got.
    pub(super) fn new(time: MonotonicTime, record: RunRecord) -> BrokenRun {
        let RunRecord { target, causes, position, phase, .. } = record;
        BrokenRun { target, time, run: SuspectRun { causes, position, phase } }
    }
}

impl DirectRouter {
    /// Records that the response to a run has begun.
    pub fn record_head(&mut self, run: RunId) {
        if let Some(record) = self.runs.get_mut(&run) {
            record.phase = record.phase.max(RunPhase::Begun);
        }
    }

    /// Records that one or more events of a run's response are complete.
    pub fn record_events(&mut self, now: MonotonicTime, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        if record.phase == RunPhase::Proceeding {
            return;
        }
        record.events += 1;
        if record.events <= EARLY_EVENTS {
            record.phase = RunPhase::Answering;
            return;
        }
        record.phase = RunPhase::Proceeding;
        // The rest of the response may still crash the target, which its parts have not.
        let parts = record.causes.iter().filter(|cause| cause.is_part());
        let (parts, position) = (parts.copied().collect::<RequestCauses>(), record.position);
        self.clear_causes(now, &parts, position);
    }

    /// Records that a target cannot be reached, which excludes it for a while. If own runs broke there
    /// shortly before, it crashed.
    pub fn record_unreachable(&mut self, now: MonotonicTime, target: TargetId) {
        self.health.record_failure(now, target, SendFailure::Unreachable);
        let broken = self.broken.extract_if(.., |broken| broken.target == target);
        let runs: Vec<SuspectRun> = broken.map(|broken| broken.run).collect();
        if runs.is_empty() {
            return;
        }
        let (mut requests, mut parts) = (Vec::new(), Vec::new());
        for cause in runs.iter().flat_map(|run| &run.causes) {
            match cause {
                CrashCause::Request(digest) => requests.push(*digest),
                CrashCause::Part(id) => parts.push(*id),
            }
        }
        for list in [&mut requests, &mut parts] {
            list.sort_unstable();
            list.dedup();
        }
        self.notices.push(CrashNotice::Crashed { target, suspects: runs.len(), requests, parts });
        let changes = self.crashes.record_crash(now, target, &runs);
        self.note_changes(FindingSource::OwnCrash, changes);
    }

    /// Returns the findings on crashes for the other routers.
    pub fn crash_findings(&mut self, now: MonotonicTime) -> Vec<CrashFinding> {
        self.crashes.report(now)
    }

    /// Merges findings that this router did not make itself.
    pub fn apply_crash_findings(
        &mut self,
        now: MonotonicTime,
        findings: &[CrashFinding],
        source: FindingSource,
    ) {
        let changes = findings.iter().filter_map(|finding| self.crashes.merge(now, finding));
        let changes: Vec<_> = changes.collect();
        self.note_changes(source, changes);
    }

    /// Returns the findings that the store is to hold in place of `stored`, which this router has merged;
    /// `None` if it need not change.
    pub fn plan_stored_findings(
        &self,
        now: MonotonicTime,
        stored: &[CrashFinding],
    ) -> Option<Vec<CrashFinding>> {
        self.crashes.plan_stored(now, stored)
    }

    /// Returns the number of causes whose requests are refused.
    pub fn refused_cause_count(&self) -> usize {
        self.crashes.refused_count()
    }

    /// Returns what has become known about crashes since the last call.
    pub fn take_crash_notices(&mut self) -> Vec<CrashNotice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the retry delay of a request that must not be sent because it may crash its target.
    pub(super) fn quarantine_delay(
        &self,
        now: MonotonicTime,
        causes: &[CrashCause],
    ) -> Option<Duration> {
        match self.crashes.verdict(now, causes, |cause| self.is_prober(cause)) {
            CrashVerdict::Clear => None,
            CrashVerdict::Refused(delay) => Some(delay),
            CrashVerdict::Probe => {
                let mut runs = self.runs.values();
                let is_probing = runs.any(|run| self.crashes.share_refused(causes, &run.causes));
                is_probing.then_some(PROBE_RETRY)
            }
        }
    }

    /// Clears what was held against causes that the response to a run refutes.
    pub(super) fn clear_causes(
        &mut self,
        now: MonotonicTime,
        causes: &[CrashCause],
        position: LedgerPosition,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        let changes = self.crashes.clear(now, causes, position);
        self.note_changes(FindingSource::OwnAnswer, changes);
    }

    pub(super) fn expire_crashes(&mut self, now: MonotonicTime) {
        self.broken.retain(|broken| now.since(broken.time) < CRASH_WINDOW);
        self.crashes.expire(now);
    }

    /// Returns whether this router probes a cause for the fleet: all routers that know the same
    /// others agree on one.
    fn is_prober(&self, cause: CrashCause) -> bool {
        let (CrashCause::Request(key) | CrashCause::Part(key)) = cause;
        let own = rendezvous_weight(key, VmId(self.incarnation.0));
        let mut others = self.loads.peers();
        others.all(|peer| rendezvous_weight(key, VmId(peer.0)) < own)
    }

    fn note_changes(&mut self, source: FindingSource, changes: Vec<(CrashCause, CauseChange)>) {
        let changes = changes.into_iter();
        let notices = changes.map(|(cause, change)| CrashNotice::Changed { cause, change, source });
        self.notices.extend(notices);
    }
}
