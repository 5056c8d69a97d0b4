//! The way of one request: read, placed, sent, answered.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use jackdaw_base::{CustomerId, ErrorKind};
use jackdaw_platform::{AnswerHead, AnswerSource, CallHead, TargetCall, target_request};
use jackdaw_policy::direct::{
    ArrivedCall, CustomerStanding, KeyFault, Placement, RequestKind, RouteRecord, RouteTable,
    RunEnd, TargetId,
};
use xxhash_rust::xxh3::Xxh3;

use crate::answer_relay::{AnswerBody, AnswerRelay, RelaySource};
use crate::edge_state::{EdgeStage, EdgeState, OpenCall};
use crate::own_answer::OwnAnswer;
use crate::run_guard::RunGuard;
use crate::target_pool::{SendFault, TargetConnection};

/// Targets that may be tried for one request where none of them ran it.
const UNRUN_SENDS: u32 = 3;

/// The most bytes of an answer that is read whole before it is passed on.
const WHOLE_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The least time left for which a request is sent to a further target.
const REPEAT_TIME: Duration = Duration::from_millis(30);

/// One request with all that its way needs; clones share the record of its end.
#[derive(Clone)]
pub struct CallContext {
    inner: Rc<CallState>,
}

struct CallState {
    state: Rc<EdgeState>,
    parts: Parts,
    body: Bytes,
    head: CallHead,
    route: RouteRecord,
    service: String,
    customer: Option<CallCustomer>,
    fingerprint: u64,
    received: Instant,
    config_version: u64,
    /// The runs that a target may have begun.
    runs: Cell<u32>,
    /// The sends that no target ran.
    unrun_sends: Cell<u32>,
    tried: std::cell::RefCell<Vec<TargetId>>,
    last_target: Cell<u64>,
    expected: Cell<Duration>,
    standing: Cell<CustomerStanding>,
    first_byte: Cell<Option<Duration>>,
    last_byte: Cell<Duration>,
    longest_pause: Cell<Duration>,
    is_finished: Cell<bool>,
    _open: OpenCall,
}

/// The customer of a request.
struct CallCustomer {
    customer: CustomerId,
    name: String,
    rank: u32,
}

/// What a target answered.
enum TargetAnswer {
    /// A whole answer.
    Whole(Box<response::Parts>, Bytes),
    /// A stream of events.
    Stream(Box<response::Parts>, RelaySource),
}

/// How one send ended.
enum SendOutcome {
    Answered(TargetAnswer),
    /// No target ran the request; another may be tried.
    NotRun,
    /// A target may have run the request.
    MayHaveRun,
}

/// Takes a request and returns its answer.
pub async fn serve(state: Rc<EdgeState>, request: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let closes = state.stage() != EdgeStage::Serving;
    let (parts, body) = request.into_parts();
    let head = match CallHead::read(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!(outcome = "malformed", reason = fault.describe(); "request refused");
            let answer = OwnAnswer::new(ErrorKind::Malformed, fault.describe());
            return answer.into_response(None, closes);
        }
    };
    let id = head.id.clone();
    let mut response = match admit(&state, parts, head, body, received).await {
        Ok(context) => answer_call(&context).await,
        Err(answer) => {
            log::info!(
                request:% = id,
                outcome = answer.kind.slug(),
                status = answer.kind.status(),
                config = state.router().config_version();
                "request refused before it was placed"
            );
            state.metrics.answers.add(&[("route", ""), ("outcome", answer.kind.slug())], 1);
            answer.into_response(Some(&id), closes)
        }
    };
    if closes || state.stage() != EdgeStage::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Finds the request's route and customer and reads its body.
