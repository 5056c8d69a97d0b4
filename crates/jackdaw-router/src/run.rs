//! Execution of a run at the agent that granted it, and forwarding of the response to the caller.

use actix::Addr;
use bytes::BytesMut;
use error_stack::Report;
use jackdaw_base::{ErrorKind, RequestId, WorkUnits};
use jackdaw_link::{PeerLink, RunReader, RunReply, RunRequest};
use jackdaw_policy::RunFault;
use tokio::sync::mpsc;

use crate::caller_server::ResponsePart;
use crate::decision_actor::{DecisionActor, FinishRun};

/// Status of an answer that goes on with a stream.
const STREAM_STATUS: u16 = 200;

/// Input of [`execute_run`].
pub struct RunTask {
    /// Identifier of the request.
    pub id: RequestId,
    /// Message that starts the run at the agent.
    pub request: RunRequest,
    /// Link to the agent.
    pub link: PeerLink,
    /// Channel to the caller's response.
    pub sender: mpsc::Sender<ResponsePart>,
    /// Whether an earlier run already sent the response head to the caller.
    pub head_sent: bool,
}

/// Outcome of a run.
pub enum RunEnd {
    /// The complete response was sent to the caller; the run had this cost.
    Completed(WorkUnits),
    /// The response is incomplete.
    Failed(RunFault),
    /// The caller disconnected.
    Abandoned,
}

/// Forwards the replies of one run to the caller.
struct ResponseRelay {
    /// Channel to the caller's response.
    sender: mpsc::Sender<ResponsePart>,
    /// Response head that is held back until the body is complete.
    buffered_head: Option<(u16, Vec<(String, String)>)>,
    /// Body that is held back until it is complete.
    buffered_body: BytesMut,
    /// Whether the body is an event stream, which is forwarded as it arrives.
    is_streamed: bool,
    /// Whether the response head was sent to the caller.
    head_sent: bool,
    /// Number of stream events of this run that were sent to the caller.
    delivered_events: u64,
    /// Number of body bytes received from the agent in this run.
    received_bytes: u64,
}

/// Executes a run and reports its outcome to the actor.
pub async fn execute_run(task: RunTask, actor: Addr<DecisionActor>) {
    let RunTask { id, request, link, sender, head_sent } = task;
    let mut relay = ResponseRelay {
        sender,
        buffered_head: None,
        buffered_body: BytesMut::new(),
        is_streamed: head_sent,
        head_sent,
        delivered_events: 0,
        received_bytes: 0,
    };
    let end = match link.open_run(&request).await {
        Ok(mut reader) => relay.forward_replies(&mut reader).await,
        Err(report) => {
            log::warn!("failed to open run stream to agent {}: {report}", link.greeting().vm);
            RunEnd::Failed(RunFault::Interrupted)
        }
    };
    let delivered_events = request.resume_from + relay.delivered_events;
    let head_sent = relay.head_sent;
    actor.do_send(FinishRun {
        id,
        attempt: request.offer.attempt,
        end,
        delivered_events,
        head_sent,
    });
}

impl ResponseRelay {
    async fn forward_replies(&mut self, reader: &mut RunReader) -> RunEnd {
        loop {
            let reply = tokio::select! {
                reply = reader.next() => reply,
                () = self.sender.closed() => return RunEnd::Abandoned,
            };
            let reply = match reply {
                Ok(Some(reply)) => reply,
                Ok(None) => return RunEnd::Failed(RunFault::Interrupted),
                Err(report) => return interrupted_run(&report),
            };
            if let Some(end) = self.process_reply(reply).await {
                return end;
            }
        }
    }

    /// Processes one reply; returns the outcome if the reply ends the run.
    async fn process_reply(&mut self, reply: RunReply) -> Option<RunEnd> {
        match reply {
            RunReply::Head { status, headers } => {
                self.is_streamed = is_event_stream(&headers);
                if self.head_sent && !(self.is_streamed && status == STREAM_STATUS) {
                    log::warn!("an answer with status {status} does not go on with a stream");
                    return Some(RunEnd::Failed(RunFault::Interrupted));
                }
                if self.is_streamed {
                    self.send_head(status, headers).await
                } else {
                    self.buffered_head = Some((status, headers));
                    None
                }
            }
            RunReply::Chunk { events, bytes } => {
                self.received_bytes += bytes.len() as u64;
                if !self.is_streamed {
                    self.buffered_body.extend_from_slice(&bytes);
                    return None;
                }
                self.delivered_events += events;
                self.send(ResponsePart::Body(bytes)).await
            }
            RunReply::End { length, units } => {
                if length != self.received_bytes {
                    log::warn!(
                        "response body has {} bytes instead of {length}",
                        self.received_bytes
                    );
                    return Some(RunEnd::Failed(RunFault::Interrupted));
                }
                Some(self.finish_response(units).await)
            }
            RunReply::Refused { kind, .. } => Some(RunEnd::Failed(RunFault::Refused(kind))),
            RunReply::Broken { crashed: true } => Some(RunEnd::Failed(RunFault::TargetCrashed)),
            RunReply::Broken { crashed: false } => Some(RunEnd::Failed(RunFault::Interrupted)),
        }
    }

    async fn finish_response(&mut self, units: WorkUnits) -> RunEnd {
        if let Some((status, headers)) = self.buffered_head.take() {
            if let Some(end) = self.send_head(status, headers).await {
                return end;
            }
            let body = self.buffered_body.split().freeze();
            if let Some(end) = self.send(ResponsePart::Body(body)).await {
                return end;
            }
        }
        match self.send(ResponsePart::End).await {
            Some(end) => end,
            None => RunEnd::Completed(units),
        }
    }

    async fn send_head(&mut self, status: u16, headers: Vec<(String, String)>) -> Option<RunEnd> {
        if self.head_sent {
            return None;
        }
        self.head_sent = true;
        self.send(ResponsePart::Head { status, headers }).await
    }

    async fn send(&mut self, part: ResponsePart) -> Option<RunEnd> {
        match self.sender.send(part).await {
            Ok(()) => None,
            Err(_) => Some(RunEnd::Abandoned),
        }
    }
}

fn interrupted_run(report: &Report<ErrorKind>) -> RunEnd {
    log::warn!("run interrupted: {report}");
    RunEnd::Failed(RunFault::Interrupted)
}

fn is_event_stream(headers: &[(String, String)]) -> bool {
    headers
        .iter()
        .any(|(name, value)| name == "content-type" && value.starts_with("text/event-stream"))
}
