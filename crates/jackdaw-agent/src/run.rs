//! Execution of a run: forwards a granted request to the target and the response to the router.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::Addr;
use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use error_stack::Report;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::Stream;
use jackdaw_base::{
    CrashEvidence, ErrorKind, OfferId, ServiceKind, VmId, WorkUnits, describe_report,
};
use jackdaw_link::{IncomingRun, RunReply, RunRequest, RunWriter};
use jackdaw_objects::{ClaimWriter, PlatformClient};
use jackdaw_policy::{AgentEvent, SuspectStatus};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::sync::Semaphore;

use crate::decision_actor::{AgentInput, BeginRun, DecisionActor, ReadSuspectStatus, RunPermit};
use crate::metrics::AgentMetrics;
use crate::target_client::{TargetClient, TargetFailure, TargetResponse};

/// Retry delay of a recording request that failed to obtain its claim or whose claim was released,
/// in milliseconds.
const CLAIM_RETRY_MILLIS: u64 = 1000;

/// Time during which sending a request is retried while the target is unreachable.
const TARGET_RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a crash of the target during which no requests are sent, because a socket that is
/// still listening might accept a request and lose it.
const TARGET_COOLDOWN: Duration = Duration::from_millis(100);

/// Interval between checks for the end of the cooldown, and between attempts to send a request.
const TARGET_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a waiting suspect checks whether it has been cleared or refused.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Context shared by all runs of an agent.
pub struct RunContext {
    /// Actor that owns the agent state machine.
    pub actor: Addr<DecisionActor>,
    /// HTTP client of the target.
    pub client: TargetClient,
    /// Metrics of the agent.
    pub metrics: AgentMetrics,
    /// Writer of the claims of recording requests.
    pub claims: ClaimWriter<PlatformClient>,
    /// VM of the agent.
    pub vm: VmId,
    /// Time at which the target last failed to complete a response.
    pub last_target_loss: Cell<Option<Instant>>,
    /// Semaphore with one permit, so that only one suspect runs at a time.
    pub suspect_permits: Semaphore,
}

/// Body or final event of an engine's response, as far as the agent reads it.
#[derive(Deserialize)]
struct UsageRecord {
    /// Token counts; present in complete bodies and in one event at the end of a stream.
    usage: Option<UsageCounts>,
}

/// Token counts of a response.
#[derive(Deserialize)]
struct UsageCounts {
    /// Number of tokens that the engine generated.
    completion_tokens: u64,
}

/// Measures the cost of a run while its response streams, and reports it to the actor.
struct RunMeter {
    /// Granted offer.
    offer: OfferId,
    /// Actor that owns the agent state machine.
    actor: Addr<DecisionActor>,
    /// Start of the run.
    start: Instant,
    /// Time of the last token.
    last_token: Option<Instant>,
    /// Number of tokens so far.
    tokens: u64,
    /// Kind of the target's service, which determines the unit of cost.
    kind: ServiceKind,
    /// Whether an earlier run delivered the beginning of the response.
    is_resumed: bool,
}

/// Executes a run; the run stream always ends with a final reply or a reset.
pub async fn execute_run(router: VmId, run: IncomingRun, context: Rc<RunContext>) {
    let IncomingRun { request, mut writer } = run;
    let begin = BeginRun { router, offer: request.offer, fingerprint: request.fingerprint };
    let Some(RunPermit(status)) = context.actor.send(begin).await.unwrap_or(None) else {
        log::warn!("refusing run from router {router}: its offer was not granted");
        refuse(&mut writer, ErrorKind::NotReady, 0).await;
        return;
    };
    let mut meter = RunMeter::start(&request, &context);
    let final_reply = match status {
        SuspectStatus::Clear => run_request(&request, &mut writer, &context, &mut meter).await,
        SuspectStatus::Suspect => run_suspect(&request, &mut writer, &context, &mut meter).await,
        SuspectStatus::Refused => Some(refuse_suspect()),
    };
    // As in `CrashEvidence`: a completed run has no crashed target and clears its request.
    let crashed_target = match &final_reply {
        Some(RunReply::Broken { crashed: true }) => {
            context.last_target_loss.set(Some(Instant::now()));
            Some(Some(context.vm))
        }
        Some(RunReply::End { .. }) => Some(None),
        _ => None,
    };
    if let Some(target) = crashed_target {
        let evidence = CrashEvidence { fingerprint: request.fingerprint, target };
        context.actor.do_send(AgentInput::Evidence(evidence));
    }
    context.metrics.count_run_end(final_reply.as_ref());
    context.metrics.count_units(meter.units());
    if let Some(reply) = final_reply {
        // The send fails if the link is lost; the router then treats the run as interrupted.
        let _ = writer.send(&reply).await;
    }
    // After the reply is sent, because a draining agent shuts down when its last run finishes.
    meter.finish();
}