async fn admit(
    state: &Rc<EdgeState>,
    parts: Parts,
    head: CallHead,
    body: Incoming,
    received: Instant,
) -> Result<CallContext, OwnAnswer> {
    let open = state.count_call();
    let table = state.router().table().cloned();
    let table = table.ok_or(OwnAnswer {
        kind: ErrorKind::NotReady,
        detail: "the configuration is not known yet",
        retry_after: Duration::from_millis(500),
    })?;
    let route = table.find_route(&head.host, &head.path);
    let route = route.ok_or(OwnAnswer::new(ErrorKind::NotFound, "no route leads there"))?;
    let customer = authorize(&table, route, &head)?;
    let service = table.pick_service(route, &head.id);
    let service =
        service.ok_or(OwnAnswer::new(ErrorKind::NoCapacity, "the route has no service"))?;
    let limit = table.config().limits.body_bytes;
    let time_limit = head.deadline.min(route.timeout);
    let read = tokio::time::timeout(time_limit, read_body(body, limit)).await;
    let body = read.map_err(|_| {
        OwnAnswer::new(ErrorKind::DeadlineUnreachable, "the body did not come in time")
    })??;
    let fingerprint = fingerprint(customer.as_ref(), &parts, &body);
    let context = CallState {
        state: Rc::clone(state),
        parts,
        body,
        route: route.clone(),
        service: service.to_owned(),
        customer,
        fingerprint,
        received,
        config_version: table.config().version,
        runs: Cell::new(0),
        unrun_sends: Cell::new(0),
        tried: std::cell::RefCell::default(),
        last_target: Cell::new(0),
        expected: Cell::new(Duration::ZERO),
        standing: Cell::new(CustomerStanding::UNCOUNTED),
        first_byte: Cell::new(None),
        last_byte: Cell::new(Duration::ZERO),
        longest_pause: Cell::new(Duration::ZERO),
        is_finished: Cell::new(false),
        head,
        _open: open,
    };
    Ok(CallContext { inner: Rc::new(context) })
}

fn authorize(
    table: &RouteTable,
    route: &RouteRecord,
    head: &CallHead,
) -> Result<Option<CallCustomer>, OwnAnswer> {
    let customer = table.authorize(route, head.key.as_deref()).map_err(|fault| {
        let detail = match fault {
            KeyFault::Missing => "a key is needed",
            KeyFault::Unknown => "the key is nobody's",
        };
        OwnAnswer::new(ErrorKind::Unauthorized, detail)
    })?;
    Ok(customer.map(|found| CallCustomer {
        customer: found.customer,
        name: found.name.clone(),
        rank: table.rank_below_first(Some(found)),
    }))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, OwnAnswer> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(OwnAnswer::new(ErrorKind::TooLarge, "the body is over the limit"))
        }
        Err(_) => Err(OwnAnswer::new(ErrorKind::Malformed, "the body broke off")),
    }
}

