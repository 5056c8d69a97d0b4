//! State machine of a router that sends requests directly to targets.

mod cold_tracking;
mod crash_tracking;
mod direct_policy;
mod placement_view;
mod report_exchange;
mod stream_tracking;
mod target_ranking;
mod version_tracking;

pub use cold_tracking::{ColdNotice, ColdTolerance};
use crash_tracking::BrokenRun;
pub use crash_tracking::{CrashNotice, FindingSource};
pub use direct_policy::DirectPolicy;
pub use version_tracking::{KnownRecord, RecordAge};

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation};
use rustc_hash::FxHashSet;

use crate::direct::crashes::crash_ledger::{
    CrashCause, CrashLedger, LedgerPosition, RequestCauses, RunPhase,
};
use crate::direct::customers::customer_ledger::{CustomerLedger, ShareStatus};
use crate::direct::customers::refusal_tracker::RefusalTracker;
use crate::direct::fleet::fleet_retry_budget::FleetRetryBudget;
use crate::direct::fleet::fleet_roster::FleetRoster;
use crate::direct::fleet::fleet_size::FleetSize;
use crate::direct::fleet::watch_election::WatchElection;
use crate::direct::fleet_config::FleetConfig;
use crate::direct::home_rule::HomeRule;
use crate::direct::placement::{Placement, RefusalReason};
use crate::direct::prompt_shape::PromptShape;
use crate::direct::route_table::RouteTable;
use crate::direct::streams::stream_monitor::StreamMonitor;
use crate::direct::streams::stream_table::StreamTable;
use crate::direct::target_id::TargetId;
use crate::direct::targets::cold_shares::ColdShares;
use crate::direct::targets::load_table::LoadTable;
use crate::direct::targets::mean_wait::MeanWait;
use crate::direct::targets::prefill_window::PrefillWindow;
use crate::direct::targets::prefix_map::PrefixMap;
use crate::direct::targets::software_version::VersionRule;
use crate::direct::targets::target_health::{SendFailure, TargetHealth};
use crate::direct::targets::target_limits::{LimitStatement, TargetLimits};
use crate::direct::targets::target_speed::TargetSpeed;
use crate::direct::targets::target_table::TargetTable;
use crate::direct::targets::version_gate::VersionGate;
use crate::direct::targets::version_history::VersionHistory;

/// The properties of a request that routing decisions depend on.
#[derive(Debug, Clone)]
pub struct DirectRequest<'a> {
    /// Customer that sent the request; `None` on routes that need no key.
    pub customer: Option<CustomerId>,
    /// Priority steps below the highest priority; zero is the highest.
    pub rank: u32,
    /// Name of the service that the route selected.
    pub service: &'a str,
    /// Prompt of the request; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// Regions in which the targets must be.
    pub homes: HomeRule<'a>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Digest of customer and content.
    pub fingerprint: u64,
    /// Software versions whose targets may serve the request.
    pub version_rule: VersionRule,
}

impl DirectRequest<'_> {
    /// Returns the properties of the request that may crash targets: its content, and each prompt
    /// part that it shares with others.
    fn causes(&self) -> RequestCauses {
        let shared = self.prompt.map_or(&[][..], PromptShape::shared_parts);
        let parts = shared.iter().map(|part| CrashCause::Part(part.id));
        std::iter::once(CrashCause::Request(self.fingerprint)).chain(parts).collect()
    }
}

/// Identifies a run, one attempt to execute a request on a target, within one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId(u64);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The response was received completely.
    Whole,
    /// The target responded with an error of its own.
    Failed,
    /// The target rejected the request without executing it.
    Rejected,
    /// The target turned the request away and asked for a pause of this length.
    Paused(Duration),
    /// A different target responded at the address.
    Replaced,
    /// No connection could be established.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// The caller disconnected or the deadline passed.
    Abandoned,
}

