//! Per-request state, and the log and metrics entries written when the request ends.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use jackdaw_base::{CustomerId, ErrorKind};
use jackdaw_platform::RequestHead;
use jackdaw_policy::direct::{
    DirectRequest, HomeRule, Placement, PromptShape, RefusalReason, RouteConfig, ShareStatus,
    TargetEntry, TargetId, VersionId, VersionRule,
};

use crate::crash_check::TargetProcess;
use crate::edge_state::{EdgeState, OpenRequest};
use crate::local_response::LocalResponse;
use crate::log_text::format_digests;
use crate::request_body::BodyLease;
use crate::stream_head::StreamHead;

/// Limit of sends per request that no target ran, including failed connection attempts.
const MAX_UNRUN_SENDS: u32 = 3;

/// Minimum time left before the deadline for a retry at another target.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Status logged for a request that got no response.
const NO_STATUS: u16 = 0;

/// A request that has been authorized and read completely.
pub(crate) struct AdmittedRequest {
    /// The request's head as received from the caller.
    pub(crate) parts: Parts,
    /// The complete body.
    pub(crate) body: Bytes,
    /// The memory that the body takes.
    pub(crate) _body_lease: Option<BodyLease>,
    /// The fields parsed from the head.
    pub(crate) head: RequestHead,
    /// The route that matched host and path.
    pub(crate) route: RouteConfig,
    /// The service picked by the route's weights.
    pub(crate) service: String,
    /// The authorized customer; `None` on routes without API keys.
    pub(crate) customer: Option<RequestCustomer>,
    /// Hash of customer, method, path and body.
    pub(crate) fingerprint: u64,
    /// Estimated arrival of the head: the time it was read, minus the lag of the process.
    pub(crate) received: Instant,
    /// Version of the configuration under which the request was admitted.
    pub(crate) config_version: u64,
}

/// The customer that a request is charged to.
pub(crate) struct RequestCustomer {
    /// The customer's identifier.
    pub(crate) customer: CustomerId,
    /// The customer's configured name.
    pub(crate) name: String,
    /// Priority levels below the highest one; zero is the highest.
    pub(crate) rank: u32,
    /// Regions to which the customer's requests are confined.
    pub(crate) homes: Vec<String>,
}

/// Shared handle to the state of one request. The request ends when the last clone is dropped, if
/// not before.
#[derive(Clone)]
pub struct RequestContext {
    pub(crate) inner: Rc<RequestState>,
}

/// State of one request.
pub(crate) struct RequestState {
    /// The shared state of the router.
    pub(crate) state: Rc<EdgeState>,
    /// The admitted request.
    pub(crate) request: AdmittedRequest,
    /// Number of runs that a target may have started.
    pub(crate) runs: Cell<u32>,
    /// Number of sends that no target ran.
    pub(crate) unrun_sends: Cell<u32>,
    /// The targets selected so far, in order.
    pub(crate) tried: RefCell<Vec<TargetId>>,
    /// Identifier of the last selected target; zero if there is none.
    pub(crate) last_target: Cell<u64>,
    /// The last selected target, as its entry described it; `None` if there is none.
    pub(crate) last_process: Cell<Option<TargetProcess>>,
    last_target_name: RefCell<String>,
    /// Software version of the last selected target; empty if it is not known.
    last_version: RefCell<String>,
    /// Identifier of that version; `None` if it is not known.
    pub(crate) last_version_id: Cell<Option<VersionId>>,
    /// Software versions whose targets may serve the request.
    pub(crate) version_rule: Cell<VersionRule>,
    /// Number of the last event that the caller got in this response, after which each further target
    /// has to go on; `None` before the first event.
    pub(crate) resume_after: Cell<Option<u64>>,
    /// The head that the caller got, once its stream has begun. Only a target whose answer has the same
    /// goes on with the stream.
    pub(crate) stream_head: OnceCell<StreamHead>,
    expected: Cell<Duration>,
    share_status: Cell<ShareStatus>,
    /// Why the last selection of a target failed.
    refusal: Cell<Option<RefusalReason>>,
    first_byte: Cell<Option<Duration>>,
    last_byte: Cell<Duration>,
    longest_pause: Cell<Duration>,
    pauses: Cell<u32>,
    is_finished: Cell<bool>,
    _open: OpenRequest,
}

