//! Sending a request to targets, and what their answers mean for it.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use jackdaw_platform::{FleetHeaders, ResponseHead, ResponseSource, build_target_request};
use jackdaw_policy::direct::{Placement, RequestKind, RunOutcome, TargetId};

use crate::local_response::LocalResponse;
use crate::request_context::RequestContext;
use crate::response_relay::RelaySource;
use crate::run_guard::RunGuard;
use crate::target_pool::{SendError, TargetConnection};

/// The most bytes of an answer that is read whole before it is passed on.
const BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// What a target answered.
pub(crate) enum TargetResponse {
    /// A whole answer.
    Whole(Box<response::Parts>, Bytes),
    /// A stream of events.
    Stream(Box<response::Parts>, RelaySource),
}

/// How one send ended.
enum SendOutcome {
    Answered(TargetResponse),
    /// No target ran the request; another may be tried.
    NotRun,
    /// A target may have run the request.
    MayHaveRun,
}

/// How a request failed on its way to a target.
enum TransferError {
    NotSent,
    Broken(hyper::Error),
}

/// Goes on with a stream at another target after an event; `None` where it may not.
pub(crate) async fn resume_stream(
    context: RequestContext,
    after: Option<u64>,
) -> Option<RelaySource> {
    if !context.may_retry() {
        return None;
    }
    match obtain_response(&context, after).await {
        Ok(TargetResponse::Stream(_, source)) => Some(source),
        Ok(TargetResponse::Whole(parts, _)) => {
            context.log_failed_resumption(parts.status.as_str());
            None
        }
        Err(answer) => {
            context.log_failed_resumption(answer.kind.slug());
            None
        }
    }
}

