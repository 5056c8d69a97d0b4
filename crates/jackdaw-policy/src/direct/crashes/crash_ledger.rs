//! Crash evidence: determines which property of the requests crashes targets.
//!
//! A crash breaks all runs of a target, but a single request caused it, by its content or by one of
//! its shared prompt parts. Each possible cause of each broken run gets a finding. Two rules tell
//! the causes apart. A request that was sent although a finding was known, and that breaks at the
//! crash of another target, makes the finding more severe; one whose response is complete clears it.
//! Parts of prompts are also cleared by a response that outlasts [`EARLY_EVENTS`], since a part acts
//! on the beginning of the answers that follow it. A request may crash its target at any moment.
//! Targets that fail at the same time for another reason therefore count as one crash, and a part
//! that other requests use without a crash is cleared by them.
//!
//! Findings are only added, made more severe or cleared, so routers can merge them in any order and
//! any number of times, whatever their clocks say.

mod crash_cause;
mod stored_findings;

use std::time::Duration;

use jackdaw_base::{MonotonicTime, plain_data};
use rustc_hash::{FxHashMap, FxHashSet};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::direct::crashes::crash_ledger::crash_cause::CrashCause;
use crate::direct::target_id::TargetId;

/// Severity from which requests with a cause are refused.
const REFUSAL_SEVERITY: u8 = 4;

/// Severity that a crash adds for the most suspicious runs. For a request, these are runs without a
/// response or with its beginning only; for a part, which many requests share, those whose response had
/// begun, but had no event yet.
const HIGH_SEVERITY: u8 = 2;

/// Severity that a crash adds for other runs.
const LOW_SEVERITY: u8 = 1;

/// Number of times that events of a response arrive while it counts as beginning. With the 79 ms between
/// tokens of the fleet's target that takes 0.6 s, as long as a first token may take.
pub const EARLY_EVENTS: u32 = 8;

/// Time after the last crash before a refused cause is probed with a single request. It doubles with
/// each step of severity above [`REFUSAL_SEVERITY`].
const PROBE_DELAY: Duration = Duration::from_secs(60);

/// Longest time between two probes of a refused cause.
const LONGEST_PROBE_DELAY: Duration = Duration::from_secs(3600);

/// Time between two requests with a cause whose crashes another cause explains.
const DISCRIMINATION_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a new or changed finding is passed on: several report periods of a large fleet.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Time after which findings that lead to no refusal are dropped.
const FINDING_TTL: Duration = Duration::from_secs(600);

/// Time after which a refused cause is forgotten if it is neither probed nor crashes a target.
const REFUSAL_TTL: Duration = Duration::from_secs(7200);

/// Maximum number of causes; further ones displace those without refusal, oldest first.
const MAX_CAUSES: usize = 4096;

/// Maximum number of findings per cause; cleared ones are displaced first.
const MAX_FINDINGS: usize = 8;

/// Maximum number of findings in a report.
const REPORT_LIMIT: usize = 64;

plain_data! {
    copy
    /// Suspicion that a cause crashed a target.
    pub struct CrashFinding {
        /// The suspected cause.
        pub cause: CrashCause,
        /// Target that crashed.
        pub target: TargetId,
        /// Length of the chain of crashes that ends with this one, weighted by the state of the runs.
        pub severity: u8,
        /// Whether a later request with the cause was answered.
        pub is_cleared: bool,
    }
}

impl CrashFinding {
    /// Returns a number that orders findings differently in each report.
    fn draw(&self, report: u64) -> u64 {
        let (CrashCause::Request(key) | CrashCause::Part(key)) = self.cause;
        let mut bytes = [0; 24];
        for (chunk, number) in bytes.chunks_exact_mut(8).zip([key, self.target.0, report]) {
            chunk.copy_from_slice(&number.to_le_bytes());
        }
        xxh3_64(&bytes)
    }
}

/// Causes that a request may have.
pub type RequestCauses = SmallVec<[CrashCause; 4]>;

/// How far a run got before its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunPhase {
    /// There is no response.
    Waiting,
    /// The response has begun, but its first event is not complete.
    Begun,
    /// Events arrived up to [`EARLY_EVENTS`] times.
    Answering,
    /// The response went on after its beginning.
    Proceeding,
}

/// State of a ledger at one moment; orders findings and runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct LedgerPosition(u64);

