//! Response bodies that are sent to callers, including relayed event streams.

use std::cell::RefCell;
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::rc::{Rc, Weak};
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
use crate::event_framer::EventFramer;
use crate::log_text::format_error;
use crate::read_meter::MeteredBody;
use crate::request_context::RequestContext;
use crate::run_guard::RunGuard;
use crate::socket_progress::SocketProgress;
use crate::target_send::resume_stream;

/// Size up to which the beginning of an event is buffered whatever other streams hold, in bytes.
const FREE_EVENT_BYTES: usize = 16 * 1024;

/// Time after the deadline of a stream at which its run is ended if the caller does not read.
const UNREAD_MARGIN: Duration = Duration::from_millis(200);

/// Time without progress after which the connection of a caller that does not read what is left of its stream
/// is ended. A socket of a caller that reads 8 KB a second takes bytes every four seconds.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// Body of a response to a caller.
pub enum ResponseBody {
    /// A complete body; `None` once it has been sent.
    Complete(Option<Bytes>),
    /// An event stream relayed from a target.
    Relay(WatchedRelay),
}

/// An event stream, with a task that ends the connection of a caller that does not read it.
pub struct WatchedRelay {
    relay: Rc<RefCell<ResponseRelay>>,
    watchdog: Option<AbortHandle>,
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
    progress: Rc<SocketProgress>,
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
    /// The stream ends early, once the socket has taken what came before; an error makes the HTTP server
    /// drop what it holds.
    Failing {
        error: RelayError,
        /// Number of flushes of the socket when the stream ended.
        flushes: u64,
    },
    Ended,
}

impl ResponseBody {
    /// Creates a body from bytes that are already complete.
    pub fn complete(bytes: Bytes) -> ResponseBody {
        ResponseBody::Complete(Some(bytes))
    }

    /// Takes the task that ends the connection of a caller that does not read; `None` if there is none.
    pub fn take_watchdog(&mut self) -> Option<AbortHandle> {
        match self {
            ResponseBody::Complete(_) => None,
            ResponseBody::Relay(relay) => relay.watchdog.take(),
        }
    }
}

impl WatchedRelay {
    /// Starts a relay that ends with [`RelayError::TimedOut`] at the deadline of `context`. If the
    /// caller does not read after that, its connection is ended.
    pub fn spawn(
        context: RequestContext,
        source: RelaySource,
        caller: &CallerStream,
    ) -> WatchedRelay {
        let relay = ResponseRelay::new(context.clone(), source, caller.progress());
        let relay = Rc::new(RefCell::new(relay));
        let watchdog = end_unread(Rc::downgrade(&relay), context, caller.clone());
        let watchdog = tokio::task::spawn_local(watchdog);
        WatchedRelay { relay, watchdog: Some(watchdog.abort_handle()) }
    }
}

impl Drop for WatchedRelay {
    fn drop(&mut self) {
        if let Some(watchdog) = &self.watchdog {
            watchdog.abort();
        }
    }
}

impl ResponseRelay {
    fn new(
        context: RequestContext,
        source: RelaySource,
        progress: &Rc<SocketProgress>,
    ) -> ResponseRelay {
        let deadline = Box::pin(tokio::time::sleep_until(context.deadline_at()));
        let event_lease = context.inner.state.body_buffer.lease();
        ResponseRelay {
            context,
            phase: RelayPhase::Streaming(source),
            framer: EventFramer::default(),
            event_lease,
            has_events: false,
            deadline,
            progress: Rc::clone(progress),
        }
    }

    fn poll_bytes(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, RelayError>>> {
        loop {
            if self.is_running() && self.deadline.as_mut().poll(cx).is_ready() {
                self.fail(RelayError::TimedOut);
            }
            match &mut self.phase {
                RelayPhase::Ended => return Poll::Ready(None),
                RelayPhase::Failing { error, flushes } => {
                    let error = *error;
                    ready!(self.progress.poll_flushed(*flushes, cx));
                    self.phase = RelayPhase::Ended;
                    return Poll::Ready(Some(Err(error)));
                }
                RelayPhase::Resuming(resumption) => {
                    let source = ready!(resumption.as_mut().poll(cx));
                    let Some(source) = source else {
                        self.fail(RelayError::Broken);
                        continue;
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
            RelayPhase::Resuming(_)
            | RelayPhase::Confirming(..)
            | RelayPhase::Failing { .. }
            | RelayPhase::Ended => true,
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

    /// Returns whether the stream has not ended.
    fn is_running(&self) -> bool {
        !matches!(self.phase, RelayPhase::Failing { .. } | RelayPhase::Ended)
    }

    /// Ends the stream early, and abandons the run that it comes from.
    fn fail(&mut self, error: RelayError) {
        self.phase = RelayPhase::Failing { error, flushes: self.progress.flushes() };
        let outcome = match error {
            RelayError::Broken => "broken-midway",
            RelayError::TimedOut => "timed-out-midway",
        };
        self.context.finish(outcome, 200);
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
        self.context.finish("caller-left", 200);
    }
}

/// Ends a stream shortly after its deadline, and the connection once its caller does not read what came
/// before. The HTTP server asks a stream for bytes, and so checks its deadline, only while the caller reads.
async fn end_unread(
    relay: Weak<RefCell<ResponseRelay>>,
    context: RequestContext,
    caller: CallerStream,
) {
    tokio::time::sleep_until(context.deadline_at() + UNREAD_MARGIN).await;
    // The context counts the request as in progress, which the rest of this task is not.
    let id = context.inner.request.head.id.clone();
    drop(context);
    if let Some(relay) = relay.upgrade() {
        let mut relay = relay.borrow_mut();
        if relay.is_running() {
            relay.fail(RelayError::TimedOut);
        }
    }
    let progress = caller.progress();
    loop {
        let taken = progress.taken();
        tokio::time::sleep(STALL_LIMIT).await;
        if progress.taken() == taken {
            break;
        }
    }
    log::info!(request:% = id; "caller does not read its stream; ending the connection");
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
                let bytes = ready!(relay.relay.borrow_mut().poll_bytes(cx));
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
