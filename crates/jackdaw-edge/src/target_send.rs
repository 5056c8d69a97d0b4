//! Sends requests to targets, classifies the responses and retries at other targets.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, Response, StatusCode, response};
use http_body::Body;
use http_body_util::Full;
use jackdaw_platform::{FleetHeaders, ResponseHead, ResponseSource, build_target_request};
use jackdaw_policy::direct::{Placement, RequestKind, RunOutcome, TargetEntry, TargetId};

use crate::crash_check::{CheckFuture, check_crash, check_end};
use crate::local_response::LocalResponse;
use crate::log_text::format_error;
use crate::read_meter::MeteredBody;
use crate::request_context::RequestContext;
use crate::response_relay::RelaySource;
use crate::run_guard::RunGuard;
use crate::stream_head::StreamHead;
use crate::target_pool::{ReportError, SendError, TargetConnection};

/// A response received from a target.
pub(crate) enum TargetResponse {
    /// A completely buffered response.
    Complete(Box<response::Parts>, Bytes),
    /// An event stream whose body is still arriving.
    Stream(Box<response::Parts>, RelaySource),
}

/// Outcome of sending a request to one target.
enum SendOutcome {
    Answered(TargetResponse),
    /// The target did not run the request; another one may be tried.
    NotRun,
    /// The target may have run the request, but there is no usable response.
    MayHaveRun,
}

/// Failure to get the head of a response from a target.
pub(crate) enum TransferError {
    NotSent,
    /// Another process has the target's place, so the request was not sent.
    Replaced,
    /// The process in the target's place does not say who it is, so the request was not sent.
    Unconfirmed(ReportError),
    /// The target wants no requests any more, so the request was not sent.
    Withheld,
    Broken(hyper::Error),
}

/// Result of sending on one connection.
enum TransferResult {
    Answered(Response<MeteredBody>),
    /// Nothing was sent, since the connection was closed; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
}

/// Resumes a stream at another target after the last event that the caller got. Returns `None` if a
/// retry is not allowed or fails.
pub(crate) async fn resume_stream(context: RequestContext) -> Option<RelaySource> {
    context.check_crash().await;
    if !context.may_retry() {
        return None;
    }
    match obtain_response(&context).await {
        Ok(TargetResponse::Stream(_, source)) => {
            context.log_resumption();
            Some(source)
        }
        Ok(TargetResponse::Complete(parts, _)) => {
            context.log_failed_resumption(parts.status.as_str());
            None
        }
        Err(failure) => {
            context.log_failed_resumption(failure.kind.slug());
            None
        }
    }
}

/// Sends a request to targets until one responds or no further attempt is allowed.
///
/// # Errors
///
/// The router's own response to the caller if no target responded.
pub(crate) async fn obtain_response(
    context: &RequestContext,
) -> Result<TargetResponse, LocalResponse> {
    loop {
        match context.place() {
            Placement::Refuse { reason, retry_after } => {
                if context.inner.runs.get() > 0 {
                    context.log_refused_retry(reason);
                    return Err(LocalResponse::interrupted());
                }
                return Err(LocalResponse::refusal(reason, retry_after));
            }
            Placement::Send { target, expected, prefill_tokens, cache_source } => {
                context.record_placement(target, expected);
                match context.send(target, prefill_tokens, cache_source).await {
                    SendOutcome::Answered(response) => return Ok(response),
                    SendOutcome::NotRun => context.check_unrun_sends()?,
                    SendOutcome::MayHaveRun => {
                        context.check_crash().await;
                        if !context.may_retry() {
                            return Err(LocalResponse::interrupted());
                        }
                    }
                }
            }
        }
    }
}

impl RequestContext {
    /// Waits until it is known whether the last target crashed with this request, so that a retry is
    /// decided with that knowledge.
    async fn check_crash(&self) {
        if let Some(process) = self.inner.last_process.get() {
            check_crash(&self.inner.state, process).await;
        }
    }