impl RequestContext {
    /// Creates the context of an admitted request, which counts as in progress until the last clone
    /// is dropped.
    pub(crate) fn new(
        state: &Rc<EdgeState>,
        request: AdmittedRequest,
        open: OpenRequest,
    ) -> RequestContext {
        let inner = RequestState {
            state: Rc::clone(state),
            request,
            runs: Cell::new(0),
            unrun_sends: Cell::new(0),
            tried: RefCell::default(),
            last_target: Cell::new(0),
            last_process: Cell::new(None),
            last_target_name: RefCell::default(),
            last_version: RefCell::default(),
            last_version_id: Cell::new(None),
            version_rule: Cell::default(),
            resume_after: Cell::new(None),
            stream_head: OnceCell::new(),
            expected: Cell::new(Duration::ZERO),
            share_status: Cell::new(ShareStatus::UNCOUNTED),
            refusal: Cell::new(None),
            first_byte: Cell::new(None),
            last_byte: Cell::new(Duration::ZERO),
            longest_pause: Cell::new(Duration::ZERO),
            pauses: Cell::new(0),
            is_finished: Cell::new(false),
            _open: open,
        };
        RequestContext { inner: Rc::new(inner) }
    }

    /// Returns the earlier of the caller's deadline and the end of the route's timeout.
    pub fn deadline_at(&self) -> tokio::time::Instant {
        let inner = &self.inner;
        let limit = inner.request.head.timeout.min(inner.request.route.timeout);
        tokio::time::Instant::from_std(inner.request.received + limit)
    }

    /// Records that bytes of the response arrived: the time to the first byte, and the longest
    /// pause after it.
    pub fn record_bytes(&self) {
        let inner = &self.inner;
        let elapsed = inner.request.received.elapsed();
        let last = inner.last_byte.replace(elapsed);
        if inner.first_byte.get().is_some() {
            let pause = elapsed.saturating_sub(last);
            inner.longest_pause.set(inner.longest_pause.get().max(pause));
            inner.pauses.set(inner.pauses.get() + 1);
            return;
        }
        inner.first_byte.set(Some(elapsed));
        let labels = [("route", inner.request.route.name.as_str())];
        inner.state.metrics.first_byte.observe(&labels, elapsed.as_secs_f64());
    }

    /// Records that a crash cut off an answer that only the end of its connection marks as complete. The
    /// run, which must have ended as broken, may be the cause.
    pub(crate) fn record_unmarked_crash(&self) {
        let state = &self.inner.state;
        let target = TargetId(self.inner.last_target.get());
        let is_registered = state.router().targets.contains(target);
        if is_registered {
            state.router().record_unreachable(state.now(), target);
            state.log_crash_notices();
        }
        log::info!(
            request:% = self.inner.request.head.id,
            target_name = self.inner.target_name(),
            target_id = self.inner.last_target.get(),
            is_registered;
            "target crashed at the end of an answer without a length"
        );
    }

    /// Logs that a stream broke off.
    pub fn log_interruption(&self, error: &str) {
        log::info!(
            request:% = self.inner.request.head.id,
            target_name = self.inner.target_name(),
            target_id = self.inner.last_target.get(),
            version = self.inner.version_name(),
            runs = self.inner.runs.get(),
            has_event = self.inner.first_byte.get().is_some(),
            digest = self.inner.digest(),
            parts = self.inner.shared_parts(),
            error;
            "target connection failed during the stream"
        );
    }

    /// Logs the end of the request and updates the metrics; only the first call has an effect.
    pub fn finish(&self, outcome: &str, status: u16) {
        self.inner.finish(outcome, status);
    }

    /// Reports the arrival to the routing policy; called once per request.
    pub(crate) fn record_arrival(&self) {
        let state = &self.inner.state;
        state.router().record_arrival(state.now(), &self.policy_view());
    }