/// A run that broke when its target crashed.
#[derive(Debug, Clone)]
pub struct SuspectRun {
    /// Possible causes of a crash by the run's request.
    pub causes: RequestCauses,
    /// Position of the ledger when the run was sent.
    pub position: LedgerPosition,
    /// How far the run got.
    pub phase: RunPhase,
}

/// Whether a request may be sent, given the findings against its causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No cause of the request is refused.
    Clear,
    /// The request may be sent if no other one with the same refused causes is in progress.
    Probe,
    /// The request must not be sent before this time has passed.
    Refused(Duration),
}

/// Change of a cause's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CauseChange {
    /// Requests with the cause are refused from now on.
    Refused,
    /// Requests with the cause are no longer refused.
    Readmitted,
}

/// Findings known to a router, by cause.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    causes: FxHashMap<CrashCause, CauseRecord>,
    position: LedgerPosition,
    report_count: u64,
}

#[derive(Debug, Clone, Default)]
struct CauseRecord {
    findings: SmallVec<[KnownFinding; 2]>,
    /// When a request with the cause was last sent although it was refused.
    probed: Option<MonotonicTime>,
}

#[derive(Debug, Clone, Copy)]
struct KnownFinding {
    target: TargetId,
    severity: u8,
    is_cleared: bool,
    /// Position after which runs were sent in knowledge of the finding.
    position: LedgerPosition,
    /// When this router learned of the finding or of its last change.
    changed: MonotonicTime,
    /// Number of own reports with the finding since then.
    reports: u32,
}

impl CrashLedger {
    /// Returns the current position; findings recorded later come after it.
    pub fn position(&self) -> LedgerPosition {
        self.position
    }