/// Runs a suspect, a request that was in flight at a crash of a target.
///
/// It runs when no other suspect does. If it is cleared while it waits, it runs like any other
/// request.
async fn run_suspect(
    request: &RunRequest,
    writer: &mut RunWriter,
    context: &RunContext,
    meter: &mut RunMeter,
) -> Option<RunReply> {
    let fingerprint = request.fingerprint;
    loop {
        let permit = tokio::select! {
            permit = context.suspect_permits.acquire() => permit.ok(),
            () = actix_rt::time::sleep(SUSPECT_POLL_INTERVAL) => None,
            () = writer.cancelled() => return None,
        };
        // The previous suspect may have been the same request under another identifier.
        let RunPermit(status) = context.actor.send(ReadSuspectStatus { fingerprint }).await.ok()?;
        match status {
            SuspectStatus::Refused => return Some(refuse_suspect()),
            SuspectStatus::Suspect if permit.is_none() => {}
            SuspectStatus::Suspect => {
                return run_request(request, writer, context, meter).await;
            }
            SuspectStatus::Clear => {
                drop(permit);
                return run_request(request, writer, context, meter).await;
            }
        }
    }
}

fn refuse_suspect() -> RunReply {
    RunReply::Refused { kind: ErrorKind::Quarantined, retry_after_millis: 0 }
}

/// Claims a recording request, sends the request to the target and streams the response.
///
/// A recording request is not idempotent; the claim on its idempotency key keeps it from running
/// twice.
///
/// Returns the final reply, or `None` if the link is lost or the router cancelled the run.
async fn run_request(
    request: &RunRequest,
    writer: &mut RunWriter,
    context: &RunContext,
    meter: &mut RunMeter,
) -> Option<RunReply> {
    if let Some(key) = &request.idempotency_key
        && let Err(report) = context.claims.claim(key).await
    {
        let kind = *report.current_context();
        log::info!("recording request not started: {}", describe_report(&report));
        return Some(RunReply::Refused { kind, retry_after_millis: CLAIM_RETRY_MILLIS });
    }
    let result = tokio::select! {
        result = send_with_retries(request, context) => result,
        () = writer.cancelled(), if request.idempotency_key.is_none() => return None,
    };
    let response = match result {
        Ok(response) => response,
        Err(failure) => return Some(reply_to_failure(failure, request, context)),
    };
    match stream_response(response, writer, meter).await {
        Ok(length) => Some(RunReply::End { length, units: meter.units() }),
        Err(report) if *report.current_context() == ErrorKind::LinkFailed => None,
        Err(report) => {
            log::warn!("incomplete response from the target: {report}");
            Some(RunReply::Broken { crashed: true })
        }
    }
}