/// A run in progress.
#[derive(Debug, Clone)]
struct RunRecord {
    target: TargetId,
    /// Properties of the request that may crash the target.
    causes: RequestCauses,
    /// Position of the crash ledger when the run was sent.
    position: LedgerPosition,
    phase: RunPhase,
    /// Number of times that complete events arrived, while that determines the phase.
    events: u32,
    prefill_tokens: u64,
    memory_tokens: u64,
    /// Tokens queued for prefill at the target when the run was sent, including its own.
    tokens_ahead: u64,
    is_plain: bool,
    sent_at: MonotonicTime,
    is_started: bool,
}

/// Routing state and decisions of one router.
#[derive(Debug)]
pub struct DirectRouter {
    policy: DirectPolicy,
    incarnation: ProcessIncarnation,
    table: Option<Rc<RouteTable>>,
    /// Targets known from the store and from other routers.
    pub targets: TargetTable,
    /// Decides whether this router watches the store.
    pub watch: WatchElection,
    loads: LoadTable,
    speeds: TargetSpeed,
    health: TargetHealth,
    limits: TargetLimits,
    prefixes: PrefixMap,
    ledger: CustomerLedger,
    budgets: HashMap<String, FleetRetryBudget>,
    fleet_size: FleetSize,
    roster: FleetRoster,
    cold_shares: ColdShares,
    /// Targets that counted as cold when that was last reviewed.
    noted_cold: FxHashSet<TargetId>,
    mean_waits: HashMap<String, MeanWait>,
    prefills: PrefillWindow,
    stream_monitors: HashMap<String, StreamMonitor>,
    streams: StreamTable,
    versions: VersionHistory,
    /// What the store names as versions that may have streams.
    recorded: KnownRecord,
    gate: VersionGate,
    crashes: CrashLedger,
    broken: Vec<BrokenRun>,
    notices: Vec<CrashNotice>,
    refusals: RefusalTracker,
    runs: HashMap<RunId, RunRecord>,
    next_run: u64,
    next_report: u64,
}

impl DirectRouter {
    /// Creates a router without a configuration and without targets.
    pub fn new(policy: DirectPolicy, incarnation: ProcessIncarnation) -> DirectRouter {
        DirectRouter {
            ledger: CustomerLedger::new(policy.share_window),
            roster: FleetRoster::new(policy.vm, policy.expects_others),
            policy,
            incarnation,
            table: None,
            targets: TargetTable::default(),
            watch: WatchElection::default(),
            loads: LoadTable::default(),
            speeds: TargetSpeed::default(),
            health: TargetHealth::default(),
            limits: TargetLimits::default(),
            prefixes: PrefixMap::default(),
            budgets: HashMap::new(),
            fleet_size: FleetSize::default(),
            cold_shares: ColdShares::default(),
            noted_cold: FxHashSet::default(),
            mean_waits: HashMap::new(),
            prefills: PrefillWindow::default(),
            stream_monitors: HashMap::new(),
            streams: StreamTable::default(),
            versions: VersionHistory::default(),
            recorded: KnownRecord::default(),
            gate: VersionGate::default(),
            crashes: CrashLedger::default(),
            broken: Vec::new(),
            notices: Vec::new(),
            refusals: RefusalTracker::default(),
            runs: HashMap::new(),
            next_run: 0,
            next_report: 0,
        }
    }

    /// Returns the incarnation under which this router reports.
    pub fn incarnation(&self) -> ProcessIncarnation {
        self.incarnation
    }

    /// Changes the parameters; counts recorded so far are kept.
    pub fn set_policy(&mut self, policy: DirectPolicy) {
        self.ledger.set_window(policy.share_window);
        for budget in self.budgets.values_mut() {
            budget.set_limits(policy.retry_window, policy.retry_ratio, policy.retry_allowance);
        }
        self.policy = policy;
    }

