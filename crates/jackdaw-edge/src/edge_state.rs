//! State shared by the components of one router, which all run on a single thread.

use std::cell::{Cell, OnceCell, RefCell, RefMut};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_base::{MonotonicTime, ProcessIncarnation, VmId};
use jackdaw_policy::direct::{
    ColdNotice, ColdTolerance, CrashNotice, DirectPolicy, DirectRouter, EvacuationEffect,
    LimitStatement, MemoryPlan, OverloadDetector, ShedAction, StreamBinding, TargetEntry, TargetId,
};
use jackdaw_settings::EdgeSettings;
use tokio::sync::{Notify, watch};

use crate::binding_store::BindingStore;
use crate::body_buffer::BodyBuffer;
use crate::caller_connections::CallerConnections;
use crate::crash_check::CrashChecks;
use crate::delivery::DeliveryCount;
use crate::edge_metrics::EdgeMetrics;
use crate::finding_store::FindingStore;
use crate::log_text::format_digests;
use crate::request_body::RequestBodies;
use crate::stream_exchange::StreamExchange;
use crate::target_pool::TargetPool;
use crate::version_store::VersionStore;

/// Interval of the housekeeping tick. Late ticks reveal how far the process lags behind.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);

/// Lifecycle stage of the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EdgeStage {
    /// Accepts requests once configuration and targets are known.
    Serving,
    /// Shutdown was requested: readiness fails, and each response closes its connection.
    Leaving,
    /// No connections are accepted, and idle ones are closed.
    Closing,
    /// The process is about to exit: requests without a response get one at once.
    Exiting,
}

/// Times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopSchedule {
    /// When the router stops to begin requests that may outlast it.
    pub(crate) last_begin: Instant,
    /// When requests without a response get one, since the process is about to exit.
    pub(crate) exit: Instant,
}

/// Shared state of one router.
pub struct EdgeState {
    settings: RefCell<Rc<EdgeSettings>>,
    /// Metrics of this router.
    pub metrics: EdgeMetrics,
    /// Pooled connections to targets.
    pub pool: TargetPool,
    /// Budget for response bodies that are buffered.
    pub body_buffer: BodyBuffer,
    /// Bodies of requests, and the memory for them.
    pub request_bodies: RequestBodies,
    /// Requests whose responses have not been written completely.
    pub deliveries: DeliveryCount,
    /// Checks whether targets crashed.
    pub crash_checks: CrashChecks,
    /// Findings on crashes in the store.
    pub(crate) findings: FindingStore,
    /// Record of software versions in the store.
    pub(crate) versions: VersionStore,
    /// Versions of streams in the store.
    pub(crate) bindings: BindingStore,
    /// Exchange of versions of streams; set once the report port is bound.
    streams: OnceCell<StreamExchange>,
    /// Open connections of callers.
    pub callers: CallerConnections,
    router: RefCell<DirectRouter>,
    stage: watch::Sender<EdgeStage>,
    /// Times of the shutdown; `None` while none was requested.
    stop: Cell<Option<StopSchedule>>,
    watch_reviewed: Notify,
    overload: RefCell<OverloadDetector>,
    open_requests: Cell<usize>,
    origin: Instant,
}

impl EdgeState {
    /// Creates the state of a router that has neither configuration nor targets yet.
    pub fn new(settings: EdgeSettings) -> Rc<EdgeState> {
        let policy = direct_policy(&settings);
        let router = DirectRouter::new(policy, ProcessIncarnation::random());
        let plan = MemoryPlan::new(settings.memory_bytes);
        let state = EdgeState {
            metrics: EdgeMetrics::register(),
            pool: TargetPool::default(),
            body_buffer: BodyBuffer::default(),
            request_bodies: RequestBodies::new(plan.request_bytes),
            deliveries: DeliveryCount::default(),
            crash_checks: CrashChecks::default(),
            findings: FindingStore::default(),
            versions: VersionStore::default(),
            bindings: BindingStore::default(),
            streams: OnceCell::new(),
            callers: CallerConnections::new(settings.descriptors),
            router: RefCell::new(router),
            stage: watch::Sender::new(EdgeStage::Serving),
            stop: Cell::new(None),
            watch_reviewed: Notify::new(),
            overload: RefCell::new(OverloadDetector::new(MonotonicTime(0), TICK_PERIOD)),
            open_requests: Cell::new(0),
            origin: Instant::now(),
            settings: RefCell::new(Rc::new(settings)),
        };
        state.apply_memory_plan(&plan);
        Rc::new(state)
    }