    /// Returns the number of causes with findings.
    pub fn len(&self) -> usize {
        self.causes.len()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Returns the number of refused causes.
    pub fn refused_count(&self) -> usize {
        self.causes.values().filter(|record| record.is_refused()).count()
    }

    /// Records the crash of a target with the runs that broke there; returns the causes whose
    /// standing changed.
    pub fn record_crash(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        runs: &[SuspectRun],
    ) -> Vec<(CrashCause, CauseChange)> {
        // A part that a response outlasted on this target did not end it.
        let proceeding = runs.iter().filter(|run| run.phase == RunPhase::Proceeding);
        let outlasted: FxHashSet<CrashCause> = proceeding
            .flat_map(|run| &run.causes)
            .filter(|cause| cause.is_part())
            .copied()
            .collect();
        let findings = runs.iter().flat_map(|run| {
            let causes = run.causes.iter().filter(|cause| !outlasted.contains(cause));
            causes.map(|cause| CrashFinding {
                cause: *cause,
                target,
                severity: self.severity_before(*cause, run.position) + added_severity(*cause, run),
                is_cleared: false,
            })
        });
        // Collected first, since a crash must not count as known to the runs that it broke.
        let findings: Vec<CrashFinding> = findings.collect();
        findings.iter().filter_map(|finding| self.merge(now, finding)).collect()
    }

    /// Merges a finding of another router; returns the change of the cause's standing, if any.
    pub fn merge(
        &mut self,
        now: MonotonicTime,
        finding: &CrashFinding,
    ) -> Option<(CrashCause, CauseChange)> {
        if !self.causes.contains_key(&finding.cause) {
            self.make_room();
        }
        self.position.0 += 1;
        let record = self.causes.entry(finding.cause).or_default();
        let was_refused = record.is_refused();
        record.merge(now, self.position, finding);
        record.change_since(was_refused).map(|change| (finding.cause, change))
    }

    /// Clears the findings on causes that a response refutes and that were known when its run was sent;
    /// returns the causes whose standing changed.
    pub fn clear(
        &mut self,
        now: MonotonicTime,
        causes: &[CrashCause],
        position: LedgerPosition,
    ) -> Vec<(CrashCause, CauseChange)> {
        let mut changes = Vec::new();
        for cause in causes {
            let Some(record) = self.causes.get_mut(cause) else {
                continue;
            };
            let was_refused = record.is_refused();
            for finding in &mut record.findings {
                if finding.position <= position && !finding.is_cleared {
                    finding.is_cleared = true;
                    (finding.changed, finding.reports) = (now, 0);
                }
            }
            changes.extend(record.change_since(was_refused).map(|change| (*cause, change)));
        }
        changes
    }

    /// Returns whether a request with these causes may be sent. `is_prober` tells whether this router
    /// is the one that probes a cause for the fleet.
    pub fn verdict(
        &self,
        now: MonotonicTime,
        causes: &[CrashCause],
        is_prober: impl Fn(CrashCause) -> bool,
    ) -> CrashVerdict {
        let mut verdict = CrashVerdict::Clear;
        for (cause, record) in self.refused(causes) {
            let wait = match self.is_explained(record, causes) {
                true => record.discrimination_wait(now),
                false => record.probe_wait(now),
            };
            let is_due = wait.is_zero();
            if !is_due || !(self.is_explained(record, causes) || is_prober(cause)) {
                // A caller that comes back reaches another router, maybe the one that probes.
                return CrashVerdict::Refused(wait.max(DISCRIMINATION_INTERVAL));
            }
            verdict = CrashVerdict::Probe;
        }
        verdict
    }

    /// Returns whether two requests have a refused cause in common.
    pub fn share_refused(&self, causes: &[CrashCause], others: &[CrashCause]) -> bool {
        self.refused(causes).any(|(cause, _)| others.contains(&cause))
    }

    /// Records that a request with these causes is sent to a target.
    pub fn record_send(&mut self, now: MonotonicTime, causes: &[CrashCause]) {
        if self.is_empty() {
            return;
        }
        for cause in causes {
            if let Some(record) = self.causes.get_mut(cause).filter(|record| record.is_refused()) {
                record.probed = Some(now);
            }
        }
    }

    /// Returns the findings to pass on: those behind a refusal, and recent ones. If there are more than
    /// fit in a report, it contains those of both kinds that were reported least often.
    pub fn report(&mut self, now: MonotonicTime) -> Vec<CrashFinding> {
        self.report_count += 1;
        let (mut binding, mut recent) = (Vec::new(), Vec::new());
        for (cause, record) in &self.causes {
            let is_refused = record.is_refused();
            for known in &record.findings {
                let finding = known.to_finding(*cause);
                // Consecutive reports may have different receivers, so the order must not repeat.
                let order = (known.reports, finding.draw(self.report_count));
                if is_refused && !known.is_cleared {
                    binding.push((order, finding));
                } else if now.since(known.changed) < REPORT_TIME {
                    recent.push((order, finding));
                }
            }
        }
        binding.sort_unstable();
        recent.sort_unstable();
        let binding_share = REPORT_LIMIT - recent.len().min(REPORT_LIMIT / 2);
        binding.truncate(binding_share);
        recent.truncate(REPORT_LIMIT - binding.len());
        let chosen = binding.into_iter().chain(recent).map(|(_, finding)| finding);
        let reported: Vec<CrashFinding> = chosen.collect();
        for finding in &reported {
            if let Some(record) = self.causes.get_mut(&finding.cause)
                && let Some(known) = record.find_mut(finding.target)
            {
                known.reports += 1;
            }
        }
        reported
    }

    /// Drops findings that are no longer needed.
    pub fn expire(&mut self, now: MonotonicTime) {
        self.causes.retain(|_, record| {
            let ttl = if record.is_refused() { REFUSAL_TTL } else { FINDING_TTL };
            now.since(record.last_change()) < ttl
        });
    }

    fn refused(&self, causes: &[CrashCause]) -> impl Iterator<Item = (CrashCause, &CauseRecord)> {
        let known = causes.iter().filter_map(|cause| Some((*cause, self.causes.get(cause)?)));
        known.filter(|(_, record)| record.is_refused())
    }

    /// Returns whether a refused cause that the request does not have explains all crashes of
    /// `record`, so that only a request without it can show which of them is at fault.
    fn is_explained(&self, record: &CauseRecord, causes: &[CrashCause]) -> bool {
        let others = self.causes.iter().filter(|(other, _)| !causes.contains(other));
        let mut refused = others.map(|(_, other)| other).filter(|other| other.is_refused());
        refused.any(|other| record.crashes().all(|crash| other.crashes().any(|it| it == crash)))
    }

    /// Returns the highest severity of a cause as known at a position.
    fn severity_before(&self, cause: CrashCause, position: LedgerPosition) -> u8 {
        let findings = self.causes.get(&cause).map_or(&[][..], |record| &record.findings);
        let known = findings.iter().filter(|known| !known.is_cleared && known.position <= position);
        // The bound leaves room for what one more crash adds.
        known.map(|known| known.severity).max().unwrap_or(0).min(u8::MAX - HIGH_SEVERITY)
    }

    fn make_room(&mut self) {
        if self.causes.len() < MAX_CAUSES {
            return;
        }
        let order = |record: &CauseRecord| (record.is_refused(), record.last_change());
        let least = self.causes.iter().min_by_key(|(cause, record)| (order(record), **cause));
        if let Some(cause) = least.map(|(cause, _)| *cause) {
            self.causes.remove(&cause);
        }
    }
}

impl KnownFinding {
    fn to_finding(self, cause: CrashCause) -> CrashFinding {
        let KnownFinding { target, severity, is_cleared, .. } = self;
        CrashFinding { cause, target, severity, is_cleared }
    }
}

impl CauseRecord {
    fn is_refused(&self) -> bool {
        self.severity() >= REFUSAL_SEVERITY
    }

