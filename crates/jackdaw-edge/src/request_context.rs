//! One request with all that its way needs, and the record of its end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use jackdaw_base::{CustomerId, ErrorKind};
use jackdaw_platform::RequestHead;
use jackdaw_policy::direct::{DirectRequest, Placement, RouteConfig, ShareStatus, TargetId};

use crate::edge_state::{EdgeState, OpenRequest};
use crate::local_response::LocalResponse;

/// Targets that may be tried for one request where none of them ran it.
const MAX_UNRUN_SENDS: u32 = 3;

/// The least time left for which a request is sent to a further target.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Stands in the log for the status of a request without an answer.
const NO_STATUS: u16 = 0;

/// An admitted request.
pub(crate) struct AdmittedRequest {
    /// The head as the caller sent it.
    pub(crate) parts: Parts,
    /// The whole body.
    pub(crate) body: Bytes,
    /// What the head states.
    pub(crate) head: RequestHead,
    /// The route.
    pub(crate) route: RouteConfig,
    /// The service that the route's weights picked.
    pub(crate) service: String,
    /// The customer; `None` on routes without keys.
    pub(crate) customer: Option<RequestCustomer>,
    /// The digest of customer and content.
    pub(crate) fingerprint: u64,
    /// The time at which the head came, as far as the process's lag tells.
    pub(crate) received: Instant,
    /// The version of the configuration that admitted it.
    pub(crate) config_version: u64,
}

/// The customer of a request.
pub(crate) struct RequestCustomer {
    /// The identifier.
    pub(crate) customer: CustomerId,
    /// The name.
    pub(crate) name: String,
    /// The steps by which its requests rank below the first.
    pub(crate) rank: u32,
}

/// One request with all that its way needs; clones share the record of its end.
#[derive(Clone)]
pub struct RequestContext {
    pub(crate) inner: Rc<RequestState>,
}

/// What is known of one request so far.
pub(crate) struct RequestState {
    /// The state of the router.
    pub(crate) state: Rc<EdgeState>,
    /// The request.
    pub(crate) request: AdmittedRequest,
    /// The runs that a target may have begun.
    pub(crate) runs: Cell<u32>,
    /// The sends that no target ran.
    pub(crate) unrun_sends: Cell<u32>,
    /// The targets that it was sent to, the last one at the end.
    pub(crate) tried: RefCell<Vec<TargetId>>,
    /// The last target; zero before the first.
    pub(crate) last_target: Cell<u64>,
    expected: Cell<Duration>,
    standing: Cell<ShareStatus>,
    first_byte: Cell<Option<Duration>>,
    last_byte: Cell<Duration>,
    longest_pause: Cell<Duration>,
    is_finished: Cell<bool>,
    _open: OpenRequest,
}

