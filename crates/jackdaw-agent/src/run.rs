//! One run: from the router's run stream to the target and back.

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

use crate::decision_actor::{AgentInput, BeginRun, DecisionActor, ReadStanding, RunPermit};
use crate::metrics::AgentMetrics;
use crate::target_client::{TargetAnswer, TargetClient, TargetFailure};

/// The time after which a request that no claim could be kept for may come again, in
/// milliseconds.
const CLAIM_RETRY_MILLIS: u64 = 1000;

/// The time for which a request waits for a target that cannot be reached.
const TARGET_WAIT: Duration = Duration::from_secs(1);

/// The time for which a target that went down is left alone, since what still listens there may
/// take a request and lose it.
const TARGET_REST: Duration = Duration::from_millis(100);

/// The time between two tries to reach it.
const TARGET_PAUSE: Duration = Duration::from_millis(50);

/// The time after which a suspect that waits learns whether it has been cleared.
const SUSPECT_PAUSE: Duration = Duration::from_millis(100);

/// What all runs of an agent share.
pub struct RunContext {
    /// The decisions.
    pub actor: Addr<DecisionActor>,
    /// The client of the target.
    pub client: TargetClient,
    /// The metrics.
    pub metrics: AgentMetrics,
    /// The claims of recordings.
    pub claims: ClaimWriter<PlatformClient>,
    /// The agent's VM.
    pub vm: VmId,
    /// The time at which an answer of the target last broke off.
    pub latest_loss: Cell<Option<Instant>>,
    /// The one place for requests that were in flight at a crash.
    pub suspect_place: Semaphore,
}

/// Token counts at the end of an engine's answer.
#[derive(Deserialize)]
struct UsageRecord {
    /// The counts; absent in all events but the last.
    usage: Option<UsageCounts>,
}

/// Token counts of one answer.
#[derive(Deserialize)]
struct UsageCounts {
    /// The tokens that the engine generated.
    completion_tokens: u64,
}

/// Charges one run while its answer streams.
struct RunMeter {
    /// The offer that was granted.
    offer: OfferId,
    /// The decisions.
    actor: Addr<DecisionActor>,
    /// The start of the run.
    start: Instant,
    /// The time of the latest token.
    latest: Option<Instant>,
    /// The tokens so far.
    tokens: u64,
    /// The unit of charge.
    kind: ServiceKind,
    /// Whether an earlier run gave a part of the answer.
    is_resumed: bool,
}

/// Carries one run to its end; every path ends with a final reply or a reset stream.
pub async fn carry_run(router: VmId, run: IncomingRun, context: Rc<RunContext>) {
    let IncomingRun { request, mut writer } = run;
    let begin = BeginRun { router, offer: request.offer, fingerprint: request.fingerprint };
    let Some(RunPermit(status)) = context.actor.send(begin).await.unwrap_or(None) else {
        log::warn!("refused run of router {router}: its offer is not granted");
        refuse(&mut writer, ErrorKind::NotReady, 0).await;
        return;
    };
    let mut meter = RunMeter::start(&request, &context);
    let final_reply = match status {
        SuspectStatus::Clear => run_request(&request, &mut writer, &context, &mut meter).await,
        SuspectStatus::Suspect => run_suspect(&request, &mut writer, &context, &mut meter).await,
        SuspectStatus::Refused => Some(refuse_suspect()),
    };
    let target = match &final_reply {
        Some(RunReply::Broken { crashed: true }) => {
            context.latest_loss.set(Some(Instant::now()));
            Some(Some(context.vm))
        }
        Some(RunReply::End { .. }) => Some(None),
        _ => None,
    };
    if let Some(target) = target {
        let evidence = CrashEvidence { fingerprint: request.fingerprint, target };
        context.actor.do_send(AgentInput::Evidence(evidence));
    }
    context.metrics.count_run(final_reply.as_ref());
    context.metrics.count_units(meter.units());
    if let Some(reply) = final_reply {
        // The router is gone where this fails; it treats the run as broken.
        let _ = writer.send(&reply).await;
    }
    // Only now, since an agent that drains ends with its last run.
    meter.finish();
}

/// Runs a request that was in flight at a crash while no other such request runs, or as any
/// other request once it is cleared.
async fn run_suspect(
    request: &RunRequest,
    writer: &mut RunWriter,
    context: &RunContext,
    meter: &mut RunMeter,
) -> Option<RunReply> {
    let fingerprint = request.fingerprint;
    loop {
        let place = tokio::select! {
            place = context.suspect_place.acquire() => place.ok(),
            () = actix_rt::time::sleep(SUSPECT_PAUSE) => None,
            () = writer.cancelled() => return None,
        };
        // The suspect that ran before may have been the same request under another identifier.
        let RunPermit(status) = context.actor.send(ReadStanding { fingerprint }).await.ok()?;
        match status {
            SuspectStatus::Refused => return Some(refuse_suspect()),
            SuspectStatus::Suspect if place.is_none() => {}
            SuspectStatus::Suspect => {
                return run_request(request, writer, context, meter).await;
            }
            SuspectStatus::Clear => {
                drop(place);
                return run_request(request, writer, context, meter).await;
            }
        }
    }
}

fn refuse_suspect() -> RunReply {
    RunReply::Refused { kind: ErrorKind::Quarantined, retry_after_millis: 0 }
}

