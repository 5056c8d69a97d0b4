//! Tasks of a link that serve its control stream and accept the run streams of the peer.

use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt;
use jackdaw_base::{ErrorKind, describe_report};
use quinn::{Connection, RecvStream, SendStream};
use tokio::sync::{mpsc, watch};

use super::{CLOSE_NORMAL, CLOSE_VIOLATION, LinkCounters};
use crate::ControlMessage;
use crate::frame::{FrameReader, decode_frame, encode_frame, frame_error, frame_length};
use crate::run::QueuedRun;

/// Maximum number of messages that are coalesced into one write.
const COALESCED_MESSAGES: usize = 64;

/// Task that reads the control stream.
pub(super) struct ControlReader {
    pub(super) connection: Connection,
    pub(super) frames: FrameReader,
    pub(super) incoming: mpsc::Sender<ControlMessage>,
    pub(super) outgoing: mpsc::Sender<Bytes>,
    pub(super) probe_replies: watch::Sender<u64>,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) frame_limit: usize,
}

impl ControlReader {
    /// Dispatches messages until the stream ends, then closes the link.
    pub(super) async fn run(mut self) {
        match self.dispatch_messages().await {
            Err(report) if *report.current_context() == ErrorKind::ProtocolViolation => {
                close_on_violation(&self.connection, &self.counters, &report);
            }
            Err(_) | Ok(()) => {}
        }
        if self.connection.close_reason().is_none() {
            self.connection.close(CLOSE_NORMAL, b"control stream ended");
        }
    }

    async fn dispatch_messages(&mut self) -> Result<(), Report<ErrorKind>> {
        while let Some(frame) = self.frames.next().await {
            let frame = frame.map_err(|error| frame_error(error, ErrorKind::LinkFailed))?;
            self.counters.control_received(frame_length(&frame));
            match decode_frame(&frame)? {
                ControlMessage::Probe(number) => {
                    let reply =
                        encode_frame(&ControlMessage::ProbeReply(number), self.frame_limit)?;
                    // If the send queue is full, the probe goes unanswered, which signals to the
                    // peer that this end does not keep up.
                    let _ = self.outgoing.try_send(reply);
                }
                ControlMessage::ProbeReply(number) => {
                    self.probe_replies.send_replace(number);
                }
                message => {
                    if self.incoming.send(message).await.is_err() {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }
}

/// Writes queued messages to the control stream and coalesces those that wait into one write.
pub(super) async fn write_control(
    connection: Connection,
    mut sender: SendStream,
    mut queue: mpsc::Receiver<Bytes>,
    counters: Arc<LinkCounters>,
) {
    let mut frames = Vec::with_capacity(COALESCED_MESSAGES);
    loop {
        tokio::select! {
            count = queue.recv_many(&mut frames, COALESCED_MESSAGES) => {
                if count == 0 {
                    return;
                }
            }
            _ = connection.closed() => return,
        }
        let bytes = frames.iter().map(Bytes::len).sum::<usize>();
        if sender.write_all_chunks(&mut frames).await.is_err() {
            return;
        }
        counters.control_sent(bytes as u64);
        frames.clear();
    }
}

/// Task that accepts the run streams that the peer opens.
#[derive(Clone)]
pub(super) struct RunAcceptor {
    pub(super) connection: Connection,
    pub(super) runs: mpsc::Sender<QueuedRun>,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) frame_limit: usize,
}

impl RunAcceptor {
    /// Reads each request in a separate task until the link is closed.
    pub(super) async fn run(self) {
        while let Ok((send, receive)) = self.connection.accept_bi().await {
            tokio::spawn(self.clone().read(send, receive));
        }
    }

    async fn read(self, send: SendStream, receive: RecvStream) {
        match QueuedRun::read(send, receive, self.frame_limit, &self.counters).await {
            // The queue is closed if the process has dropped the link.
            Ok(run) => drop(self.runs.send(run).await),
            Err(report) if *report.current_context() == ErrorKind::ProtocolViolation => {
                close_on_violation(&self.connection, &self.counters, &report);
            }
            Err(report) => {
                let address = self.connection.remote_address();
                let reason = describe_report(&report);
                log::warn!("run stream from {address} is ignored: {reason}");
            }
        }
    }
}

/// Closes a link after an invalid message from the peer, unless it is closed already.
pub(super) fn close_on_violation(
    connection: &Connection,
    counters: &LinkCounters,
    report: &Report<ErrorKind>,
) {
    if connection.close_reason().is_some() {
        return;
    }
    let address = connection.remote_address();
    log::warn!("closing link to {address}: {}", describe_report(report));
    counters.record_violation();
    connection.close(CLOSE_VIOLATION, b"message cannot be read");
}
