//! Response bodies that are sent to callers, including relayed event streams.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body::{Body, Frame, SizeHint};
use jackdaw_policy::direct::RunOutcome;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

use crate::body_buffer::BufferLease;
use crate::caller_stream::CallerStream;
use crate::crash_check::CheckFuture;
use crate::delivery::DeliveryGuard;
use crate::event_framer::EventFramer;
use crate::log_text::format_error;
use crate::read_meter::MeteredBody;
use crate::request_context::RequestContext;
use crate::run_guard::RunGuard;
use crate::target_send::resume_stream;

/// Size up to which the beginning of an event is buffered whatever other streams hold, in bytes.
const FREE_EVENT_BYTES: usize = 16 * 1024;

/// Time after the deadline of a stream at which the connection of a caller that does not read is ended.
const UNREAD_MARGIN: Duration = Duration::from_millis(200);

/// Body of a response to a caller.
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// An event stream relayed from a target.
    Relay(Box<ResponseRelay>),
}

/// Error that ends a body early and closes the caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The target's connection failed, and the stream could not be resumed.
    Broken,
    /// The caller's deadline or the route's timeout was reached.
    TimedOut,
}

/// Relays an event stream as it arrives, and resumes it at another target after a failure if a
/// retry is allowed.
pub struct ResponseRelay {
    context: RequestContext,
    phase: RelayPhase,
    framer: EventFramer,
    /// Memory of an event that is not complete.
    event_lease: BufferLease,
    /// Whether an event was forwarded.
    has_events: bool,
    deadline: Pin<Box<Sleep>>,
    /// Ends the connection of a caller that does not read.
    watchdog: AbortHandle,
    _delivery: DeliveryGuard,
}

/// The part of a stream that comes from one target.
pub struct RelaySource {
    /// Guard of the run that produces the body.
    pub guard: RunGuard,
    /// The body received from the target.
    pub body: MeteredBody,
    /// Whether a length or chunks mark the end of the body.
    pub is_framed: bool,
}

/// Current state of the relay.
enum RelayPhase {
    Streaming(RelaySource),
    Resuming(Pin<Box<dyn Future<Output = Option<RelaySource>>>>),
    /// The stream has ended with its connection; the check tells whether the target crashed.
    Confirming(RelaySource, CheckFuture),
    Ended,
}

impl ResponseBody {
    /// Creates a body from bytes that are already complete.
    pub fn complete(bytes: Bytes) -> ResponseBody {
        ResponseBody::Complete(Some(bytes))
    }
}

impl ResponseRelay {
    /// Creates a relay that ends with [`RelayError::TimedOut`] at the deadline of `context`. If the
    /// caller does not read by then, its connection is ended.
    pub fn new(
        context: RequestContext,
        source: RelaySource,
        caller: &CallerStream,
        delivery: DeliveryGuard,
    ) -> ResponseRelay {
        let deadline = Box::pin(tokio::time::sleep_until(context.deadline_at()));
        let watchdog = tokio::task::spawn_local(end_unread(context.clone(), caller.clone()));
        let event_lease = context.inner.state.body_buffer.lease();
        ResponseRelay {
            context,
            phase: RelayPhase::Streaming(source),
            framer: EventFramer::default(),
            event_lease,
            has_events: false,
            deadline,
            watchdog: watchdog.abort_handle(),
            _delivery: delivery,
        }
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayError>>> {
        loop {
            if self.deadline.as_mut().poll(cx).is_ready() {
                self.phase = RelayPhase::Ended;
                self.context.finish("timed-out-midway", 200);
                return Poll::Ready(Some(Err(RelayError::TimedOut)));
            }
            match &mut self.phase {
                RelayPhase::Ended => return Poll::Ready(None),
                RelayPhase::Resuming(resumption) => {
                    let source = ready!(resumption.as_mut().poll(cx));
                    let Some(source) = source else {
                        self.phase = RelayPhase::Ended;
                        self.context.finish("broken-midway", 200);
                        return Poll::Ready(Some(Err(RelayError::Broken)));
                    };
                    self.framer.begin_resumption();
                    self.phase = RelayPhase::Streaming(source);
                }
                RelayPhase::Confirming(_, check) => {
                    if ready!(check.poll_unpin(cx)) {
                        self.end_run(RunOutcome::Broken);
                        self.context.record_unmarked_crash();
                        self.interrupt(
                            "the target crashed at the end of an answer without a length",
                        );
                    } else if let Some(bytes) = self.complete() {
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                }
                RelayPhase::Streaming(source) => {
                    let frame = ready!(Pin::new(&mut source.body).poll_frame(cx));
                    if let Some(outcome) = self.process_frame(frame) {
                        return Poll::Ready(outcome);
                    }
                }
            }
        }
    }

    /// Processes a frame from the target; returns `None` if there is nothing to forward yet.
    fn process_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
    ) -> Option<Option<Result<Bytes, RelayError>>> {
        match frame {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().ok()?;
                if let RelayPhase::Streaming(source) = &self.phase {
                    source.guard.mark_started();
                }
                self.context.record_bytes();
                let events = self.framer.push(bytes);
                if self.framer.is_over_limit() {
                    self.interrupt("an event is over the limit");
                    return None;
                }
                if self.framer.is_out_of_order() {
                    self.interrupt("the target did not go on after the last event");
                    return None;
                }
                if !self.lease_event() {
                    self.interrupt("unfinished events of other streams fill the buffer");
                    return None;
                }
                if !events.is_empty() && !std::mem::replace(&mut self.has_events, true) {
                    self.context.bind_version();
                }
                if let (false, RelayPhase::Streaming(source)) = (events.is_empty(), &self.phase) {
                    source.guard.mark_events();
                }
                (!events.is_empty()).then_some(Some(Ok(events)))
            }
            Some(Err(error)) => {
                self.interrupt(&format_error(&error));
                None
            }
            None if self.framer.is_inside_event() => {
                self.interrupt("the stream ended inside an event");
                None
            }
            None if self.lacks_events() => {
                self.interrupt("the connection ended before the first event");
                None
            }
            None if self.framer.lacks_resumption() => {
                self.interrupt("the target that was to go on sent no event");
                None
            }
            None => match self.end_phase() {
                RelayPhase::Streaming(source) if !source.is_framed => {
                    self.phase = RelayPhase::Confirming(source, self.context.check_end());
                    None
                }
                phase => {
                    self.phase = phase;
                    Some(self.complete().map(Ok))
                }
            },
        }
    }