/// Sends a request, with retries for a limited time while the target is unreachable.
///
/// Without the retries, an agent whose target restarts after a crash would refuse requests faster
/// than other agents can accept them.
async fn send_with_retries(
    request: &RunRequest,
    context: &RunContext,
) -> Result<TargetResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>, TargetFailure>
{
    let start = Instant::now();
    while context.last_target_loss.get().is_some_and(|loss| loss.elapsed() < TARGET_COOLDOWN) {
        actix_rt::time::sleep(TARGET_RETRY_INTERVAL).await;
    }
    loop {
        match context.client.send(request).await {
            Err(TargetFailure::NotSent(report)) if start.elapsed() < TARGET_RETRY_TIMEOUT => {
                log::debug!("target unreachable, retrying: {report}");
                actix_rt::time::sleep(TARGET_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

fn reply_to_failure(
    failure: TargetFailure,
    request: &RunRequest,
    context: &RunContext,
) -> RunReply {
    match failure {
        TargetFailure::NotSent(report) => {
            log::warn!("target unreachable: {report}");
            let Some(key) = &request.idempotency_key else {
                return RunReply::Refused { kind: ErrorKind::NoCapacity, retry_after_millis: 0 };
            };
            // The caller may retry later, but the router must not try another agent before the
            // claim is released.
            context.claims.release(key);
            let kind = ErrorKind::ClaimUnavailable;
            RunReply::Refused { kind, retry_after_millis: CLAIM_RETRY_MILLIS }
        }
        TargetFailure::Lost(report) => {
            log::warn!("connection to the target lost: {report}");
            RunReply::Broken { crashed: true }
        }
    }
}

/// Forwards the response and returns the length of its body in bytes.
///
/// # Errors
///
/// - [`ErrorKind::LinkFailed`] if the link is lost or the router cancelled the run.
/// - [`ErrorKind::Interrupted`] if the response of the target is incomplete.
async fn stream_response<S>(
    response: TargetResponse<S>,
    writer: &mut RunWriter,
    meter: &mut RunMeter,
) -> Result<u64, Report<ErrorKind>>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let head = RunReply::Head { status: response.status, headers: response.headers };
    writer.send(&head).await?;
    if response.is_event_stream {
        return stream_events(response.body, writer, meter).await;
    }
    let mut body = response.body;
    let mut buffer = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            chunk = body.next() => chunk,
            () = writer.cancelled() => return Err(Report::new(ErrorKind::LinkFailed)),
        };
        let Some(chunk) = chunk else { break };
        buffer.extend_from_slice(&chunk.map_err(|error| interrupted_body(&error))?);
    }
    let length = buffer.len() as u64;
    check_complete(&buffer, response.content_length, response.is_json)?;
    meter.count_body(&buffer);
    writer.send(&RunReply::Chunk { events: 0, bytes: buffer.freeze() }).await?;
    Ok(length)
}

async fn stream_events<S>(
    body: S,
    writer: &mut RunWriter,
    meter: &mut RunMeter,
) -> Result<u64, Report<ErrorKind>>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut events = pin!(body.eventsource());
    let mut length = 0;
    let mut is_done = false;
    loop {
        let event = tokio::select! {
            event = events.next() => event,
            () = writer.cancelled() => return Err(Report::new(ErrorKind::LinkFailed)),
        };
        let Some(event) = event else { break };
        let event = event.map_err(|error| interrupted_body(&error))?;
        is_done = event.data == "[DONE]";
        meter.count_event(&event.data, is_done);
        let bytes = Bytes::from(format!("data: {}\n\n", event.data));
        length += bytes.len() as u64;
        writer.send(&RunReply::Chunk { events: 1, bytes }).await?;
    }
    if !is_done {
        return Err(Report::new(ErrorKind::Interrupted)
            .attach("event stream ended without a final [DONE] event"));
    }
    Ok(length)
}

/// Checks that a body is complete, because the HTTP client ends a truncated body without an error.
///
/// # Errors
///
/// [`ErrorKind::Interrupted`] if the length differs from `content_length` or, without
/// `content_length`, if a JSON body is invalid.
fn check_complete(
    body: &[u8],
    content_length: Option<u64>,
    is_json: bool,
) -> Result<(), Report<ErrorKind>> {
    let length = body.len() as u64;
    match content_length {
        Some(content_length) if content_length != length => {
            Err(Report::new(ErrorKind::Interrupted)
                .attach(format!("received {length} of {content_length} bytes")))
        }
        None if is_json && serde_json::from_slice::<IgnoredAny>(body).is_err() => {
            Err(Report::new(ErrorKind::Interrupted).attach("truncated JSON body"))
        }
        _ => Ok(()),
    }
}

fn interrupted_body(error: &impl std::fmt::Display) -> Report<ErrorKind> {
    Report::new(ErrorKind::Interrupted).attach(error.to_string())
}

async fn refuse(writer: &mut RunWriter, kind: ErrorKind, retry_after_millis: u64) {
    // The send fails if the link is lost; nothing has run, so no further action is needed.
    let _ = writer.send(&RunReply::Refused { kind, retry_after_millis }).await;
}

impl RunMeter {
    fn start(request: &RunRequest, context: &RunContext) -> RunMeter {
        RunMeter {
            offer: request.offer,
            is_resumed: request.resume_from > 0,
            actor: context.actor.clone(),
            start: Instant::now(),
            last_token: None,
            tokens: 0,
            kind: context.client.kind(),
        }
    }

    /// Returns the cost so far: tokens for engines, milliseconds for plain services.
    fn units(&self) -> WorkUnits {
        match self.kind {
            ServiceKind::Engine => WorkUnits(self.tokens),
            ServiceKind::Plain => WorkUnits(self.start.elapsed().as_millis().max(1) as u64),
        }
    }

    fn count_event(&mut self, data: &str, is_done: bool) {
        if is_done {
            return;
        }
        if data.contains("\"usage\"")
            && let Ok(UsageRecord { usage: Some(counts) }) = serde_json::from_str(data)
        {
            // For a resumed stream, the engine also counts the tokens of earlier runs, which are
            // already charged.
            if !self.is_resumed {
                self.tokens = self.tokens.max(counts.completion_tokens);
            }
            return;
        }
        self.tokens += 1;
        let now = Instant::now();
        let event = match self.last_token.replace(now) {
            None => AgentEvent::FirstToken { elapsed: now - self.start },
            Some(last) => AgentEvent::NextToken { elapsed: now - last },
        };
        self.actor.do_send(AgentInput::Progress(event));
        let progress = AgentEvent::RunProgressed { offer: self.offer, units: self.units() };
        self.actor.do_send(AgentInput::Progress(progress));
    }

    fn count_body(&mut self, body: &[u8]) {
        if self.kind != ServiceKind::Engine {
            return;
        }
        if let Ok(UsageRecord { usage: Some(counts) }) = serde_json::from_slice(body) {
            self.tokens = counts.completion_tokens;
        }
    }

    fn finish(self) {
        let event = AgentEvent::RunEnded { offer: self.offer, units: self.units() };
        self.actor.do_send(AgentInput::Progress(event));
    }
}