    /// Records the target selected for the request.
    pub(crate) fn record_placement(&self, target: TargetId, expected: Duration) {
        self.inner.last_target.set(target.0);
        let router = self.inner.state.router();
        let entry = router.targets.find(target);
        let name = entry.map(|entry| entry.name.clone());
        let version = entry.and_then(|entry| entry.version.clone());
        let process = entry.map(|entry| TargetProcess { target, address: entry.address });
        self.inner.last_process.set(process);
        self.inner.last_version_id.set(entry.and_then(TargetEntry::version_id));
        self.inner.last_target_name.replace(name.unwrap_or_default());
        self.inner.last_version.replace(version.unwrap_or_default());
        self.inner.expected.set(expected);
        self.inner.tried.borrow_mut().push(target);
    }

    /// Logs that a stream goes on at another target.
    pub(crate) fn log_resumption(&self) {
        self.inner.state.metrics.resumptions.inc();
        log::info!(
            request:% = self.inner.request.head.id,
            target_name = self.inner.target_name(),
            target_id = self.inner.last_target.get(),
            version = self.inner.version_name(),
            after = self.inner.resume_after.get().unwrap_or(0);
            "stream resumed at another target"
        );
    }

    /// Logs why no target was selected for a request that a target may have run before.
    pub(crate) fn log_refused_retry(&self, reason: RefusalReason) {
        log::info!(
            request:% = self.inner.request.head.id,
            reason:? = reason,
            version = self.inner.version_name();
            "no target for a retry"
        );
    }

    /// Logs why a stream was not resumed at another target.
    pub(crate) fn log_failed_resumption(&self, reason: &str) {
        log::info!(request:% = self.inner.request.head.id, reason; "stream not resumed");
    }

    /// Returns the request as the routing policy sees it.
    pub(crate) fn policy_view(&self) -> DirectRequest<'_> {
        let inner = &self.inner;
        let customer = inner.request.customer.as_ref();
        DirectRequest {
            customer: customer.map(|customer| customer.customer),
            rank: customer.map_or(0, |customer| customer.rank),
            service: &inner.request.service,
            prompt: inner.request.head.prompt.as_ref(),
            homes: HomeRule {
                route: &inner.request.route.homes,
                customer: customer.map_or(&[], |customer| &customer.homes),
            },
            time_left: self.time_left(),
            fingerprint: inner.request.fingerprint,
            version_rule: inner.version_rule.get(),
        }
    }

    /// Returns the time left until [`RequestContext::deadline_at`].
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline_at().saturating_duration_since(tokio::time::Instant::now())
    }

    /// Selects a target or refuses the request.
    pub(crate) fn place(&self) -> Placement {
        let inner = &self.inner;
        let mut router = inner.state.router();
        let now = inner.state.now();
        let customer = inner.request.customer.as_ref().map(|customer| customer.customer);
        inner.share_status.set(router.share_status(now, customer));
        let placement = router.place(now, &self.policy_view(), &inner.tried.borrow());
        if let Placement::Refuse { reason, .. } = placement {
            inner.refusal.set(Some(reason));
            inner.state.metrics.refusals.add(&[("reason", reason.name())], 1);
        }
        placement
    }

    /// Returns whether the request may be retried at another target although one may have run it.
    /// Takes a retry from the budget if so.
    pub(crate) fn may_retry(&self) -> bool {
        let inner = &self.inner;
        let may = inner.request.route.kind.is_idempotent()
            && inner.runs.get() < inner.request.route.max_attempts
            && self.time_left() > MIN_RETRY_TIME;
        may && self.take_retry()
    }

    /// Takes one retry from the service's budget; returns whether the budget allowed it.
    pub(crate) fn take_retry(&self) -> bool {
        let state = &self.inner.state;
        let is_granted = state.router().take_retry(state.now(), &self.inner.request.service);
        if is_granted {
            state.metrics.retries.inc();
        }
        is_granted
    }

    /// Decides whether to try another target after one that did not run the request.
    ///
    /// # Errors
    ///
    /// The response to the caller if the limit or the retry budget is exhausted.
    pub(crate) fn check_unrun_sends(&self) -> Result<(), LocalResponse> {
        let unrun = self.inner.unrun_sends.get();
        if unrun < MAX_UNRUN_SENDS && self.take_retry() {
            return Ok(());
        }
        if self.inner.runs.get() > 0 {
            return Err(LocalResponse::interrupted());
        }
        Err(LocalResponse {
            kind: ErrorKind::NoCapacity,
            detail: "no target ran the request",
            retry_after: Duration::from_millis(500),
        })
    }

    /// Returns the response to a request that exceeded its deadline.
    pub(crate) fn timeout_response(&self) -> LocalResponse {
        if self.inner.runs.get() > 0 {
            return LocalResponse::new(ErrorKind::DeadlineExceeded, "the time was over");
        }
        LocalResponse::new(ErrorKind::DeadlineUnreachable, "the time was over before it was sent")
    }
}

