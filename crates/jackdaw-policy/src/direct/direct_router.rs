//! State machine of a router that sends requests to targets itself.

mod placement_view;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jackdaw_base::{CrashEvidence, CustomerId, MonotonicTime, ProcessIncarnation, VmId};

use crate::crash_suspects::{CrashSuspects, SuspectStanding};
use crate::direct::customer_ledger::{CustomerLedger, ShareStatus};
use crate::direct::fleet_config::FleetConfig;
use crate::direct::load_table::LoadTable;
use crate::direct::mean_wait::MeanWait;
use crate::direct::peer_report::PeerReport;
use crate::direct::placement::{Placement, RefusalReason, choose_target};
use crate::direct::prefix_map::PrefixMap;
use crate::direct::prompt_shape::PromptShape;
use crate::direct::refusal_tracker::RefusalTracker;
use crate::direct::repeat_budget::RepeatBudget;
use crate::direct::route_table::RouteTable;
use crate::direct::target_health::{SendFailure, TargetHealth};
use crate::direct::target_speed::TargetSpeed;
use crate::direct::target_table::{
    REREGISTRATION_GRACE, StoreReachability, TargetEntry, TargetId, TargetTable,
};
use crate::direct::watch_election::{FleetVersions, StoreStatus, WatchElection};

/// Time within which broken connections and a refused one are of the same crash.
const CRASH_SPAN: Duration = Duration::from_millis(1500);

/// Time for which new evidence of crashes is told to the other routers.
const EVIDENCE_REPORT_SPAN: Duration = Duration::from_secs(2);

/// Time after which a request that crashes targets may be tried again.
const QUARANTINE_RETRY: Duration = Duration::from_secs(60);

/// Fixed parameters of a router's decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectPolicy {
    /// The router's failure domain.
    pub domain: String,
    /// The window in which customers' shares are kept.
    pub share_window: Duration,
    /// The window of the budget of repeats.
    pub repeat_window: Duration,
    /// The repeats that each request earns the fleet.
    pub repeat_ratio: f64,
    /// The repeats that the fleet has besides in each window.
    pub repeat_allowance: u32,
}

/// A request as the decisions see it.
#[derive(Debug, Clone)]
pub struct DirectRequest<'a> {
    /// The customer; `None` on routes without keys.
    pub customer: Option<CustomerId>,
    /// The steps by which the request ranks below the first.
    pub rank: u32,
    /// The service.
    pub service: &'a str,
    /// The prompt; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// The time that the caller still waits.
    pub time_left: Duration,
    /// The digest of customer and content.
    pub fingerprint: u64,
}

/// Identifies a run within one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The whole answer came.
    Whole,
    /// The target answered with a failure of its own.
    Failed,
    /// The target turned the request away without running it.
    Rejected,
    /// Another target answered at the address.
    Replaced,
    /// No connection was made.
    Unreachable,
    /// The connection broke before the whole answer was there.
    Broken,
    /// The caller left or the time was over.
    Abandoned,
}

/// An unfinished run.
#[derive(Debug, Clone)]
struct RunRecord {
    target: TargetId,
    fingerprint: u64,
    prefill_tokens: u64,
    memory_tokens: u64,
    /// The tokens to be read at the target when the run was sent, its own included.
    tokens_ahead: u64,
    is_plain: bool,
    sent: MonotonicTime,
    is_started: bool,
}

/// A run whose connection broke.
#[derive(Debug, Clone, Copy)]
struct BrokenRun {
    fingerprint: u64,
    target: TargetId,
    time: MonotonicTime,
}

/// State of one router.
#[derive(Debug)]
pub struct DirectRouter {
    policy: DirectPolicy,
    incarnation: ProcessIncarnation,
    table: Option<Rc<RouteTable>>,
    /// What is believed of the targets.
    pub targets: TargetTable,
    /// Whether this router watches the store.
    pub watch: WatchElection,
    loads: LoadTable,
    speeds: TargetSpeed,
    health: TargetHealth,
    prefixes: PrefixMap,
    ledger: CustomerLedger,
    budgets: HashMap<String, RepeatBudget>,
    mean_waits: HashMap<String, MeanWait>,
    suspects: CrashSuspects,
    evidence: Vec<(CrashEvidence, MonotonicTime)>,
    broken: Vec<BrokenRun>,
    returns: RefusalTracker,
    runs: HashMap<RunId, RunRecord>,
    next_run: u64,
    next_report: u64,
}

impl DirectRouter {
    /// Creates a router that knows nothing yet.
    pub fn new(
        now: MonotonicTime,
        policy: DirectPolicy,
        incarnation: ProcessIncarnation,
    ) -> DirectRouter {
        DirectRouter {
            ledger: CustomerLedger::new(policy.share_window),
            policy,
            incarnation,
            table: None,
            targets: TargetTable::new(now),
            watch: WatchElection::default(),
            loads: LoadTable::default(),
            speeds: TargetSpeed::default(),
            health: TargetHealth::default(),
            prefixes: PrefixMap::default(),
            budgets: HashMap::new(),
            mean_waits: HashMap::new(),
            suspects: CrashSuspects::default(),
            evidence: Vec::new(),
            broken: Vec::new(),
            returns: RefusalTracker::default(),
            runs: HashMap::new(),
            next_run: 0,
            next_report: 0,
        }
    }