/// Digests customer, method, path and body, by which a repeated request is known.
fn fingerprint(customer: Option<&CallCustomer>, parts: &Parts, body: &[u8]) -> u64 {
    let mut digest = Xxh3::new();
    digest.update(&customer.map_or(0, |customer| customer.customer.0).to_le_bytes());
    digest.update(parts.method.as_str().as_bytes());
    digest.update(parts.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    digest.update(body);
    // Half of the digest is enough for the seconds in which it counts, and shortens reports.
    digest.digest() >> 32
}

/// Sends an admitted request and builds the answer to its caller.
async fn answer_call(context: &CallContext) -> Response<AnswerBody> {
    // The connection sees first whether its caller has left while the request waited unread.
    tokio::task::yield_now().await;
    context.note_arrival();
    let deadline = context.deadline_at();
    let answer = match tokio::time::timeout_at(deadline, obtain_answer(context, None)).await {
        Ok(answer) => answer,
        Err(_) => Err(context.timeout_answer()),
    };
    match answer {
        Ok(TargetAnswer::Whole(parts, body)) => {
            context.note_bytes();
            context.finish("answered", parts.status.as_u16());
            build_response(&parts, AnswerBody::whole(body))
        }
        Ok(TargetAnswer::Stream(parts, source)) => {
            let relay = AnswerRelay::new(context.clone(), source);
            build_response(&parts, AnswerBody::Relay(Box::new(relay)))
        }
        Err(answer) => {
            context.finish(answer.kind.slug(), answer.kind.status());
            answer.into_response(Some(&context.inner.head.id), false)
        }
    }
}

fn build_response(parts: &response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    AnswerHead::copy_headers(&parts.headers, response.headers_mut());
    response
}

/// Goes on with a stream at another target after an event; `None` where it may not.
pub async fn resume_stream(context: CallContext, after: Option<u64>) -> Option<RelaySource> {
    if !context.may_repeat() {
        return None;
    }
    match obtain_answer(&context, after).await {
        Ok(TargetAnswer::Stream(_, source)) => Some(source),
        Ok(TargetAnswer::Whole(parts, _)) => {
            context.note_no_resumption(parts.status.as_str());
            None
        }
        Err(answer) => {
            context.note_no_resumption(answer.kind.slug());
            None
        }
    }
}

/// Sends a request to targets until one answers or none may be tried.
async fn obtain_answer(
    context: &CallContext,
    resume_after: Option<u64>,
) -> Result<TargetAnswer, OwnAnswer> {
    loop {
        match context.place() {
            Placement::Refuse { reason, retry_after } => {
                if context.inner.runs.get() > 0 {
                    return Err(OwnAnswer::new(ErrorKind::Interrupted, "the target broke off"));
                }
                return Err(OwnAnswer::refusal(reason, retry_after));
            }
            Placement::Send { target, expected, read_tokens } => {
                context.note_placement(target, expected);
                match context.send(target, read_tokens, resume_after).await {
                    SendOutcome::Answered(answer) => return Ok(answer),
                    SendOutcome::NotRun => context.check_unrun_sends()?,
                    SendOutcome::MayHaveRun => {
                        if !context.may_repeat() {
                            let detail = "the target broke off";
                            return Err(OwnAnswer::new(ErrorKind::Interrupted, detail));
                        }
                    }
                }
            }
        }
    }
}

impl CallContext {
    /// Returns the time at which the caller or the route gives up.
    pub fn deadline_at(&self) -> tokio::time::Instant {
        let inner = &self.inner;
        let limit = inner.head.deadline.min(inner.route.timeout);
        tokio::time::Instant::from_std(inner.received + limit)
    }

    /// Notes bytes of the answer: the first ones, and the pauses between later ones.
    pub fn note_bytes(&self) {
        let inner = &self.inner;
        let elapsed = inner.received.elapsed();
        let last = inner.last_byte.replace(elapsed);
        if inner.first_byte.get().is_some() {
            let pause = elapsed.saturating_sub(last);
            inner.longest_pause.set(inner.longest_pause.get().max(pause));
            return;
        }
        inner.first_byte.set(Some(elapsed));
        let labels = [("route", inner.route.name.as_str())];
        inner.state.metrics.first_byte.observe(&labels, elapsed.as_secs_f64());
    }

    /// Notes that a target broke off midway.
    pub fn note_break(&self, error: &hyper::Error) {
        log::info!(
            request:% = self.inner.head.id,
            target_id = self.inner.last_target.get(),
            runs = self.inner.runs.get(),
            error:% = error;
            "the target broke off its stream"
        );
    }

    /// Logs and counts the end of the request, the first time it is told.
    pub fn finish(&self, outcome: &str, status: u16) {
        let inner = &self.inner;
        if inner.is_finished.replace(true) {
            return;
        }
        let elapsed = inner.received.elapsed();
        let metrics = &inner.state.metrics;
        let route = inner.route.name.as_str();
        metrics.answers.add(&[("route", route), ("outcome", outcome)], 1);
        metrics.whole_answer.observe(&[("route", route)], elapsed.as_secs_f64());
        log::info!(
            request:% = inner.head.id,
            route,
            customer = inner.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            outcome,
            status,
            target_id = inner.last_target.get(),
            runs = inner.runs.get(),
            unrun_sends = inner.unrun_sends.get(),
            expected_ms = inner.expected.get().as_millis() as u64,
            first_ms = inner.first_byte.get().map_or(0, |first| first.as_millis() as u64),
            pause_ms = inner.longest_pause.get().as_millis() as u64,
            total_ms = elapsed.as_millis() as u64,
            tier:? = inner.standing.get().tier,
            share_used = inner.standing.get().share_used,
            config = inner.config_version;
            "request ended"
        );
    }

    fn note_arrival(&self) {
        let state = &self.inner.state;
        state.router().note_arrival(state.now(), &self.arrived());
    }

    fn note_placement(&self, target: TargetId, expected: Duration) {
        self.inner.last_target.set(target.0);
        self.inner.expected.set(expected);
        self.inner.tried.borrow_mut().push(target);
    }

    fn note_no_resumption(&self, reason: &str) {
        log::info!(request:% = self.inner.head.id, reason; "the stream cannot go on elsewhere");
    }

    fn arrived(&self) -> ArrivedCall<'_> {
        let inner = &self.inner;
        let customer = inner.customer.as_ref();
        ArrivedCall {
            customer: customer.map(|customer| customer.customer),
            rank: customer.map_or(0, |customer| customer.rank),
            service: &inner.service,
            prompt: inner.head.prompt.as_ref(),
            time_left: self.time_left(),
            fingerprint: inner.fingerprint,
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline_at().saturating_duration_since(tokio::time::Instant::now())
    }

    fn place(&self) -> Placement {
        let inner = &self.inner;
        let mut router = inner.state.router();
        let now = inner.state.now();
        let customer = inner.customer.as_ref().map(|customer| customer.customer);
        inner.standing.set(router.standing(now, customer));
        router.place(now, &self.arrived(), &inner.tried.borrow())
    }

    /// Returns whether the request may be sent to a further target after one may have run it.
    fn may_repeat(&self) -> bool {
        let inner = &self.inner;
        let may = inner.route.kind.is_repeatable()
            && inner.runs.get() < inner.route.max_attempts
            && self.time_left() > REPEAT_TIME;
        may && self.take_repeat()
    }

    fn take_repeat(&self) -> bool {
        let state = &self.inner.state;
        let is_granted = state.router().take_repeat(state.now(), &self.inner.service);
        if is_granted {
            state.metrics.repeats.inc();
        }
        is_granted
    }

    /// Decides whether a further target is tried after one that did not run the request.
    fn check_unrun_sends(&self) -> Result<(), OwnAnswer> {
        let unrun = self.inner.unrun_sends.get();
        if unrun < UNRUN_SENDS && self.take_repeat() {
            return Ok(());
        }
        if self.inner.runs.get() > 0 {
            return Err(OwnAnswer::new(ErrorKind::Interrupted, "the target broke off"));
        }
        Err(OwnAnswer {
            kind: ErrorKind::NoCapacity,
            detail: "no target ran the request",
            retry_after: Duration::from_millis(500),
        })
    }

    fn timeout_answer(&self) -> OwnAnswer {
        if self.inner.runs.get() > 0 {
            return OwnAnswer::new(ErrorKind::DeadlineExceeded, "the time was over");
        }
        OwnAnswer::new(ErrorKind::DeadlineUnreachable, "the time was over before it was sent")
    }

    /// Sends the request to a target.
    async fn send(
        &self,
        target: TargetId,
        read_tokens: u64,
        resume_after: Option<u64>,
    ) -> SendOutcome {
        let inner = &self.inner;
        let entry = inner
            .state
            .router()
            .targets
            .find(target)
            .map(|entry| (entry.name.clone(), entry.address));
        let Some((name, address)) = entry else {
            return SendOutcome::NotRun;
        };
        let run = {
            let mut router = inner.state.router();
            router.begin_run(inner.state.now(), &self.arrived(), target, read_tokens)
        };
        let mut guard = RunGuard::new(&inner.state, run);
        match self.connect(target, address).await {
            Ok(connection) => guard.attach(connection),
            Err(end) => {
                guard.end(end);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                return SendOutcome::NotRun;
            }
        }
        let call = TargetCall {
            target: &name,
            customer: inner.customer.as_ref().map(|customer| customer.name.as_str()),
            time_left: self.time_left(),
            resume_after,
        };
        let request = target_request(&inner.parts, inner.body.clone(), &call);
        inner.runs.set(inner.runs.get() + 1);
        inner.state.metrics.sends.inc();
        let answer = self.transfer(&mut guard, request, target, address).await;
        match answer {
            Ok(answer) => self.take_answer(guard, answer).await,
            Err(TransferFault::NotSent) => {
                inner.runs.set(inner.runs.get() - 1);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                guard.end(RunEnd::Unreachable);
                SendOutcome::NotRun
            }
            Err(TransferFault::Broken(error)) => {
                log::info!(
                    request:% = inner.head.id,
                    target:% = name,
                    error:% = error;
                    "the target broke off before its answer"
                );
                guard.end(RunEnd::Broken);
                SendOutcome::MayHaveRun
            }
        }
    }

    /// Returns an idle connection or a new one, or how the run ends without one.
    async fn connect(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<TargetConnection, RunEnd> {
        let state = &self.inner.state;
        if let Some(connection) = state.pool.take_idle(target) {
            return Ok(connection);
        }
        self.connect_anew(target, address).await
    }

    async fn connect_anew(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<TargetConnection, RunEnd> {
        let state = &self.inner.state;
        state.metrics.connections.inc();
        let error = match state.pool.connect(target, address).await {
            Ok(connection) => return Ok(connection),
            Err(error) => error,
        };
        log::info!(
            request:% = self.inner.head.id,
            address:% = address,
            error:% = error;
            "no connection to the target"
        );
        if is_local_shortage(&error) {
            state.callers.recall_some();
            return Err(RunEnd::Abandoned);
        }
        Err(RunEnd::Unreachable)
    }

    /// Sends on the guard's connection, and once more on a new one where nothing was sent.
    async fn transfer(
        &self,
        guard: &mut RunGuard,
        request: Request<http_body_util::Full<Bytes>>,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<Response<Incoming>, TransferFault> {
        let Some(connection) = guard.connection() else {
            return Err(TransferFault::NotSent);
        };
        let request = match connection.send(request).await {
            Ok(answer) => return Ok(answer),
            Err(SendFault::Broken(error)) => return Err(TransferFault::Broken(error)),
            Err(SendFault::NotSent(request)) => request,
        };
        let connection = self.connect_anew(target, address).await;
        guard.attach(connection.map_err(|_| TransferFault::NotSent)?);
        let Some(connection) = guard.connection() else {
            return Err(TransferFault::NotSent);
        };
        match connection.send(*request).await {
            Ok(answer) => Ok(answer),
            Err(SendFault::Broken(error)) => Err(TransferFault::Broken(error)),
            Err(SendFault::NotSent(_)) => Err(TransferFault::NotSent),
        }
    }

    /// Decides what an answer's head means for the request.
    async fn take_answer(&self, guard: RunGuard, answer: Response<Incoming>) -> SendOutcome {
        let inner = &self.inner;
        let (parts, body) = answer.into_parts();
        let head = AnswerHead::read(&parts, &inner.head.id);
        match head.source {
            AnswerSource::NotRun => self.note_unrun(guard, RunEnd::Rejected),
            AnswerSource::OtherTarget => self.note_unrun(guard, RunEnd::Replaced),
            AnswerSource::OtherRequest => {
                log::warn!(
                    request:% = inner.head.id,
                    target_id = inner.last_target.get(),
                    status = head.status.as_u16();
                    "an answer to another request, dropped with its connection"
                );
                if let Some(connection) = inner.tried.borrow().last() {
                    inner.state.pool.note_stray_answer(*connection);
                }
                guard.end(RunEnd::Broken);
                SendOutcome::MayHaveRun
            }
            AnswerSource::Ran => self.take_run(guard, head, Box::new(parts), body).await,
        }
    }

    fn note_unrun(&self, guard: RunGuard, end: RunEnd) -> SendOutcome {
        let inner = &self.inner;
        log::info!(
            request:% = inner.head.id,
            target_id = inner.last_target.get(),
            reason:? = end;
            "the target did not run the request"
        );
        inner.runs.set(inner.runs.get() - 1);
        inner.unrun_sends.set(inner.unrun_sends.get() + 1);
        guard.end(end);
        SendOutcome::NotRun
    }

    async fn take_run(
        &self,
        guard: RunGuard,
        head: AnswerHead,
        parts: Box<response::Parts>,
        body: Incoming,
    ) -> SendOutcome {
        let inner = &self.inner;
        let is_stream = matches!(inner.route.kind, RequestKind::Stream { .. });
        if is_stream && head.is_signed_success() {
            return SendOutcome::Answered(TargetAnswer::Stream(parts, RelaySource { guard, body }));
        }
        guard.note_started();
        let body = Limited::new(body, WHOLE_ANSWER_BYTES).collect().await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                log::info!(
                    request:% = inner.head.id,
                    target_id = inner.last_target.get(),
                    error:% = error;
                    "the target's answer is not whole"
                );
                guard.end(RunEnd::Broken);
                return SendOutcome::MayHaveRun;
            }
        };
        if head.status.is_success() && !head.is_sealed {
            log::warn!(request:% = inner.head.id, target_id = inner.last_target.get(); "an answer without a signature, dropped");
            guard.end(RunEnd::Broken);
            return SendOutcome::MayHaveRun;
        }
        if head.status.is_success() || !head.status.is_server_error() {
            guard.end(RunEnd::Whole);
        } else {
            guard.end(RunEnd::Failed);
        }
        // A status that promises no run would be false here.
        if head.promises_no_run() {
            return SendOutcome::MayHaveRun;
        }
        if head.status == StatusCode::INTERNAL_SERVER_ERROR && self.may_repeat() {
            // The failed answer is kept back: a further target may do better.
            return self.repeat_failed(parts, body).await;
        }
        SendOutcome::Answered(TargetAnswer::Whole(parts, body))
    }

    /// Tries a further target after a failure; returns the first failure where that fails too.
    async fn repeat_failed(&self, parts: Box<response::Parts>, body: Bytes) -> SendOutcome {
        match self.place() {
            Placement::Refuse { .. } => SendOutcome::Answered(TargetAnswer::Whole(parts, body)),
            Placement::Send { target, expected, read_tokens } => {
                self.note_placement(target, expected);
                match Box::pin(self.send(target, read_tokens, None)).await {
                    SendOutcome::Answered(answer) => SendOutcome::Answered(answer),
                    _ => SendOutcome::Answered(TargetAnswer::Whole(parts, body)),
                }
            }
        }
    }
}

/// How a request failed on its way to a target.
enum TransferFault {
    NotSent,
    Broken(hyper::Error),
}

/// Returns whether this process lacks descriptors; the target is not to blame then.
fn is_local_shortage(error: &std::io::Error) -> bool {
    const TOO_MANY_OPEN_FILES: [i32; 2] = [23, 24];
    error.raw_os_error().is_some_and(|code| TOO_MANY_OPEN_FILES.contains(&code))
}

impl Drop for CallState {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            log::info!(
                request:% = self.head.id,
                route = self.route.name.as_str(),
                outcome = "caller-left",
                target_id = self.last_target.get(),
                runs = self.runs.get(),
                total_ms = self.received.elapsed().as_millis() as u64;
                "request ended"
            );
            let labels = [("route", self.route.name.as_str()), ("outcome", "caller-left")];
            self.state.metrics.answers.add(&labels, 1);
        }
    }
}
