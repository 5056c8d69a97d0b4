//! Tasks of a link: its control stream and the run streams that the peer opens.

use std::sync::Arc;

use bytes::Bytes;
use error_stack::Report;
use futures_util::StreamExt;
use jackdaw_base::{ErrorKind, describe_report};
use quinn::{Connection, RecvStream, SendStream};
use tokio::sync::{mpsc, watch};

use super::{LinkCounters, ORDINARY, VIOLATION};
use crate::ControlMessage;
use crate::frame::{FrameReader, decode_frame, encode_frame, frame_length, read_failure};
use crate::run::QueuedRun;

/// The most messages that go into one write.
const COALESCED_MESSAGES: usize = 64;

/// Reads the control stream.
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
    /// Passes messages on until the stream ends.
    pub(super) async fn run(mut self) {
        match self.pass_on().await {
            Err(report) if *report.current_context() == ErrorKind::ProtocolViolation => {
                violate(&self.connection, &self.counters, &report);
            }
            Err(_) | Ok(()) => {}
        }
        if self.connection.close_reason().is_none() {
            self.connection.close(ORDINARY, b"control stream ended");
        }
    }

    async fn pass_on(&mut self) -> Result<(), Report<ErrorKind>> {
        while let Some(frame) = self.frames.next().await {
            let frame = frame.map_err(|error| read_failure(error, ErrorKind::LinkFailed))?;
            self.counters.control_received(frame_length(&frame));
            match decode_frame(&frame)? {
                ControlMessage::Probe(number) => {
                    let reply =
                        encode_frame(&ControlMessage::ProbeReply(number), self.frame_limit)?;
                    // A full queue leaves the probe unanswered, which says the same.
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

/// Writes queued messages, several in one write.
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

/// Takes the run streams that the peer opens.
#[derive(Clone)]
pub(super) struct RunAcceptor {
    pub(super) connection: Connection,
    pub(super) runs: mpsc::Sender<QueuedRun>,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) frame_limit: usize,
}

impl RunAcceptor {
    /// Reads each run in a task of its own until the link ends.
    pub(super) async fn run(self) {
        while let Ok((send, receive)) = self.connection.accept_bi().await {
            tokio::spawn(self.clone().read(send, receive));
        }
    }

    async fn read(self, send: SendStream, receive: RecvStream) {
        match QueuedRun::read(send, receive, self.frame_limit, &self.counters).await {
            // A closed queue means that the process has dropped the link.
            Ok(run) => drop(self.runs.send(run).await),
            Err(report) if *report.current_context() == ErrorKind::ProtocolViolation => {
                violate(&self.connection, &self.counters, &report);
            }
            Err(report) => {
                let address = self.connection.remote_address();
                let reason = describe_report(&report);
                log::warn!("run from {address} is passed over: {reason}");
            }
        }
    }
}

/// Ends a link because of a message that cannot be read.
pub(super) fn violate(
    connection: &Connection,
    counters: &LinkCounters,
    report: &Report<ErrorKind>,
) {
    if connection.close_reason().is_some() {
        return;
    }
    let address = connection.remote_address();
    log::warn!("link to {address} is closed: {}", describe_report(report));
    counters.note_violation();
    connection.close(VIOLATION, b"message cannot be read");
}