    /// Returns the incarnation of this router.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation
    }

    /// Sets the fixed parameters anew; what was counted so far stays.
    pub fn set_policy(&mut self, policy: DirectPolicy) {
        self.ledger.set_window(policy.share_window);
        for budget in self.budgets.values_mut() {
            budget.set_limits(policy.repeat_window, policy.repeat_ratio, policy.repeat_allowance);
        }
        self.policy = policy;
    }

    /// Returns the configuration in force; `None` before the first is known.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the version of the configuration in force; zero before the first is known.
    pub fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.config().version)
    }

    /// Puts a configuration in force unless a newer one is; returns whether it did.
    pub fn install_config(&mut self, config: FleetConfig) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        self.table = Some(Rc::new(RouteTable::new(config)));
        true
    }

    /// Returns whether requests can be taken: a configuration and targets are known.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.targets.is_empty()
    }

    /// Returns the number of other routers that report.
    pub fn peer_count(&self) -> usize {
        self.loads.peer_count()
    }

    /// Returns the unfinished runs.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Notes what a customer asks for and what it has had; once for each request.
    pub fn record_arrival(&mut self, now: MonotonicTime, call: &DirectRequest<'_>) {
        if let (Some(customer), Some(prompt)) = (call.customer, call.prompt) {
            self.ledger.record_requested(now, customer, prompt.charged_tokens());
        }
        let policy = &self.policy;
        let budget = self.budgets.entry(call.service.to_owned()).or_insert_with(|| {
            RepeatBudget::new(policy.repeat_window, policy.repeat_ratio, policy.repeat_allowance)
        });
        budget.record_request(now);
    }

    /// Chooses a target for a request, other than those it was sent to before, or refuses it.
    pub fn place(
        &mut self,
        now: MonotonicTime,
        call: &DirectRequest<'_>,
        tried: &[TargetId],
    ) -> Placement {
        if self.suspects.standing(now, call.fingerprint) == SuspectStanding::Refused {
            let reason = RefusalReason::Quarantined;
            return Placement::Refuse { reason, retry_after: QUARANTINE_RETRY };
        }
        let targets = self.placement_targets(now, call, tried);
        let mean_wait = self.update_mean_wait(now, call.service, &targets);
        let request = self.placement_request(now, call, mean_wait);
        let placement = choose_target(&request, &targets);
        if let Placement::Refuse { retry_after, .. } = placement {
            self.returns.record_refusal(now, call.fingerprint, retry_after);
        }
        placement
    }

    /// Returns what a customer has had against its share.
    pub fn share_status(
        &mut self,
        now: MonotonicTime,
        customer: Option<CustomerId>,
    ) -> ShareStatus {
        let Some(customer) = customer else {
            return ShareStatus::UNCOUNTED;
        };
        let limits = self.table.as_ref().map(|table| &table.config().limits);
        let tokens_per_second = limits.map_or(0, |limits| limits.tokens_per_second);
        self.ledger.share_status(now, customer, tokens_per_second)
    }

    /// Takes one repeat from the budget of a service; returns whether there was one left.
    pub fn take_repeat(&mut self, now: MonotonicTime, service: &str) -> bool {
        let routers = self.loads.peer_count() + 1;
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.take_repeat(now, routers))
    }

    /// Notes that a request is sent to a target.
    pub fn start_run(
        &mut self,
        now: MonotonicTime,
        call: &DirectRequest<'_>,
        target: TargetId,
        prefill_tokens: u64,
    ) -> RunId {
        let memory_tokens = call.prompt.map_or(0, PromptShape::memory_tokens);
        let tokens_ahead = self.loads.load(target).queued_tokens + prefill_tokens;
        self.loads.add_queued(target, prefill_tokens, memory_tokens);
        self.health.record_send(now, target);
        if let Some(prompt) = call.prompt {
            self.prefixes.record_send(now, target, prompt);
            if let Some(customer) = call.customer {
                self.ledger.record_started(now, customer, prompt.charged_tokens());
            }
        }
        let run = RunId(self.next_run);
        self.next_run += 1;
        let record = RunRecord {
            target,
            fingerprint: call.fingerprint,
            prefill_tokens,
            memory_tokens,
            tokens_ahead,
            is_plain: call.prompt.is_none(),
            sent: now,
            is_started: false,
        };
        self.runs.insert(run, record);
        run
    }

    /// Notes the first bytes of a run's answer, or the first event of its stream.
    pub fn record_response(&mut self, now: MonotonicTime, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        self.health.record_response(now, record.target);
        if record.is_started {
            return;
        }
        record.is_started = true;
        self.loads.start_running(record.target, record.prefill_tokens);
        self.health.end_wait(now, record.target);
        let elapsed = now.since(record.sent);
        match record.is_plain {
            true => self.speeds.record_service_time(record.target, elapsed),
            false => self.speeds.record_first_event(record.target, record.tokens_ahead, elapsed),
        }
    }

    /// Notes the end of a run; returns whether the target is left out for a while.
    pub fn end_run(&mut self, now: MonotonicTime, run: RunId, end: RunOutcome) -> bool {
        let Some(record) = self.runs.remove(&run) else {
            return false;
        };
        if record.is_started {
            self.loads.end_running(record.target, record.memory_tokens);
        } else {
            self.loads.end_queued(record.target, record.prefill_tokens, record.memory_tokens);
            self.health.end_wait(now, record.target);
        }
        let target = record.target;
        match end {
            RunOutcome::Abandoned => false,
            RunOutcome::Whole => {
                self.health.record_success(now, target);
                self.clear_suspect(now, record.fingerprint);
                false
            }
            RunOutcome::Failed => self.health.record_failure(now, target, SendFailure::Failed),
            RunOutcome::Rejected => self.health.record_failure(now, target, SendFailure::Full),
            RunOutcome::Replaced => self.health.record_failure(now, target, SendFailure::Replaced),
            RunOutcome::Unreachable => {
                self.record_crash(now, target);
                self.health.record_failure(now, target, SendFailure::Unreachable)
            }
            RunOutcome::Broken => {
                let fingerprint = record.fingerprint;
                self.broken.push(BrokenRun { fingerprint, target, time: now });
                self.health.record_failure(now, target, SendFailure::Broken)
            }
        }
    }

    /// Returns the report for the other routers.
    pub fn report(&mut self, now: MonotonicTime) -> PeerReport {
        self.next_report += 1;
        self.evidence.retain(|(_, time)| now.since(*time) < EVIDENCE_REPORT_SPAN);
        PeerReport {
            incarnation: self.incarnation,
            sequence: self.next_report,
            versions: self.versions(),
            domain: self.policy.domain.clone(),
            store_status: self.store_status(now),
            targets: self.loads.own_usage(),
            customers: self.ledger.own_usage(now),
            crashes: self.evidence.iter().map(|(evidence, _)| *evidence).collect(),
            refused: self.returns.recent(now),
        }
    }

    /// Returns how new configuration and targets are.
    pub fn versions(&self) -> FleetVersions {
        FleetVersions {
            config: self.config_version(),
            targets_revision: self.targets.change_revision(),
            targets_digest: self.targets.digest(),
        }
    }

    /// Returns what this router has of the store.
    pub fn store_status(&self, now: MonotonicTime) -> StoreStatus {
        if self.watch.is_store_unreachable(now) {
            return StoreStatus::Unreachable;
        }
        match self.targets.reachability() {
            StoreReachability::Unreachable(_) => StoreStatus::NotWatching,
            StoreReachability::Reachable(since) if now.since(since) < REREGISTRATION_GRACE => {
                StoreStatus::Recovering
            }
            StoreReachability::Reachable(_) => StoreStatus::Stable,
        }
    }

    /// Takes in another router's report; returns whether it is newer than the last.
    pub fn apply_report(&mut self, now: MonotonicTime, report: &PeerReport) -> bool {
        let PeerReport { incarnation, sequence, .. } = *report;
        if incarnation == self.incarnation {
            return false;
        }
        if !self.loads.apply_report(now, incarnation, sequence, &report.targets) {
            return false;
        }
        self.ledger.apply_report(incarnation, &report.customers);
        self.returns.apply_report(now, &report.refused);
        for evidence in &report.crashes {
            self.suspects.learn(now, *evidence);
        }
        true
    }

    /// Drops what is too old to count; returns the names of targets that are taken as gone.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<String> {
        for incarnation in self.loads.expire(now) {
            self.ledger.remove_peer(incarnation);
        }
        self.broken.retain(|run| now.since(run.time) < CRASH_SPAN);
        let gone = self.targets.expire(now);
        if !gone.is_empty() {
            self.forget_removed_targets();
        }
        gone
    }

    /// Drops what is known of targets that are not registered any more.
    pub fn forget_removed_targets(&mut self) {
        let known: Vec<TargetId> = self.targets.entries().map(TargetEntry::id).collect();
        self.speeds.retain(|target| known.contains(&target));
        self.health.retain(|target| known.contains(&target));
        self.prefixes.retain(|target| known.contains(&target));
    }

    /// Takes the runs that broke at a target as evidence once it refuses connections.
    fn record_crash(&mut self, now: MonotonicTime, target: TargetId) {
        let broken = self.broken.extract_if(.., |run| run.target == target);
        for run in broken.collect::<Vec<_>>() {
            let evidence =
                CrashEvidence { fingerprint: run.fingerprint, target: Some(VmId(target.0)) };
            if self.suspects.learn(now, evidence) {
                self.evidence.push((evidence, now));
            }
        }
    }

    /// Takes back evidence against a request that has run whole.
    fn clear_suspect(&mut self, now: MonotonicTime, fingerprint: u64) {
        if self.suspects.standing(now, fingerprint) != SuspectStanding::Suspect {
            return;
        }
        let evidence = CrashEvidence { fingerprint, target: None };
        self.suspects.learn(now, evidence);
        self.evidence.push((evidence, now));
    }
}
