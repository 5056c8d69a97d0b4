//! Run streams: one request to an agent and its answer.

use std::future::{Future, pending};

use error_stack::{Report, ResultExt};
use futures_util::StreamExt;
use jackdaw_base::ErrorKind;
use quinn::{RecvStream, SendStream, VarInt};

use crate::frame::{
    FrameReader, decode_frame, encode_frame, frame_length, frame_reader, read_failure,
};
use crate::peer::{LinkCounters, PeerLink};
use crate::{RunReply, RunRequest};

/// Stream code of a run that the router no longer wants.
const CANCELLED: VarInt = VarInt::from_u32(1);
/// Stream code of a run whose writer was dropped before the final reply.
const ABANDONED: VarInt = VarInt::from_u32(2);

/// A request that a router has sent, with the way back for its answer.
pub struct IncomingRun {
    /// The request.
    pub request: RunRequest,
    /// The way back.
    pub writer: RunWriter,
}

/// The answer of one run as the router reads it; dropping it cancels the run.
pub struct RunReader {
    frames: FrameReader,
    link: PeerLink,
    body_bytes: u64,
    finished: bool,
}

/// The answer of one run as the agent writes it.
///
/// A writer that is dropped before a final reply resets the stream, so that the reader never
/// takes a part for the whole.
pub struct RunWriter {
    stream: SendStream,
    link: PeerLink,
    finished: bool,
    /// Whether a reply is being sent; stays set where that future is dropped.
    partial: bool,
}

impl RunReader {
    /// Opens a run stream and sends the whole request.
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

    /// Returns the next reply, or `None` after a final one.
    ///
    /// # Errors
    ///
    /// `Interrupted` where the stream or the link ends before a final reply;
    /// `ProtocolViolation` where a reply cannot be read or the length of the body differs from
    /// what the final reply says.
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
            .map_err(|error| read_failure(error, ErrorKind::Interrupted))
            .inspect_err(|report| self.link.note(report))?;
        self.link.counters().run_received(frame_length(&frame));
        let reply = decode_frame::<RunReply>(&frame)
            .and_then(|reply| self.check(reply))
            .inspect_err(|report| self.link.note(report))?;
        Ok(Some(reply))
    }

    fn check(&mut self, reply: RunReply) -> Result<RunReply, Report<ErrorKind>> {
        match &reply {
            RunReply::Head { .. } => {}
            RunReply::Chunk { bytes, .. } => self.body_bytes += bytes.len() as u64,
            RunReply::End { length, .. } if *length != self.body_bytes => {
                return Err(Report::new(ErrorKind::ProtocolViolation).attach(format!(
                    "body of {} bytes ends with a length of {length}",
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
            // An error means that the stream has ended already.
            let _ = self.frames.get_mut().stop(CANCELLED);
        }
    }
}

/// A request that has been read whole and waits for [`PeerLink::accept_run`].
pub(crate) struct QueuedRun {
    request: RunRequest,
    stream: SendStream,
}

impl QueuedRun {
    /// Reads the request of a stream that the peer has opened.
    pub(crate) async fn read(
        stream: SendStream,
        receive: RecvStream,
        limit_bytes: usize,
        counters: &LinkCounters,
    ) -> Result<QueuedRun, Report<ErrorKind>> {
        let mut frames = frame_reader(receive, limit_bytes);
        let Some(frame) = frames.next().await else {
            return Err(Report::new(ErrorKind::Interrupted).attach("the run stream is empty"));
        };
        let frame = frame.map_err(|error| read_failure(error, ErrorKind::Interrupted))?;
        counters.run_received(frame_length(&frame));
        let request = decode_frame(&frame)?;
        Ok(QueuedRun { request, stream })
    }

    /// Hands the run to the process.
    pub(crate) fn into_run(self, link: PeerLink) -> IncomingRun {
        let writer = RunWriter { stream: self.stream, link, finished: false, partial: false };
        IncomingRun { request: self.request, writer }
    }
}

impl RunWriter {
    /// Sends a reply; a final one ends the stream.
    ///
    /// # Errors
    ///
    /// `LinkFailed` where the router has cancelled the run, the link is lost, or the future of an
    /// earlier reply was dropped in the middle.
    pub async fn send(&mut self, reply: &RunReply) -> Result<(), Report<ErrorKind>> {
        let frame = encode_frame(reply, self.link.frame_limit())?;
        let length = frame.len() as u64;
        if self.partial {
            return Err(Report::new(ErrorKind::LinkFailed).attach("an earlier reply was cut off"));
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

    /// Waits until the router cancels the run or the link is lost.
    ///
    /// The future does not borrow the writer and never resolves for a run that ends whole.
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
        // An error means that the reader has stopped the stream, and needs no end.
        let _ = self.stream.finish();
        let guard = self.link.counters().unacknowledged();
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
            // An error means that the stream has ended already.
            let _ = self.stream.reset(ABANDONED);
        }
    }
}