/// Claims, sends and streams; returns the final reply, or `None` where the router is gone.
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
        log::info!("recording not started: {}", describe_report(&report));
        return Some(RunReply::Refused { kind, retry_after_millis: CLAIM_RETRY_MILLIS });
    }
    let answer = tokio::select! {
        answer = send_patiently(request, context) => answer,
        () = writer.cancelled(), if request.idempotency_key.is_none() => return None,
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => return Some(reply_to_failure(failure, request, context)),
    };
    match stream_answer(answer, writer, meter).await {
        Ok(length) => Some(RunReply::End { length, units: meter.units() }),
        Err(report) if *report.current_context() == ErrorKind::LinkFailed => None,
        Err(report) => {
            log::warn!("answer of the target is not whole: {report}");
            Some(RunReply::Broken { crashed: true })
        }
    }
}

/// Sends a request, and again for a while where the target cannot be reached: one that restarts
/// after a crash would otherwise turn requests away faster than any other agent can take them.
async fn send_patiently(
    request: &RunRequest,
    context: &RunContext,
) -> Result<TargetAnswer<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>, TargetFailure> {
    let start = Instant::now();
    while context.latest_loss.get().is_some_and(|loss| loss.elapsed() < TARGET_REST) {
        actix_rt::time::sleep(TARGET_PAUSE).await;
    }
    loop {
        match context.client.send(request).await {
            Err(TargetFailure::NotSent(report)) if start.elapsed() < TARGET_WAIT => {
                log::debug!("target cannot be reached yet: {report}");
                actix_rt::time::sleep(TARGET_PAUSE).await;
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
            log::warn!("target cannot be reached: {report}");
            let Some(key) = &request.idempotency_key else {
                return RunReply::Refused { kind: ErrorKind::NoCapacity, retry_after_millis: 0 };
            };
            // The caller may send it again; another agent must not try before the claim is gone.
            context.claims.release(key);
            let kind = ErrorKind::ClaimUnavailable;
            RunReply::Refused { kind, retry_after_millis: CLAIM_RETRY_MILLIS }
        }
        TargetFailure::Lost(report) => {
            log::warn!("target lost: {report}");
            RunReply::Broken { crashed: true }
        }
    }
}

/// Passes the answer on and returns the bytes of its body.
///
/// Fails with [`ErrorKind::LinkFailed`] where the router is gone and with
/// [`ErrorKind::Interrupted`] where the target's answer breaks off.
async fn stream_answer<S>(
    answer: TargetAnswer<S>,
    writer: &mut RunWriter,
    meter: &mut RunMeter,
) -> Result<u64, Report<ErrorKind>>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let head = RunReply::Head { status: answer.status, headers: answer.headers };
    writer.send(&head).await?;
    if answer.is_event_stream {
        return stream_events(answer.body, writer, meter).await;
    }
    let mut body = answer.body;
    let mut whole = BytesMut::new();
    loop {
        let part = tokio::select! {
            part = body.next() => part,
            () = writer.cancelled() => return Err(Report::new(ErrorKind::LinkFailed)),
        };
        let Some(part) = part else { break };
        whole.extend_from_slice(&part.map_err(|error| broken_body(&error))?);
    }
    let length = whole.len() as u64;
    check_whole(&whole, answer.length, answer.is_json)?;
    meter.count_body(&whole);
    writer.send(&RunReply::Chunk { events: 0, bytes: whole.freeze() }).await?;
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
        let event = event.map_err(|error| broken_body(&error))?;
        is_done = event.data == "[DONE]";
        meter.count_event(&event.data, is_done);
        let bytes = Bytes::from(format!("data: {}\n\n", event.data));
        length += bytes.len() as u64;
        writer.send(&RunReply::Chunk { events: 1, bytes }).await?;
    }
    if !is_done {
        return Err(Report::new(ErrorKind::Interrupted).attach("no final event"));
    }
    Ok(length)
}

/// Checks that a body is whole, since the HTTP client ends a cut one without an error.
///
/// Fails with [`ErrorKind::Interrupted`] where the announced length was not reached or, with
/// none announced, JSON breaks off.
fn check_whole(
    body: &[u8],
    announced: Option<u64>,
    is_json: bool,
) -> Result<(), Report<ErrorKind>> {
    let length = body.len() as u64;
    match announced {
        Some(announced) if announced != length => Err(Report::new(ErrorKind::Interrupted)
            .attach(format!("{length} of {announced} bytes came"))),
        None if is_json && serde_json::from_slice::<IgnoredAny>(body).is_err() => {
            Err(Report::new(ErrorKind::Interrupted).attach("the JSON body breaks off"))
        }
        _ => Ok(()),
    }
}

fn broken_body(error: &impl std::fmt::Display) -> Report<ErrorKind> {
    Report::new(ErrorKind::Interrupted).attach(error.to_string())
}

async fn refuse(writer: &mut RunWriter, kind: ErrorKind, retry_after_millis: u64) {
    // The router is gone where this fails; nothing has run.
    let _ = writer.send(&RunReply::Refused { kind, retry_after_millis }).await;
}

impl RunMeter {
    fn start(request: &RunRequest, context: &RunContext) -> RunMeter {
        RunMeter {
            offer: request.offer,
            is_resumed: request.resume_from > 0,
            actor: context.actor.clone(),
            start: Instant::now(),
            latest: None,
            tokens: 0,
            kind: context.client.kind(),
        }
    }

    /// Returns the cost so far.
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
            // The engine counts what an earlier run gave as well; that is charged already.
            if !self.is_resumed {
                self.tokens = self.tokens.max(counts.completion_tokens);
            }
            return;
        }
        self.tokens += 1;
        let now = Instant::now();
        let event = match self.latest.replace(now) {
            None => AgentEvent::FirstToken { elapsed: now - self.start },
            Some(latest) => AgentEvent::NextToken { elapsed: now - latest },
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
