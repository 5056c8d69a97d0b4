//! Run streams, each of which carries one request to an agent and its response.

use std::future::{Future, pending};

use error_stack::{Report, ResultExt};
use futures_util::StreamExt;
use jackdaw_base::ErrorKind;
use quinn::{RecvStream, SendStream, VarInt};

use crate::frame::{
    FrameReader, decode_frame, encode_frame, frame_error, frame_length, frame_reader,
};
use crate::peer::{LinkCounters, PeerLink};
use crate::{RunReply, RunRequest};

/// QUIC application error code with which a router cancels a run.
const CANCELLED: VarInt = VarInt::from_u32(1);
/// QUIC application error code of a run whose writer was dropped before the final reply.
const ABANDONED: VarInt = VarInt::from_u32(2);

/// Request received from a router, with the writer of its response.
pub struct IncomingRun {
    /// Received request.
    pub request: RunRequest,
    /// Writer of the response.
    pub writer: RunWriter,
}

/// Reader of the response of one run; dropping it before a final reply cancels the run.
pub struct RunReader {
    frames: FrameReader,
    link: PeerLink,
    body_bytes: u64,
    finished: bool,
}

/// Writer of the response of one run.
///
/// Dropping it before a final reply resets the stream, so that the reader does not mistake a
/// truncated response for a complete one.
pub struct RunWriter {
    stream: SendStream,
    link: PeerLink,
    finished: bool,
    /// Whether a reply is being sent; stays set if the future that sends it is dropped.
    partial: bool,
}

impl RunReader {
    /// Opens a run stream and sends the complete request.
    pub(crate) async fn open(
        link: &PeerLink,
        request: &RunRequest,
    ) -> Result<RunReader, Report<ErrorKind>> {
        let frame = encode_frame(request, link.frame_limit())?;
        let length = frame.len() as u64;
        let (send, receive) =
            link.connection().open_bi().await.change_context(ErrorKind::LinkFailed)?;
        let mut writer =
            RunWriter { stream: send, link: link.clone(), finished: false, partial: false };
        let reader = RunReader::new(receive, link.clone());
        writer.stream.write_chunk(frame).await.change_context(ErrorKind::LinkFailed)?;
        writer.finish();
        link.counters().run_sent(length);
        Ok(reader)
    }

    fn new(stream: RecvStream, link: PeerLink) -> RunReader {
        let frames = frame_reader(stream, link.frame_limit());
        link.counters().open_run();
        RunReader { frames, link, body_bytes: 0, finished: false }
    }

    /// Returns the next reply, or `None` after a final reply.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::Interrupted`] if the stream or the link ends before a final reply.
    /// - [`ErrorKind::ProtocolViolation`] if a reply cannot be decoded, or the length of the body
    ///   differs from the length in the final reply.
    pub async fn next(&mut self) -> Result<Option<RunReply>, Report<ErrorKind>> {
        if self.finished {
            return Ok(None);
        }
        let Some(frame) = self.frames.next().await else {
            return Err(
                Report::new(ErrorKind::Interrupted).attach("the stream ended before a final reply")
            );
        };
        let frame = frame
            .map_err(|error| frame_error(error, ErrorKind::Interrupted))
            .inspect_err(|report| self.link.close_on_violation(report))?;
        self.link.counters().run_received(frame_length(&frame));
        let reply = decode_frame::<RunReply>(&frame)
            .and_then(|reply| self.check(reply))
            .inspect_err(|report| self.link.close_on_violation(report))?;
        Ok(Some(reply))
    }

    fn check(&mut self, reply: RunReply) -> Result<RunReply, Report<ErrorKind>> {
        match &reply {
            RunReply::Head { .. } => {}
            RunReply::Chunk { bytes, .. } => self.body_bytes += bytes.len() as u64,
            RunReply::End { length, .. } if *length != self.body_bytes => {
                return Err(Report::new(ErrorKind::ProtocolViolation).attach(format!(
                    "received a body of {} bytes, but the final reply states {length}",
                    self.body_bytes
                )));
            }
            RunReply::End { .. } | RunReply::Refused { .. } | RunReply::Broken { .. } => {
                self.finished = true;
            }
        }
        Ok(reply)
    }
}

impl Drop for RunReader {
    fn drop(&mut self) {
        self.link.counters().close_run();
        if !self.finished {
            // Stopping fails only if the stream has already ended.
            let _ = self.frames.get_mut().stop(CANCELLED);
        }
    }
}

/// Run whose request is complete and which waits for [`PeerLink::accept_run`].
pub(crate) struct QueuedRun {
    request: RunRequest,
    stream: SendStream,
}

impl QueuedRun {
    /// Reads the request on a stream that the peer has opened.
    pub(crate) async fn read(
        stream: SendStream,
        receive: RecvStream,
        limit_bytes: usize,
        counters: &LinkCounters,
    ) -> Result<QueuedRun, Report<ErrorKind>> {
        let mut frames = frame_reader(receive, limit_bytes);
        let Some(frame) = frames.next().await else {
            return Err(
                Report::new(ErrorKind::Interrupted).attach("the run stream ended before a request")
            );
        };
        let frame = frame.map_err(|error| frame_error(error, ErrorKind::Interrupted))?;
        counters.run_received(frame_length(&frame));
        let request = decode_frame(&frame)?;
        Ok(QueuedRun { request, stream })
    }

    /// Converts the run into one that can be replied to over the link.
    pub(crate) fn into_run(self, link: PeerLink) -> IncomingRun {
        let writer = RunWriter { stream: self.stream, link, finished: false, partial: false };
        IncomingRun { request: self.request, writer }
    }
}

impl RunWriter {
    /// Sends a reply; a final reply ends the stream.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LinkFailed`] if the router has cancelled the run, the link is closed, or the
    ///   future of an earlier reply was dropped before it completed.
    /// - [`ErrorKind::TooLarge`] if the reply exceeds the frame limit.
    pub async fn send(&mut self, reply: &RunReply) -> Result<(), Report<ErrorKind>> {
        let frame = encode_frame(reply, self.link.frame_limit())?;
        let length = frame.len() as u64;
        if self.partial {
            return Err(Report::new(ErrorKind::LinkFailed)
                .attach("an earlier reply was not sent completely"));
        }
        self.partial = true;
        self.stream.write_chunk(frame).await.change_context(ErrorKind::LinkFailed)?;
        self.partial = false;
        self.link.counters().run_sent(length);
        match reply {
            RunReply::Head { .. } | RunReply::Chunk { .. } => {}
            RunReply::End { .. } | RunReply::Refused { .. } | RunReply::Broken { .. } => {
                self.finish();
            }
        }
        Ok(())
    }

    /// Waits until the router cancels the run or the link is closed.
    ///
    /// The future does not borrow the writer. It never resolves for a run that completes.
    pub fn cancelled(&self) -> impl Future<Output = ()> + Send + use<> {
        let stopped = self.stream.stopped();
        async move {
            if let Ok(None) = stopped.await {
                pending::<()>().await;
            }
        }
    }

    fn finish(&mut self) {
        self.finished = true;
        // Finishing fails only if the reader has stopped the stream and expects no end.
        let _ = self.stream.finish();
        let guard = self.link.counters().track_unacked();
        let stopped = self.stream.stopped();
        tokio::spawn(async move {
            let _ = stopped.await;
            drop(guard);
        });
    }
}

impl Drop for RunWriter {
    fn drop(&mut self) {
        if !self.finished {
            // Resetting fails only if the stream has already ended.
            let _ = self.stream.reset(ABANDONED);
        }
    }
}