/// Sends a request to targets until one answers or none may be tried.
pub(crate) async fn obtain_response(
    context: &RequestContext,
    resume_after: Option<u64>,
) -> Result<TargetResponse, LocalResponse> {
    loop {
        match context.place() {
            Placement::Refuse { reason, retry_after } => {
                if context.inner.runs.get() > 0 {
                    return Err(LocalResponse::interrupted());
                }
                return Err(LocalResponse::refusal(reason, retry_after));
            }
            Placement::Send { target, expected, prefill_tokens } => {
                context.record_placement(target, expected);
                match context.send(target, prefill_tokens, resume_after).await {
                    SendOutcome::Answered(answer) => return Ok(answer),
                    SendOutcome::NotRun => context.check_unrun_sends()?,
                    SendOutcome::MayHaveRun => {
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
    /// Sends the request to a target.
    async fn send(
        &self,
        target: TargetId,
        prefill_tokens: u64,
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
            router.start_run(inner.state.now(), &self.policy_view(), target, prefill_tokens)
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
        let headers = FleetHeaders {
            target: &name,
            customer: inner.request.customer.as_ref().map(|customer| customer.name.as_str()),
            time_left: self.time_left(),
            resume_after,
        };
        let request =
            build_target_request(&inner.request.parts, inner.request.body.clone(), &headers);
        inner.runs.set(inner.runs.get() + 1);
        inner.state.metrics.sends.inc();
        let answer = self.transfer(&mut guard, request, target, address).await;
        match answer {
            Ok(answer) => self.classify_response(guard, answer).await,
            Err(TransferError::NotSent) => {
                inner.runs.set(inner.runs.get() - 1);
                inner.unrun_sends.set(inner.unrun_sends.get() + 1);
                guard.end(RunOutcome::Unreachable);
                SendOutcome::NotRun
            }
            Err(TransferError::Broken(error)) => {
                log::info!(
                    request:% = inner.request.head.id,
                    target:% = name,
                    error:% = error;
                    "the target broke off before its answer"
                );
                guard.end(RunOutcome::Broken);
                SendOutcome::MayHaveRun
            }
        }
    }

    /// Returns an idle connection or a new one, or how the run ends without one.
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
            "no connection to the target"
        );
        if is_local_shortage(&error) {
            state.callers.drain_some();
            return Err(RunOutcome::Abandoned);
        }
        Err(RunOutcome::Unreachable)
    }

    /// Sends on the guard's connection, and once more on a new one where nothing was sent.
    async fn transfer(
        &self,
        guard: &mut RunGuard,
        request: Request<Full<Bytes>>,
        target: TargetId,
        address: SocketAddr,
    ) -> Result<Response<Incoming>, TransferError> {
        let Some(connection) = guard.connection() else {
            return Err(TransferError::NotSent);
        };
        let request = match connection.send(request).await {
            Ok(answer) => return Ok(answer),
            Err(SendError::Broken(error)) => return Err(TransferError::Broken(error)),
            Err(SendError::NotSent(request)) => request,
        };
        let connection = self.connect_new(target, address).await;
        guard.attach(connection.map_err(|_| TransferError::NotSent)?);
        let Some(connection) = guard.connection() else {
            return Err(TransferError::NotSent);
        };
        match connection.send(*request).await {
            Ok(answer) => Ok(answer),
            Err(SendError::Broken(error)) => Err(TransferError::Broken(error)),
            Err(SendError::NotSent(_)) => Err(TransferError::NotSent),
        }
    }

    /// Decides what an answer's head means for the request.
    async fn classify_response(&self, guard: RunGuard, answer: Response<Incoming>) -> SendOutcome {
        let inner = &self.inner;
        let (parts, body) = answer.into_parts();
        let head = ResponseHead::parse(&parts, &inner.request.head.id);
        match head.source {
            ResponseSource::NotRun => self.record_unrun_send(guard, RunOutcome::Rejected),
            ResponseSource::OtherTarget => self.record_unrun_send(guard, RunOutcome::Replaced),
            ResponseSource::OtherRequest => {
                log::warn!(
                    request:% = inner.request.head.id,
                    target_id = inner.last_target.get(),
                    status = head.status.as_u16();
                    "an answer to another request, dropped with its connection"
                );
                inner.state.pool.disable_reuse(TargetId(inner.last_target.get()));
                guard.end(RunOutcome::Broken);
                SendOutcome::MayHaveRun
            }
            ResponseSource::Ran => self.receive_response(guard, head, Box::new(parts), body).await,
        }
    }

    fn record_unrun_send(&self, guard: RunGuard, end: RunOutcome) -> SendOutcome {
        let inner = &self.inner;
        log::info!(
            request:% = inner.request.head.id,
            target_id = inner.last_target.get(),
            reason:? = end;
            "the target did not run the request"
        );
        inner.runs.set(inner.runs.get() - 1);
        inner.unrun_sends.set(inner.unrun_sends.get() + 1);
        guard.end(end);
        SendOutcome::NotRun
    }

    async fn receive_response(
        &self,
        guard: RunGuard,
        head: ResponseHead,
        parts: Box<response::Parts>,
        body: Incoming,
    ) -> SendOutcome {
        let inner = &self.inner;
        let is_stream = matches!(inner.request.route.kind, RequestKind::Stream { .. });
        if is_stream && head.is_signed_success() {
            return SendOutcome::Answered(TargetResponse::Stream(
                parts,
                RelaySource { guard, body },
            ));
        }
        guard.mark_started();
        let body = Limited::new(body, BUFFERED_RESPONSE_BYTES).collect().await;
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                log::info!(
                    request:% = inner.request.head.id,
                    target_id = inner.last_target.get(),
                    error:% = error;
                    "the target's answer is not whole"
                );
                guard.end(RunOutcome::Broken);
                return SendOutcome::MayHaveRun;
            }
        };
        if head.status.is_success() && !head.is_signed {
            log::warn!(request:% = inner.request.head.id, target_id = inner.last_target.get(); "an answer without a signature, dropped");
            guard.end(RunOutcome::Broken);
            return SendOutcome::MayHaveRun;
        }
        guard.end(if head.status.is_server_error() {
            RunOutcome::Failed
        } else {
            RunOutcome::Whole
        });
        // A status that promises no run would be false here.
        if head.status_means_not_run() {
            return SendOutcome::MayHaveRun;
        }
        if head.status == StatusCode::INTERNAL_SERVER_ERROR && self.may_retry() {
            // The failed answer is kept back: a further target may do better.
            return self.retry_failed(parts, body).await;
        }
        SendOutcome::Answered(TargetResponse::Whole(parts, body))
    }

    /// Tries a further target after a failure; returns the first failure where that fails too.
    async fn retry_failed(&self, parts: Box<response::Parts>, body: Bytes) -> SendOutcome {
        match self.place() {
            Placement::Refuse { .. } => SendOutcome::Answered(TargetResponse::Whole(parts, body)),
            Placement::Send { target, expected, prefill_tokens } => {
                self.record_placement(target, expected);
                match Box::pin(self.send(target, prefill_tokens, None)).await {
                    SendOutcome::Answered(answer) => SendOutcome::Answered(answer),
                    _ => SendOutcome::Answered(TargetResponse::Whole(parts, body)),
                }
            }
        }
    }
}

/// Returns whether this process lacks descriptors; the target is not to blame then.
fn is_local_shortage(error: &std::io::Error) -> bool {
    const TOO_MANY_OPEN_FILES: [i32; 2] = [23, 24];
    error.raw_os_error().is_some_and(|code| TOO_MANY_OPEN_FILES.contains(&code))
}