    /// Returns the active configuration; `None` until the first one is installed.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the version of the active configuration; zero until the first one is installed.
    pub fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.config().version)
    }

    /// Installs a configuration if it is newer than the active one; returns whether it is.
    pub fn install_config(&mut self, config: FleetConfig) -> bool {
        if config.version <= self.config_version() {
            return false;
        }
        self.record_stream_timeouts(&config);
        self.table = Some(Rc::new(RouteTable::new(config)));
        true
    }

    /// Returns whether requests can be routed: a configuration, at least one target and the evacuated
    /// domains are known.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && !self.targets.is_empty() && self.knows_evacuations()
    }

    /// Returns whether it is known which failure domains are out of use, or none can be.
    pub(super) fn knows_evacuations(&self) -> bool {
        !self.policy.has_evacuations || self.targets.evacuations().is_known()
    }

    /// Returns the number of runs in progress.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Records an arrived request for share accounting and the retry budget. Must be called once
    /// per request.
    pub fn record_arrival(&mut self, now: MonotonicTime, request: &DirectRequest<'_>) {
        if let (Some(customer), Some(prompt)) = (request.customer, request.prompt) {
            self.ledger.record_requested(now, customer, prompt.charged_tokens());
        }
        let policy = &self.policy;
        let budget = self.budgets.entry(request.service.to_owned()).or_insert_with(|| {
            FleetRetryBudget::new(policy.retry_window, policy.retry_ratio, policy.retry_allowance)
        });
        budget.record_request(now);
    }

    /// Chooses a target for a request, excluding the targets in `tried`, or refuses the request.
    pub fn place(
        &mut self,
        now: MonotonicTime,
        request: &DirectRequest<'_>,
        tried: &[TargetId],
    ) -> Placement {
        if let Some(retry_after) = self.quarantine_delay(now, &request.causes()) {
            return Placement::Refuse { reason: RefusalReason::Quarantined, retry_after };
        }
        self.prefills.expire(now);
        let placement = self.choose(now, request, tried);
        if let Placement::Refuse { retry_after, .. } = placement
            && !retry_after.is_zero()
        {
            self.refusals.record_refusal(now, request.fingerprint, retry_after);
        }
        placement
    }

    /// Returns a customer's share status.
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

    /// Consumes one retry from a service's budget; returns false if the budget is exhausted.
    pub fn take_retry(&mut self, now: MonotonicTime, service: &str) -> bool {
        let routers = self.fleet_size.record(now, self.loads.peer_count() + 1);
        let budget = self.budgets.get_mut(service);
        budget.is_some_and(|budget| budget.take_retry(now, routers))
    }

    /// Records that a request is sent to a target, which has to prefill `prefill_tokens`.
    pub fn start_run(
        &mut self,
        now: MonotonicTime,
        request: &DirectRequest<'_>,
        target: TargetId,
        prefill_tokens: u64,
    ) -> RunId {
        let memory_tokens = request.prompt.map_or(0, PromptShape::memory_tokens);
        let tokens_ahead = self.loads.load(target).queued_tokens + prefill_tokens;
        self.loads.add_queued(target, prefill_tokens, memory_tokens);
        self.health.record_send(now, target);
        self.limits.record_send(now, target);
        if self.cold_left(now, target).is_some() {
            self.cold_shares.record_send(now, target);
        }
        if let Some(prompt) = request.prompt {
            self.prefixes.record_send(now, target, prompt);
            if let Some(customer) = request.customer {
                self.ledger.record_started(now, customer, prompt.charged_tokens());
            }
        }
        let causes = request.causes();
        self.crashes.record_send(now, &causes);
        let run = RunId(self.next_run);
        self.next_run += 1;
        let record = RunRecord {
            target,
            causes,
            position: self.crashes.position(),
            phase: RunPhase::Waiting,
            events: 0,
            prefill_tokens,
            memory_tokens,
            tokens_ahead,
            is_plain: request.prompt.is_none(),
            sent_at: now,
            is_started: false,
        };
        self.runs.insert(run, record);
        run
    }

    /// Records response bytes of a run: the first event of a stream, the first bytes of another
    /// response, or later ones.
    pub fn record_response(&mut self, now: MonotonicTime, run: RunId) {
        let Some(record) = self.runs.get_mut(&run) else {
            return;
        };
        self.health.record_response(now, record.target);
        if record.is_started {
            return;
        }
        self.health.record_acceptance(now, record.target);
        record.is_started = true;
        self.loads.start_running(record.target, record.prefill_tokens);
        if !record.is_plain {
            self.prefills.record(now, record.target, record.prefill_tokens);
        }
        self.health.end_wait(now, record.target);
        let elapsed = now.since(record.sent_at);
        match record.is_plain {
            true => self.speeds.record_service_time(record.target, elapsed),
            false => self.speeds.record_first_event(record.target, record.tokens_ahead, elapsed),
        }
    }

    /// Records that a response of a target announced its leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: MonotonicTime, target: TargetId) -> bool {
        self.targets.record_leaving(now, target)
    }

    /// Records what a run's response states about the requests that its target takes; returns whether
    /// that is new.
    pub fn record_limit(
        &mut self,
        now: MonotonicTime,
        run: RunId,
        statement: LimitStatement,
    ) -> bool {
        let Some(record) = self.runs.get(&run) else {
            return false;
        };
        self.limits.record_statement(now, record.target, statement, record.sent_at)
    }

    /// Returns the number of targets that state a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.limited_count()
    }

    /// Returns whether a request that was placed on a target may still be sent to it: the target
    /// has neither announced its leaving nor asked for a pause in the meantime, and its failure domain
    /// was not evacuated.
    pub fn accepts_placed(&self, now: MonotonicTime, target: TargetId) -> bool {
        !self.targets.is_leaving(target)
            && !self.targets.is_evacuated(target)
            && self.health.accepts_placed(now, target)
    }

    /// Records the outcome of a run; returns whether the target is temporarily excluded.
    pub fn end_run(&mut self, now: MonotonicTime, run: RunId, outcome: RunOutcome) -> bool {
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
        match outcome {
            RunOutcome::Abandoned => false,
            RunOutcome::Whole => {
                self.health.record_acceptance(now, target);
                self.health.record_success(now, target);
                self.clear_causes(now, &record.causes, record.position);
                false
            }
            RunOutcome::Failed => self.health.record_failure(now, target, SendFailure::Failed),
            RunOutcome::Rejected => self.health.record_failure(now, target, SendFailure::Full),
            RunOutcome::Paused(pause) => {
                self.health.record_pause(now, target, pause);
                true
            }
            RunOutcome::Replaced => self.health.record_failure(now, target, SendFailure::Replaced),
            RunOutcome::Unreachable => {
                self.record_unreachable(now, target);
                true
            }
            RunOutcome::Broken => {
                self.broken.push(BrokenRun::new(now, record));
                self.health.record_failure(now, target, SendFailure::Broken)
            }
        }
    }

    /// Records the pauses between the events of a complete stream; returns whether prefill beside the
    /// service's streams is limited from now on, if that changed.
    pub fn record_stream(
        &mut self,
        service: &str,
        pauses: u32,
        longest_pause: Duration,
        objective: Duration,
    ) -> Option<bool> {
        let monitor = self.stream_monitors.entry(service.to_owned()).or_default();
        monitor.record_stream(pauses, longest_pause > objective)
    }

    /// Drops expired state; returns the names of targets that are now considered removed.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<String> {
        for incarnation in self.loads.expire(now) {
            self.ledger.remove_peer(incarnation);
            self.prefills.remove_peer(incarnation);
            self.limits.remove_peer(incarnation);
        }
        self.fleet_size.record(now, self.loads.peer_count() + 1);
        self.roster.expire(now);
        self.review_cold_shares(now);
        self.expire_crashes(now);
        self.expire_streams(now);
        let removed = self.targets.expire(now);
        if !removed.is_empty() {
            self.forget_removed_targets(now);
        }
        removed
    }

    /// Drops the state kept per target for targets that are no longer registered.
    pub fn forget_removed_targets(&mut self, now: MonotonicTime) {
        let targets = &self.targets;
        self.speeds.retain(|target| targets.contains(target));
        self.health.retain(now, |target| targets.contains(target));
        self.limits.retain(now, |target| targets.contains(target));
        self.prefixes.retain(|target| targets.contains(target));
    }
}