impl RequestContext {
    /// Creates the context of an admitted request; it counts as open until it is dropped.
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
            expected: Cell::new(Duration::ZERO),
            standing: Cell::new(ShareStatus::UNCOUNTED),
            first_byte: Cell::new(None),
            last_byte: Cell::new(Duration::ZERO),
            longest_pause: Cell::new(Duration::ZERO),
            is_finished: Cell::new(false),
            _open: open,
        };
        RequestContext { inner: Rc::new(inner) }
    }

    /// Returns the time at which the caller or the route gives up.
    pub fn deadline_at(&self) -> tokio::time::Instant {
        let inner = &self.inner;
        let limit = inner.request.head.timeout.min(inner.request.route.timeout);
        tokio::time::Instant::from_std(inner.request.received + limit)
    }

    /// Notes bytes of the answer: the first ones, and the pauses between later ones.
    pub fn record_bytes(&self) {
        let inner = &self.inner;
        let elapsed = inner.request.received.elapsed();
        let last = inner.last_byte.replace(elapsed);
        if inner.first_byte.get().is_some() {
            let pause = elapsed.saturating_sub(last);
            inner.longest_pause.set(inner.longest_pause.get().max(pause));
            return;
        }
        inner.first_byte.set(Some(elapsed));
        let labels = [("route", inner.request.route.name.as_str())];
        inner.state.metrics.first_byte.observe(&labels, elapsed.as_secs_f64());
    }

    /// Notes that a target broke off midway.
    pub fn log_interruption(&self, error: &hyper::Error) {
        log::info!(
            request:% = self.inner.request.head.id,
            target_id = self.inner.last_target.get(),
            runs = self.inner.runs.get(),
            error:% = error;
            "the target broke off its stream"
        );
    }

    /// Logs and counts the end of the request, the first time it is told.
    pub fn finish(&self, outcome: &str, status: u16) {
        self.inner.finish(outcome, status);
    }

    /// Notes that the request has come, once.
    pub(crate) fn record_arrival(&self) {
        let state = &self.inner.state;
        state.router().record_arrival(state.now(), &self.policy_view());
    }

    /// Notes that the request goes to a target.
    pub(crate) fn record_placement(&self, target: TargetId, expected: Duration) {
        self.inner.last_target.set(target.0);
        self.inner.expected.set(expected);
        self.inner.tried.borrow_mut().push(target);
    }

    /// Logs why a stream does not go on at another target.
    pub(crate) fn log_failed_resumption(&self, reason: &str) {
        log::info!(request:% = self.inner.request.head.id, reason; "the stream cannot go on elsewhere");
    }

    /// Returns the request as the decisions see it.
    pub(crate) fn policy_view(&self) -> DirectRequest<'_> {
        let inner = &self.inner;
        let customer = inner.request.customer.as_ref();
        DirectRequest {
            customer: customer.map(|customer| customer.customer),
            rank: customer.map_or(0, |customer| customer.rank),
            service: &inner.request.service,
            prompt: inner.request.head.prompt.as_ref(),
            time_left: self.time_left(),
            fingerprint: inner.request.fingerprint,
        }
    }

    /// Returns the time that the caller and the route still allow.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline_at().saturating_duration_since(tokio::time::Instant::now())
    }

    /// Chooses a target or refuses the request.
    pub(crate) fn place(&self) -> Placement {
        let inner = &self.inner;
        let mut router = inner.state.router();
        let now = inner.state.now();
        let customer = inner.request.customer.as_ref().map(|customer| customer.customer);
        inner.standing.set(router.share_status(now, customer));
        router.place(now, &self.policy_view(), &inner.tried.borrow())
    }

    /// Returns whether the request may be sent to a further target after one may have run it.
    pub(crate) fn may_retry(&self) -> bool {
        let inner = &self.inner;
        let may = inner.request.route.kind.is_repeatable()
            && inner.runs.get() < inner.request.route.max_attempts
            && self.time_left() > MIN_RETRY_TIME;
        may && self.take_retry()
    }

    /// Takes one repeat from the budget; returns whether there was one left.
    pub(crate) fn take_retry(&self) -> bool {
        let state = &self.inner.state;
        let is_granted = state.router().take_repeat(state.now(), &self.inner.request.service);
        if is_granted {
            state.metrics.retries.inc();
        }
        is_granted
    }

    /// Decides whether a further target is tried after one that did not run the request.
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

    /// Returns the answer where the time is over.
    pub(crate) fn timeout_response(&self) -> LocalResponse {
        if self.inner.runs.get() > 0 {
            return LocalResponse::new(ErrorKind::DeadlineExceeded, "the time was over");
        }
        LocalResponse::new(ErrorKind::DeadlineUnreachable, "the time was over before it was sent")
    }
}

impl RequestState {
    /// Logs and counts the end of the request, the first time it is told.
    fn finish(&self, outcome: &str, status: u16) {
        if self.is_finished.replace(true) {
            return;
        }
        let elapsed = self.request.received.elapsed();
        let metrics = &self.state.metrics;
        let route = self.request.route.name.as_str();
        metrics.responses.add(&[("route", route), ("outcome", outcome)], 1);
        metrics.whole_response.observe(&[("route", route)], elapsed.as_secs_f64());
        log::info!(
            request:% = self.request.head.id,
            route,
            customer = self.request.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            outcome,
            status,
            target_id = self.last_target.get(),
            runs = self.runs.get(),
            unrun_sends = self.unrun_sends.get(),
            expected_ms = self.expected.get().as_millis() as u64,
            first_ms = self.first_byte.get().map_or(0, |first| first.as_millis() as u64),
            pause_ms = self.longest_pause.get().as_millis() as u64,
            total_ms = elapsed.as_millis() as u64,
            tier:? = self.standing.get().tier,
            share_used = self.standing.get().share_used,
            config = self.request.config_version;
            "request ended"
        );
    }
}

impl Drop for RequestState {
    /// A request that nobody waits for any more ends without an answer.
    fn drop(&mut self) {
        self.finish("caller-left", NO_STATUS);
    }
}