impl RequestState {
    /// Reports the pauses of a complete stream to the routing policy.
    fn report_pauses(&self, outcome: &str) {
        let Some(objective) = self.request.route.pause_objective.filter(|_| outcome == "whole")
        else {
            return;
        };
        let (service, pause) = (self.request.service.as_str(), self.longest_pause.get());
        let mut router = self.state.router();
        let change = router.record_stream(service, self.pauses.get(), pause, objective);
        drop(router);
        if let Some(is_limiting) = change {
            log::info!(service, is_limiting; "limit on prefill beside running streams changed");
        }
    }

    /// Returns the identifiers of the shared prompt parts.
    pub(crate) fn shared_parts(&self) -> String {
        let shared = self.request.head.prompt.as_ref().map_or(&[][..], PromptShape::shared_parts);
        format_digests(shared.iter().map(|part| part.id))
    }

    /// Returns the digest of customer and content, which repetitions of the request share.
    pub(crate) fn digest(&self) -> String {
        format!("{:x}", self.request.fingerprint)
    }

    /// Returns the name of the last selected target; empty if there is none.
    pub(crate) fn target_name(&self) -> String {
        self.last_target_name.borrow().clone()
    }

    /// Returns the software version of the last selected target; empty if there is none.
    pub(crate) fn version_name(&self) -> String {
        self.last_version.borrow().clone()
    }

    /// Logs the end of the request and updates the metrics; only the first call has an effect.
    fn finish(&self, outcome: &str, status: u16) {
        if self.is_finished.replace(true) {
            return;
        }
        let elapsed = self.request.received.elapsed();
        self.report_pauses(outcome);
        let metrics = &self.state.metrics;
        let route = self.request.route.name.as_str();
        metrics.responses.add(&[("route", route), ("outcome", outcome)], 1);
        metrics.complete_response.observe(&[("route", route)], elapsed.as_secs_f64());
        log::info!(
            request:% = self.request.head.id,
            route,
            customer = self.request.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            outcome,
            status,
            reason = self.refusal.get().map_or("", RefusalReason::name),
            digest = self.digest(),
            target_name = self.target_name(),
            target_id = self.last_target.get(),
            version = self.version_name(),
            runs = self.runs.get(),
            unrun_sends = self.unrun_sends.get(),
            expected_ms = self.expected.get().as_millis() as u64,
            first_ms = self.first_byte.get().map_or(0, |first| first.as_millis() as u64),
            pause_ms = self.longest_pause.get().as_millis() as u64,
            total_ms = elapsed.as_millis() as u64,
            tokens = self.request.head.prompt.as_ref().map_or(0, PromptShape::charged_tokens),
            tier:? = self.share_status.get().tier,
            share_used = self.share_status.get().share_used,
            config = self.request.config_version;
            "request ended"
        );
    }
}

impl Drop for RequestState {
    /// Logs a request whose caller left before the response.
    fn drop(&mut self) {
        self.finish("caller-left", NO_STATUS);
    }
}
