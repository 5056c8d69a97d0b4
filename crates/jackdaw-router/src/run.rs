//! One run: from the router to the agent that granted it, and the answer back to the caller.

use actix::Addr;
use bytes::BytesMut;
use error_stack::Report;
use jackdaw_base::{ErrorKind, RequestId, WorkUnits};
use jackdaw_link::{PeerLink, RunReader, RunReply, RunRequest};
use jackdaw_policy::RunFault;
use tokio::sync::mpsc;

use crate::caller_server::AnswerPart;
use crate::decision_actor::{DecisionActor, RunOver};

/// What a run needs.
pub struct RunTask {
    /// The request that runs.
    pub id: RequestId,
    /// The message to the agent.
    pub request: RunRequest,
    /// The link to the agent.
    pub link: PeerLink,
    /// The way to the caller.
    pub sender: mpsc::Sender<AnswerPart>,
    /// Whether the caller has the head already.
    pub head_sent: bool,
}

/// How a run ended.
pub enum RunEnd {
    /// The caller has the whole answer.
    Whole(WorkUnits),
    /// There is no whole answer.
    Fault(RunFault),
    /// The caller is gone.
    Abandoned,
}

/// Progress of one answer.
struct AnswerRelay {
    /// The way to the caller.
    sender: mpsc::Sender<AnswerPart>,
    /// The head that waits for the whole body.
    held_head: Option<(u16, Vec<(String, String)>)>,
    /// The body that waits to be whole.
    held_body: BytesMut,
    /// Whether the body is passed on as it comes.
    is_stream: bool,
    /// Whether the caller has the head.
    head_sent: bool,
    /// The stream events that the caller has of this run.
    delivered: u64,
    /// The bytes of the body that this run has sent.
    length: u64,
}

/// Carries the run to its end and tells the actor how it ended.
pub async fn carry_run(task: RunTask, actor: Addr<DecisionActor>) {
    let RunTask { id, request, link, sender, head_sent } = task;
    let mut relay = AnswerRelay {
        sender,
        held_head: None,
        held_body: BytesMut::new(),
        is_stream: head_sent,
        head_sent,
        delivered: 0,
        length: 0,
    };
    let end = match link.open_run(&request).await {
        Ok(mut reader) => relay.relay(&mut reader).await,
        Err(report) => {
            log::warn!("run stream to agent {} failed: {report}", link.greeting().vm);
            RunEnd::Fault(RunFault::Interrupted)
        }
    };
    let delivered = request.resume_from + relay.delivered;
    let head_sent = relay.head_sent;
    actor.do_send(RunOver { id, attempt: request.offer.attempt, end, delivered, head_sent });
}

impl AnswerRelay {
    async fn relay(&mut self, reader: &mut RunReader) -> RunEnd {
        loop {
            let reply = tokio::select! {
                reply = reader.next() => reply,
                () = self.sender.closed() => return RunEnd::Abandoned,
            };
            let reply = match reply {
                Ok(Some(reply)) => reply,
                Ok(None) => return RunEnd::Fault(RunFault::Interrupted),
                Err(report) => return interrupted(&report),
            };
            if let Some(end) = self.accept(reply).await {
                return end;
            }
        }
    }

    /// Takes one reply; returns how the run ended once it has.
    async fn accept(&mut self, reply: RunReply) -> Option<RunEnd> {
        match reply {
            RunReply::Head { status, headers } => {
                self.is_stream = is_event_stream(&headers);
                if self.is_stream {
                    self.send_head(status, headers).await
                } else {
                    self.held_head = Some((status, headers));
                    None
                }
            }
            RunReply::Chunk { events, bytes } => {
                self.length += bytes.len() as u64;
                if !self.is_stream {
                    self.held_body.extend_from_slice(&bytes);
                    return None;
                }
                self.delivered += events;
                self.send(AnswerPart::Body(bytes)).await
            }
            RunReply::End { length, units } => {
                if length != self.length {
                    log::warn!("answer has {} bytes instead of {length}", self.length);
                    return Some(RunEnd::Fault(RunFault::Interrupted));
                }
                Some(self.finish(units).await)
            }
            RunReply::Refused { kind, .. } => Some(RunEnd::Fault(RunFault::Refused(kind))),
            RunReply::Broken { crashed: true } => Some(RunEnd::Fault(RunFault::TargetCrashed)),
            RunReply::Broken { crashed: false } => Some(RunEnd::Fault(RunFault::Interrupted)),
        }
    }

    async fn finish(&mut self, units: WorkUnits) -> RunEnd {
        if let Some((status, headers)) = self.held_head.take() {
            if let Some(end) = self.send_head(status, headers).await {
                return end;
            }
            let body = self.held_body.split().freeze();
            if let Some(end) = self.send(AnswerPart::Body(body)).await {
                return end;
            }
        }
        match self.send(AnswerPart::End).await {
            Some(end) => end,
            None => RunEnd::Whole(units),
        }
    }

    async fn send_head(&mut self, status: u16, headers: Vec<(String, String)>) -> Option<RunEnd> {
        if self.head_sent {
            return None;
        }
        self.head_sent = true;
        self.send(AnswerPart::Head { status, headers }).await
    }

    async fn send(&mut self, part: AnswerPart) -> Option<RunEnd> {
        match self.sender.send(part).await {
            Ok(()) => None,
            Err(_) => Some(RunEnd::Abandoned),
        }
    }
}

fn interrupted(report: &Report<ErrorKind>) -> RunEnd {
    log::warn!("run interrupted: {report}");
    RunEnd::Fault(RunFault::Interrupted)
}

fn is_event_stream(headers: &[(String, String)]) -> bool {
    headers
        .iter()
        .any(|(name, value)| name == "content-type" && value.starts_with("text/event-stream"))
}