    fn apply_memory_plan(&self, plan: &MemoryPlan) {
        self.request_bodies.set_capacity(plan.request_bytes);
        self.body_buffer.set_budget(plan.response_bytes);
        self.callers.set_unfinished_limit(plan.unfinished_requests);
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Applies changed settings, except for those that need a restart; returns the names of the
    /// changed settings that were skipped.
    pub fn reload(&self, mut settings: EdgeSettings) -> Vec<&'static str> {
        let fixed = settings.revert_restart_only(&self.settings());
        self.callers.set_limit(settings.descriptors);
        self.apply_memory_plan(&MemoryPlan::new(settings.memory_bytes));
        self.router().set_policy(direct_policy(&settings));
        self.settings.replace(Rc::new(settings));
        fixed
    }

    /// Sets the exchange of versions of streams; called once, when the report port is bound.
    pub(crate) fn open_streams(&self, exchange: StreamExchange) {
        if self.streams.set(exchange).is_err() {
            log::error!("the exchange of versions of streams was opened twice");
        }
    }

    /// Returns the exchange of versions of streams; `None` before the report port is bound.
    pub(crate) fn streams(&self) -> Option<&StreamExchange> {
        self.streams.get()
    }

    /// Records which version began a stream.
    pub(crate) fn record_binding(&self, binding: &StreamBinding) {
        if !self.router().bind_stream(self.now(), binding) {
            self.metrics.bindings_dropped.inc();
            log::debug!(key = binding.key.0; "too many streams are known; version not recorded");
        }
    }

    /// Records which version began an own stream, and tells the routers that keep it.
    pub(crate) fn publish_binding(&self, binding: StreamBinding) {
        self.record_binding(&binding);
        if let Some(streams) = self.streams() {
            streams.tell(self, binding);
        }
    }