    fn severity(&self) -> u8 {
        let findings = self.findings.iter().filter(|known| !known.is_cleared);
        findings.map(|known| known.severity).max().unwrap_or(0)
    }

    /// Returns the targets whose crashes are held against the cause.
    fn crashes(&self) -> impl Iterator<Item = TargetId> {
        self.findings.iter().filter(|known| !known.is_cleared).map(|known| known.target)
    }

    fn last_change(&self) -> MonotonicTime {
        self.findings.iter().map(|known| known.changed).max().unwrap_or_default()
    }

    fn change_since(&self, was_refused: bool) -> Option<CauseChange> {
        match (was_refused, self.is_refused()) {
            (false, true) => Some(CauseChange::Refused),
            (true, false) => Some(CauseChange::Readmitted),
            _ => None,
        }
    }

    /// Returns the time until a single request may show whether the cause still crashes targets.
    fn probe_wait(&self, now: MonotonicTime) -> Duration {
        let steps = u32::from(self.severity().saturating_sub(REFUSAL_SEVERITY));
        let delay = PROBE_DELAY.saturating_mul(1 << steps.min(16)).min(LONGEST_PROBE_DELAY);
        let last = self.probed.map_or(self.last_change(), |probed| probed.max(self.last_change()));
        delay.saturating_sub(now.since(last))
    }

    /// Returns the time until the next request that distinguishes the cause from another one.
    fn discrimination_wait(&self, now: MonotonicTime) -> Duration {
        self.probed.map_or(Duration::ZERO, |probed| {
            DISCRIMINATION_INTERVAL.saturating_sub(now.since(probed))
        })
    }

    fn find_mut(&mut self, target: TargetId) -> Option<&mut KnownFinding> {
        self.findings.iter_mut().find(|known| known.target == target)
    }

    fn merge(&mut self, now: MonotonicTime, position: LedgerPosition, finding: &CrashFinding) {
        let CrashFinding { target, severity, is_cleared, .. } = *finding;
        let Some(known) = self.find_mut(target) else {
            let changed = now;
            let new = KnownFinding { target, severity, is_cleared, position, changed, reports: 0 };
            self.findings.push(new);
            self.limit_findings();
            return;
        };
        let is_news = severity > known.severity || (is_cleared && !known.is_cleared);
        // A router that still reports what was cleared long ago has missed that.
        let is_outdated = known.is_cleared && !is_cleared;
        if is_news || (is_outdated && now.since(known.changed) >= REPORT_TIME) {
            (known.changed, known.reports) = (now, 0);
        }
        known.severity = known.severity.max(severity);
        known.is_cleared |= is_cleared;
    }

    fn limit_findings(&mut self) {
        if self.findings.len() <= MAX_FINDINGS {
            return;
        }
        let order = |known: &KnownFinding| (!known.is_cleared, known.severity, known.changed);
        let findings = self.findings.iter().enumerate();
        if let Some((least, _)) = findings.min_by_key(|(_, known)| order(known)) {
            self.findings.remove(least);
        }
    }
}

/// Returns the severity that a crash adds for one cause of a run that it broke.
fn added_severity(cause: CrashCause, run: &SuspectRun) -> u8 {
    match (cause, run.phase) {
        // A long stream may be in progress at several crashes by chance.
        (CrashCause::Request(_), RunPhase::Proceeding) => LOW_SEVERITY,
        // Unlike a part, the same request hardly ever begins at two crashes by chance.
        (CrashCause::Request(_), _) | (CrashCause::Part(_), RunPhase::Begun) => HIGH_SEVERITY,
        (CrashCause::Part(_), _) => LOW_SEVERITY,
    }
}