    /// Returns a check of the last target after its answer ended with its connection, as it also does
    /// if the target crashed midway.
    pub(crate) fn check_end(&self) -> CheckFuture {
        match self.inner.last_process.get() {
            Some(process) => check_end(&self.inner.state, process, Instant::now()),
            None => std::future::ready(false).boxed_local().shared(),
        }
    }

    /// Sends the request to one target and classifies the result.
    async fn send(
        &self,
        target: TargetId,
        prefill_tokens: u64,
        cache_source: Option<TargetId>,
    ) -> SendOutcome {
        let inner = &self.inner;
        let entry = inner.state.router().targets.find(target).cloned();
        let Some(entry) = entry else {
            return SendOutcome::NotRun;
        };
        let (name, address) = (entry.name.as_str(), entry.address);
        let run = {
            let mut router = inner.state.router();
            router.start_run(inner.state.now(), &self.policy_view(), target, prefill_tokens)
        };
        let mut guard = RunGuard::new(&inner.state, run);
        match self.connect(target, address).await {
            Ok(connection) => guard.attach(connection),
            Err(outcome) => {
                guard.end(outcome);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                return SendOutcome::NotRun;
            }
        }
        let source = cache_source.and_then(|source| {
            inner.state.router().targets.find(source).map(|entry| entry.address)
        });
        let headers = FleetHeaders {
            target: name,
            cache_source: source,
            customer: inner.request.customer.as_ref().map(|customer| customer.name.as_str()),
            time_left: self.time_left(),
            resume_after: inner.resume_after.get(),
        };
        let request =
            build_target_request(&inner.request.parts, inner.request.body.clone(), &headers);
        inner.runs.set(inner.runs.get() + 1);
        inner.state.metrics.sends.inc();
        let result = self.transfer(&mut guard, request, &entry).await;
        match result {
            Ok(response) => self.classify_response(guard, response).await,
            Err(TransferError::NotSent) => {
                inner.runs.set(inner.runs.get() - 1);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                guard.end(RunOutcome::Unreachable);
                SendOutcome::NotRun
            }
            Err(TransferError::Replaced) => self.record_unrun_send(guard, RunOutcome::Replaced),
            Err(TransferError::Unconfirmed(error)) => {
                self.log_unconfirmed(&entry, error);
                guard.discard_connection();
                self.record_unrun_send(guard, RunOutcome::Rejected)
            }
            Err(TransferError::Withheld) => {
                log::info!(
                    request:% = inner.request.head.id,
                    target:% = name;
                    "request not sent; the target pauses or leaves"
                );
                inner.runs.set(inner.runs.get() - 1);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                guard.end(RunOutcome::Abandoned);
                SendOutcome::NotRun
            }
            Err(TransferError::Broken(error)) => {
                log::info!(
                    request:% = inner.request.head.id,
                    target_name = name,
                    target_id = target.0,
                    digest = inner.digest(),
                    parts = inner.shared_parts(),
                    error = format_error(&error);
                    "target connection failed before the response"
                );
                guard.end(RunOutcome::Broken);
                SendOutcome::MayHaveRun
            }
        }
    }