    /// Ends a stream that is complete; returns its last bytes, if there are any.
    fn complete(&mut self) -> Option<Bytes> {
        self.end_run(RunOutcome::Whole);
        self.context.finish("whole", 200);
        let partial = self.framer.take_partial();
        (!partial.is_empty()).then_some(partial)
    }

    /// Takes the memory of the event that is not complete; returns whether there is any left.
    fn lease_event(&mut self) -> bool {
        let bytes = self.framer.buffered_bytes().saturating_sub(FREE_EVENT_BYTES);
        self.context.inner.state.body_buffer.resize(&mut self.event_lease, bytes)
    }

    /// Returns whether there has been no event of a stream whose end only its connection marks. A
    /// target that crashes before its first event leaves the same bytes.
    fn lacks_events(&self) -> bool {
        let is_framed = match &self.phase {
            RelayPhase::Streaming(source) => source.is_framed,
            RelayPhase::Resuming(_) | RelayPhase::Confirming(..) | RelayPhase::Ended => true,
        };
        !is_framed && !self.has_events
    }

    /// Ends the run of a stream that broke off and starts resuming it at another target.
    fn interrupt(&mut self, reason: &str) {
        self.end_run(RunOutcome::Broken);
        self.framer.discard_partial();
        self.event_lease = self.context.inner.state.body_buffer.lease();
        self.context.log_interruption(reason);
        if self.has_events && self.framer.last_id().is_none() {
            self.context.log_failed_resumption("its events have no numbers");
            self.phase = RelayPhase::Resuming(Box::pin(std::future::ready(None)));
            return;
        }
        self.context.inner.resume_after.set(self.framer.last_id());
        let resumption = resume_stream(self.context.clone());
        self.phase = RelayPhase::Resuming(Box::pin(resumption));
    }

    /// Ends the run that the stream comes from, if it has not ended.
    fn end_run(&mut self, outcome: RunOutcome) {
        if let RelayPhase::Streaming(source) | RelayPhase::Confirming(source, _) = self.end_phase()
        {
            source.guard.end(outcome);
        }
    }

    fn end_phase(&mut self) -> RelayPhase {
        std::mem::replace(&mut self.phase, RelayPhase::Ended)
    }
}

impl Drop for ResponseRelay {
    fn drop(&mut self) {
        self.watchdog.abort();
        self.context.finish("caller-left", 200);
    }
}

/// Ends the connection of a caller shortly after the deadline. The HTTP server asks a stream for bytes,
/// and so checks its deadline, only while the caller reads.
async fn end_unread(context: RequestContext, caller: CallerStream) {
    tokio::time::sleep_until(context.deadline_at() + UNREAD_MARGIN).await;
    log::info!(
        request:% = context.inner.request.head.id;
        "caller does not read its stream; ending the connection"
    );
    caller.abort();
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        match &mut *self {
            ResponseBody::Complete(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Relay(relay) => {
                let bytes = ready!(relay.poll_bytes(cx));
                Poll::Ready(bytes.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Relay(_) => SizeHint::default(),
        }
    }
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RelayError::Broken => "target connection failed",
            RelayError::TimedOut => "deadline reached",
        })
    }
}

impl Error for RelayError {}