    /// Returns the time since this state was created, in microseconds.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(self.origin.elapsed().as_micros() as u64)
    }

    /// Borrows the routing policy. The borrow must not be held across an `await`.
    pub fn router(&self) -> RefMut<'_, DirectRouter> {
        self.router.borrow_mut()
    }

    /// Returns the current lifecycle stage.
    pub fn stage(&self) -> EdgeStage {
        *self.stage.borrow()
    }

    /// Enters a later lifecycle stage.
    pub fn enter_stage(&self, stage: EdgeStage) {
        self.stage.send_replace(stage);
    }

    /// Waits for [`EdgeStage::Closing`].
    pub async fn wait_closing(&self) {
        self.wait_stage(EdgeStage::Closing).await;
    }

    /// Waits for a stage or a later one.
    pub(crate) async fn wait_stage(&self, awaited: EdgeStage) {
        let mut stage = self.stage.subscribe();
        // `wait_for` fails only after the sender is dropped, and `self` owns the sender.
        let _ = stage.wait_for(|stage| *stage >= awaited).await;
    }

    /// Sets the times of the shutdown that begins.
    pub(crate) fn schedule_stop(&self, schedule: StopSchedule) {
        self.stop.set(Some(schedule));
    }

    /// Returns whether a request that has been read may be sent to a target now. Late in a shutdown, it
    /// may only if its deadline passes before the process exits: another router can still serve it.
    pub(crate) fn may_begin(&self, deadline: Instant) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|stop| Instant::now() <= stop.last_begin || deadline <= stop.exit)
    }

    /// Wakes the tasks in [`EdgeState::wait_store_watch`].
    pub fn notify_watch_review(&self) {
        self.watch_reviewed.notify_waiters();
    }

    /// Returns whether this router is assigned to watch the store.
    pub fn watches_store(&self) -> bool {
        self.router().watch.is_watching()
    }

    /// Waits until this router is assigned to watch the store.
    pub async fn wait_store_watch(&self) {
        // On a single thread, the assignment cannot change between the check and the wait.
        while !self.watches_store() {
            self.watch_reviewed.notified().await;
        }
    }

    /// Returns whether the load balancer may send new connections to this router.
    pub fn is_ready(&self) -> bool {
        let is_serving = self.stage() == EdgeStage::Serving;
        is_serving
            && !self.overload.borrow().is_shedding(self.now())
            && self.router.borrow().is_ready()
    }

    /// Returns whether callers may keep their connections: the router is neither shutting down
    /// nor overloaded.
    pub fn keeps_connections(&self) -> bool {
        self.stage() == EdgeStage::Serving && !self.overload.borrow().is_moving_callers(self.now())
    }

    /// Returns how long input that is read now may have waited for processor time.
    pub fn lag(&self) -> Duration {
        self.overload.borrow().lag(self.now())
    }

    /// Returns whether requests may have waited in socket buffers before being read.
    pub fn is_behind(&self) -> bool {
        let (overload, now) = (self.overload.borrow(), self.now());
        !overload.lag(now).is_zero() || overload.has_accept_backlog(now)
    }

    /// Records that a target announced its leaving. `source` is the request whose response said so,
    /// or the address of the router whose report passed it on.
    pub fn record_leaving(&self, target: TargetId, source: &str) {
        let is_new = self.router().record_leaving(self.now(), target);
        if is_new {
            self.handle_leaving(target, source);
        }
    }

    /// As [`EdgeState::record_leaving`], for an announcement in the snapshot of the router `source`.
    pub fn record_copied_leaving(&self, target: TargetId, source: &str) {
        let is_new = self.router().targets.record_copied_leaving(self.now(), target);
        if is_new {
            self.handle_leaving(target, source);
        }
    }

    /// Closes the idle connections to a target that is newly known to leave.
    fn handle_leaving(&self, target: TargetId, source: &str) {
        let name = self.router().targets.find(target).map(|entry| entry.name.clone());
        let name = name.unwrap_or_default();
        self.metrics.leavings.inc();
        log::info!(target_name = name, target_id = target.0, source; "target announced its leaving");
        self.pool.close_idle(target);
    }

    /// Logs and counts that a target states another limit than before. `source` is the request whose
    /// response says so, or the address of the router whose report passed it on.
    pub fn handle_limit(&self, target: TargetId, statement: LimitStatement, source: &str) {
        let name = self.router().targets.find(target).map(|entry| entry.name.clone());
        let target_name = name.unwrap_or_default();
        self.metrics.limits.inc();
        match statement {
            LimitStatement::Limited(rate) => log::info!(
                target_name, target_id = target.0, per_second = rate.per_second(), source;
                "target states a limit"
            ),
            LimitStatement::Unlimited => log::info!(
                target_name, target_id = target.0, source;
                "target states no limit any more"
            ),
        }
    }

    /// Logs failure domains that were taken out of use or are in use again, and closes the idle
    /// connections to their targets. `source` is where this router learned of it.
    pub(crate) fn handle_evacuations(&self, effect: &EvacuationEffect, source: &str) {
        for domain in &effect.evacuated {
            let router = self.router();
            let targets = router.targets.entries().filter(|entry| entry.domain == *domain);
            let targets: Vec<TargetId> = targets.map(TargetEntry::id).collect();
            drop(router);
            log::warn!(domain, targets = targets.len(), source; "failure domain taken out of use");
            self.metrics.evacuations.inc();
            for target in targets {
                self.pool.close_idle(target);
            }
        }
        for (domain, since) in &effect.returned {
            let age_ms = self.now().since(*since).as_millis() as u64;
            log::warn!(domain, age_ms, source; "failure domain in use again; its targets count as cold");
        }
    }

    /// Logs which targets have turned cold or warm since the last call.
    pub(crate) fn log_cold_notices(&self) {
        let notices = self.router().take_cold_notices(self.now());
        for notice in notices {
            let target = match &notice {
                ColdNotice::Cold { target, .. } | ColdNotice::Warm(target) => *target,
            };
            let name = self.router().targets.find(target).map(|entry| entry.name.clone());
            let target_name = name.unwrap_or_default();
            match notice {
                ColdNotice::Cold { left, source, part, .. } => {
                    self.metrics.cold_targets.inc();
                    log::info!(
                        target_name, target_id = target.0, left_ms = left.as_millis() as u64,
                        source:? = source, part;
                        "target is cold"
                    );
                }
                ColdNotice::Warm(_) => {
                    log::info!(target_name, target_id = target.0; "target is warm");
                }
            }
        }
    }

    /// Logs and counts what became known about crashes since the last call.
    pub fn log_crash_notices(&self) {
        let notices = self.router().take_crash_notices();
        for notice in notices {
            match notice {
                CrashNotice::Crashed { target, suspects, requests, parts } => {
                    self.metrics.target_crashes.inc();
                    let entry = self.router().targets.find(target).cloned();
                    let target_name = entry.map_or_else(String::new, |entry| entry.name);
                    let (requests, parts) = (format_digests(requests), format_digests(parts));
                    log::info!(
                        target_name, target_id = target.0, suspects, requests, parts;
                        "target crashed"
                    );
                }
                CrashNotice::Changed { cause, change, source } => {
                    let refused_causes = self.router().refused_cause_count();
                    log::warn!(
                        cause:% = cause, change:? = change, source:? = source, refused_causes;
                        "standing of a crash cause changed"
                    );
                }
            }
        }
    }

    /// Records whether a connection was already pending when the server was ready to accept one.
    pub fn record_accept(&self, was_pending: bool) {
        self.overload.borrow_mut().record_accept(self.now(), was_pending);
    }

    /// Processes a housekeeping tick and sheds load if the process lags behind.
    pub fn process_tick(&self) {
        let now = self.now();
        let action = self.overload.borrow_mut().tick(now);
        let (lag_ms, connections) = (self.lag().as_millis() as u64, self.callers.open_count());
        match action {
            ShedAction::None => {}
            ShedAction::Start => {
                log::warn!(lag_ms, connections; "process lags behind; router reports not ready");
            }
            ShedAction::MoveCallers => {
                log::warn!(lag_ms, connections; "draining all caller connections");
                self.callers.drain_all();
            }
        }
    }

    /// Returns the number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Returns the number of requests that are in progress, or whose responses have not been written
    /// completely.
    pub fn unfinished_requests(&self) -> usize {
        // Requests that are being read count for the first, responses that are being written for the
        // second, most for both.
        self.open_requests().max(self.deliveries.get())
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Rc<EdgeState>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { state: Rc::clone(self) }
    }
}

fn direct_policy(settings: &EdgeSettings) -> DirectPolicy {
    DirectPolicy {
        domain: settings.domain.clone(),
        vm: vm_of(settings.ip()),
        expects_others: settings.seeds.iter().any(|seed| *seed.ip() != settings.ip()),
        regions: settings.regions.iter().cloned().collect(),
        cold_tolerance: ColdTolerance {
            factor: settings.cold_factor,
            allowance: settings.cold_allowance,
        },
        has_evacuations: settings.evacuation_time.is_some(),
        is_first_start: settings.is_first_start,
        share_window: settings.share_window,
        retry_window: settings.repeat_window,
        retry_ratio: settings.repeat_ratio,
        retry_allowance: settings.repeat_allowance,
    }
}

/// Returns the identifier of the VM with an address.
pub(crate) fn vm_of(address: Ipv4Addr) -> VmId {
    VmId(u64::from(u32::from(address)))
}

/// Guard that counts one request as in progress.
pub struct OpenRequest {
    state: Rc<EdgeState>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.open_requests.set(self.state.open_requests.get() - 1);
    }
}