    /// Returns an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// How the run ends if no connection can be opened.
    async fn connect(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<TargetConnection, RunOutcome> {
        let state = &self.inner.state;
        if let Some(connection) = state.pool.take_idle(target) {
            return Ok(connection);
        }
        self.connect_new(target, address).await
    }

    async fn connect_new(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<TargetConnection, RunOutcome> {
        let state = &self.inner.state;
        state.metrics.connections.inc();
        let error = match state.pool.connect(target, address).await {
            Ok(connection) => return Ok(connection),
            Err(error) => error,
        };
        log::info!(
            request:% = self.inner.request.head.id,
            address:% = address,
            error:% = error;
            "failed to connect to the target"
        );
        if is_local_shortage(&error) {
            state.callers.drain_some();
            return Err(RunOutcome::Abandoned);
        }
        Err(RunOutcome::Unreachable)
    }

    /// Sends on the guard's connection, and retries on a new connection if nothing was sent.
    async fn transfer(
        &self,
        guard: &mut RunGuard,
        request: Request<Full<Bytes>>,
        entry: &TargetEntry,
    ) -> Result<Response<MeteredBody>, TransferError> {
        let request = match self.transfer_once(guard, request, entry).await? {
            TransferResult::Answered(response) => return Ok(response),
            TransferResult::NotSent(request) => request,
        };
        let connection = self.connect_new(entry.id(), entry.address).await;
        guard.attach(connection.map_err(|_| TransferError::NotSent)?);
        match self.transfer_once(guard, *request, entry).await? {
            TransferResult::Answered(response) => Ok(response),
            TransferResult::NotSent(_) => Err(TransferError::NotSent),
        }
    }

    async fn transfer_once(
        &self,
        guard: &mut RunGuard,
        request: Request<Full<Bytes>>,
        entry: &TargetEntry,
    ) -> Result<TransferResult, TransferError> {
        let is_reused = guard.connection().is_some_and(|connection| connection.is_reused());
        match self.confirm_target(guard, entry).await {
            Ok(()) => {}
            // The target may have closed a connection that was idle.
            Err(TransferError::Unconfirmed(ReportError::Broken)) if is_reused => {
                return Ok(TransferResult::NotSent(Box::new(request)));
            }
            Err(error) => return Err(error),
        }
        // The target may have asked for a pause or announced its leaving in the meantime.
        if !self.accepts_placed(entry.id()) {
            return Err(TransferError::Withheld);
        }
        let Some(connection) = guard.connection() else {
            return Err(TransferError::NotSent);
        };
        match connection.send(request).await {
            Ok(response) => Ok(TransferResult::Answered(response)),
            Err(SendError::Broken(error)) => Err(TransferError::Broken(error)),
            Err(SendError::NotSent(request)) => Ok(TransferResult::NotSent(request)),
        }
    }

    fn accepts_placed(&self, target: TargetId) -> bool {
        let state = &self.inner.state;
        state.router().accepts_placed(state.now(), target)
    }

    /// Determines from the response's head whether the target ran the request.
    async fn classify_response(
        &self,
        mut guard: RunGuard,
        response: Response<MeteredBody>,
    ) -> SendOutcome {
        let inner = &self.inner;
        let (parts, body) = response.into_parts();
        let head = ResponseHead::parse(&parts, &inner.request.head.id);
        if !head.is_identified {
            guard.disable_reuse();
        }
        let target = TargetId(inner.last_target.get());
        let is_from_target = matches!(head.source, ResponseSource::Ran | ResponseSource::NotRun);
        if head.is_leaving && is_from_target {
            inner.state.record_leaving(target, &inner.request.head.id);
        }
        if is_from_target && guard.record_limit(head.limit) {
            inner.state.handle_limit(target, head.limit, &inner.request.head.id);
        }
        if head.pause.is_some() && is_from_target {
            inner.state.metrics.pauses.inc();
        }
        match head.source {
            ResponseSource::NotRun => {
                let outcome = head.pause.map_or(RunOutcome::Rejected, RunOutcome::Paused);
                self.record_unrun_send(guard, outcome)
            }
            ResponseSource::OtherTarget => self.record_unrun_send(guard, RunOutcome::Replaced),
            ResponseSource::OtherRequest | ResponseSource::InvalidStatus => {
                log::warn!(
                    request:% = inner.request.head.id,
                    target_name = inner.target_name(),
                    target_id = inner.last_target.get(),
                    reason:? = head.source,
                    status = head.status.as_u16();
                    "response is no answer to this request; closing the connection"
                );
                inner.state.pool.disable_reuse(TargetId(inner.last_target.get()));
                guard.end(RunOutcome::Broken);
                SendOutcome::MayHaveRun
            }
            ResponseSource::Ran => {
                guard.mark_begun();
                self.receive_response(guard, head, Box::new(parts), body).await
            }
        }
    }

    fn record_unrun_send(&self, guard: RunGuard, outcome: RunOutcome) -> SendOutcome {
        let inner = &self.inner;
        log::info!(
            request:% = inner.request.head.id,
            target_name = inner.target_name(),
            target_id = inner.last_target.get(),
            reason:? = outcome;
            "target did not run the request"
        );
        inner.runs.set(inner.runs.get() - 1);
        inner.unrun_sends.set(inner.unrun_sends.get() + 1);
        guard.end(outcome);
        SendOutcome::NotRun
    }

    async fn receive_response(
        &self,
        guard: RunGuard,
        head: ResponseHead,
        parts: Box<response::Parts>,
        body: MeteredBody,
    ) -> SendOutcome {
        let inner = &self.inner;
        let is_stream = matches!(inner.request.route.kind, RequestKind::Stream { .. });
        if is_stream && head.is_signed_success() {
            let found = StreamHead::new(&parts);
            if let Some(begun) = inner.stream_head.get().filter(|begun| **begun != found) {
                log::warn!(
                    request:% = inner.request.head.id,
                    target_name = inner.target_name(),
                    target_id = inner.last_target.get(),
                    begun:? = begun,
                    found:? = found;
                    "answer does not go on with the stream; discarded"
                );
                guard.end(RunOutcome::Broken);
                return SendOutcome::MayHaveRun;
            }
            return SendOutcome::Answered(TargetResponse::Stream(
                parts,
                RelaySource { guard, body, is_framed: head.is_framed },
            ));
        }
        guard.mark_started();
        // A body that is known to be empty needs no mark of its end.
        let ends_with_connection = !head.is_framed && body.size_hint().exact().is_none();
        let body = match inner.state.body_buffer.collect(body).await {
            Ok(body) => body,
            Err(error) => {
                log::info!(
                    request:% = inner.request.head.id,
                    target_name = inner.target_name(),
                    target_id = inner.last_target.get(),
                    error:% = error;
                    "failed to read the target's response body"
                );
                guard.end(RunOutcome::Broken);
                return SendOutcome::MayHaveRun;
            }
        };
        if ends_with_connection && self.check_end().await {
            guard.end(RunOutcome::Broken);
            self.record_unmarked_crash();
            return SendOutcome::MayHaveRun;
        }
        if head.status.is_success() && !head.is_signed {
            log::warn!(
                request:% = inner.request.head.id,
                target_name = inner.target_name(),
                target_id = inner.last_target.get();
                "response has no signature; discarded"
            );
            guard.end(RunOutcome::Broken);
            return SendOutcome::MayHaveRun;
        }
        guard.end(match head.pause {
            Some(pause) => RunOutcome::Paused(pause),
            None if head.status.is_server_error() => RunOutcome::Failed,
            None => RunOutcome::Whole,
        });
        // The target did run the request, so a status that promises the opposite is not forwarded.
        if head.status_means_not_run() {
            return SendOutcome::MayHaveRun;
        }
        if head.status == StatusCode::INTERNAL_SERVER_ERROR && self.may_retry() {
            // The error response is held back, because another target may succeed.
            return self.retry_failed(parts, body).await;
        }
        SendOutcome::Answered(TargetResponse::Complete(parts, body))
    }

    /// Retries a failed request at another target; returns the first error response if that fails.
    async fn retry_failed(&self, parts: Box<response::Parts>, body: Bytes) -> SendOutcome {
        match self.place() {
            Placement::Refuse { .. } => {
                SendOutcome::Answered(TargetResponse::Complete(parts, body))
            }
            Placement::Send { target, expected, prefill_tokens, cache_source } => {
                self.record_placement(target, expected);
                match Box::pin(self.send(target, prefill_tokens, cache_source)).await {
                    SendOutcome::Answered(response) => SendOutcome::Answered(response),
                    _ => SendOutcome::Answered(TargetResponse::Complete(parts, body)),
                }
            }
        }
    }
}

/// Returns whether the process or the system is out of file descriptors (`EMFILE` or `ENFILE`),
/// which is not a fault of the target.
fn is_local_shortage(error: &std::io::Error) -> bool {
    const TOO_MANY_OPEN_FILES: [i32; 2] = [23, 24];
    error.raw_os_error().is_some_and(|code| TOO_MANY_OPEN_FILES.contains(&code))
}
