//! Open link to another process.

mod control;
mod counters;
mod liveness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use quinn::{Connection, ConnectionError, SendStream, VarInt};
use tokio::sync::{Mutex, mpsc, watch};

use crate::dial_pool::DialPool;
use crate::frame::{FrameReader, encode_frame};
use crate::run::{IncomingRun, QueuedRun, RunReader};
use crate::{ControlMessage, LinkGreeting, LinkSettings, RunRequest};

pub(crate) use self::counters::LinkCounters;

/// QUIC application error code of a regular close.
pub(crate) const CLOSE_NORMAL: VarInt = VarInt::from_u32(1);
/// QUIC application error code of a close after a protocol violation by the peer.
pub(crate) const CLOSE_VIOLATION: VarInt = VarInt::from_u32(2);
/// QUIC application error code of a close that refuses the peer.
pub(crate) const CLOSE_REFUSED: VarInt = VarInt::from_u32(3);

/// Handle of an open link; clones share the link, and dropping the last one closes it.
#[derive(Clone)]
pub struct PeerLink {
    shared: Arc<SharedLink>,
}

/// Reason why a link is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkClosure {
    /// `ProtocolViolation` if one end sent an invalid message, `LinkFailed` in all other cases.
    pub kind: ErrorKind,
    /// Description of the reason.
    pub reason: String,
}

/// Identifier of the next link of this process.
static NEXT_LINK: AtomicUsize = AtomicUsize::new(0);

struct SharedLink {
    id: usize,
    connection: Connection,
    greeting: LinkGreeting,
    version: u16,
    frame_limit: usize,
    counters: Arc<LinkCounters>,
    outgoing: mpsc::Sender<Bytes>,
    incoming: Mutex<mpsc::Receiver<ControlMessage>>,
    runs: Mutex<mpsc::Receiver<QueuedRun>>,
    probe_number: AtomicU64,
    probe_reply: watch::Receiver<u64>,
}

/// Connection with its control stream after both greetings have been exchanged.
pub(crate) struct OpenedControl {
    pub(crate) connection: Connection,
    pub(crate) sender: SendStream,
    pub(crate) frames: FrameReader,
    pub(crate) own: LinkGreeting,
    pub(crate) peer: LinkGreeting,
    /// Pool that the link was opened from; `None` if the peer opened it.
    pub(crate) pool: Option<Arc<DialPool>>,
}

impl PeerLink {
    /// Spawns the tasks of a link whose handshake has completed.
    pub(crate) fn spawn(control: OpenedControl, settings: &LinkSettings) -> PeerLink {
        let (outgoing, outgoing_queue) = mpsc::channel(settings.send_queue_limit);
        let (incoming_sender, incoming) = mpsc::channel(settings.receive_queue_limit);
        let (run_sender, runs) = mpsc::channel(1);
        let (probe_sender, probe_reply) = watch::channel(0);
        let counters = Arc::new(LinkCounters::new());
        let connection = control.connection;
        let link = PeerLink {
            shared: Arc::new(SharedLink {
                id: NEXT_LINK.fetch_add(1, Ordering::Relaxed),
                connection: connection.clone(),
                greeting: control.peer,
                version: control.own.version.min(control.peer.version),
                frame_limit: settings.frame_limit_bytes,
                counters: Arc::clone(&counters),
                outgoing: outgoing.clone(),
                incoming: Mutex::new(incoming),
                runs: Mutex::new(runs),
                probe_number: AtomicU64::new(0),
                probe_reply,
            }),
        };
        tokio::spawn(control::write_control(
            connection.clone(),
            control.sender,
            outgoing_queue,
            Arc::clone(&counters),
        ));
        let monitor = liveness::LivenessMonitor {
            connection: connection.clone(),
            outgoing: outgoing.clone(),
            counters: Arc::clone(&counters),
            settings: *settings,
            pool: control.pool,
        };
        tokio::spawn(monitor.run());
        let reader = control::ControlReader {
            connection: connection.clone(),
            frames: control.frames,
            incoming: incoming_sender,
            outgoing,
            probe_replies: probe_sender,
            counters: Arc::clone(&counters),
            frame_limit: settings.frame_limit_bytes,
        };
        tokio::spawn(reader.run());
        let acceptor = control::RunAcceptor {
            connection,
            runs: run_sender,
            counters,
            frame_limit: settings.frame_limit_bytes,
        };
        tokio::spawn(acceptor.run());
        link
    }

    /// Returns the peer's greeting, whose VM and role match its certificate.
    pub fn greeting(&self) -> &LinkGreeting {
        &self.shared.greeting
    }

    /// Returns the identifier of the link, which is never reused within the process.
    pub fn id(&self) -> usize {
        self.shared.id
    }

    /// Returns the newest message version that both ends support.
    pub fn version(&self) -> u16 {
        self.shared.version
    }

    /// Returns the socket address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.shared.connection.remote_address()
    }

    /// Queues a control message without waiting.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LinkFailed`] if the link is closed or the send queue is full. A full queue
    ///   closes the link, because the state of the two ends would diverge after a lost message.
    /// - [`ErrorKind::TooLarge`] if the message exceeds the frame limit.
    /// - [`ErrorKind::ProtocolViolation`] if the peer's version does not include the message; the
    ///   link stays open.
    #[expect(clippy::needless_pass_by_value, reason = "takes ownership of the message")]
    pub fn send(&self, message: ControlMessage) -> Result<(), Report<ErrorKind>> {
        if message.min_version() > self.shared.version {
            return Err(Report::new(ErrorKind::ProtocolViolation).attach(format!(
                "the message requires version {}, the link uses version {}",
                message.min_version(),
                self.shared.version
            )));
        }
        let frame = encode_frame(&message, self.shared.frame_limit)?;
        match self.shared.outgoing.try_send(frame) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Err(Report::new(ErrorKind::LinkFailed).attach("the link is closed"))
            }
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.shared.connection.close(CLOSE_NORMAL, b"send queue is full");
                Err(Report::new(ErrorKind::LinkFailed).attach("the send queue is full"))
            }
        }
    }

    /// Returns the next control message, or `None` if the link is closed.
    pub async fn receive(&self) -> Option<ControlMessage> {
        self.shared.incoming.lock().await.recv().await
    }

    /// Opens a run stream and sends the complete request.
    ///
    /// # Errors
    ///
    /// - [`ErrorKind::LinkFailed`] if the link is closed before the request is sent.
    /// - [`ErrorKind::TooLarge`] if the request exceeds the frame limit.
    pub async fn open_run(&self, request: &RunRequest) -> Result<RunReader, Report<ErrorKind>> {
        RunReader::open(self, request).await
    }

    /// Returns the next run that the peer has opened, or `None` if the link is closed.
    ///
    /// Requests are read concurrently and returned when they are complete, so that a large request
    /// does not delay others and a truncated one is never returned. The method is cancel safe.
    pub async fn accept_run(&self) -> Option<IncomingRun> {
        let run = self.shared.runs.lock().await.recv().await?;
        Some(run.into_run(self.clone()))
    }

    /// Measures the round-trip time of a probe on the control stream.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LinkFailed`] if the link is closed before the reply arrives.
    pub async fn probe(&self) -> Result<Duration, Report<ErrorKind>> {
        let number = self.shared.probe_number.fetch_add(1, Ordering::Relaxed) + 1;
        let mut reply = self.shared.probe_reply.clone();
        let started = Instant::now();
        self.send(ControlMessage::Probe(number))?;
        reply
            .wait_for(|answered| *answered >= number)
            .await
            .change_context(ErrorKind::LinkFailed)
            .attach("the link was closed before the probe was answered")?;
        Ok(started.elapsed())
    }

    /// Returns the number of bytes of control messages, sent and received.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.counters().control_bytes()
    }

    /// Returns the number of bytes of requests and replies on run streams, sent and received.
    pub fn run_bytes(&self) -> (u64, u64) {
        self.counters().run_bytes()
    }

    /// Returns the number of bytes of UDP payload of the link, sent and received.
    pub fn datagram_bytes(&self) -> (u64, u64) {
        let stats = self.shared.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Returns the number of UDP datagrams sent.
    pub fn datagrams_sent(&self) -> u64 {
        self.shared.connection.stats().udp_tx.datagrams
    }

    /// Waits until the peer has acknowledged every run stream that this end has finished.
    pub async fn drained(&self) {
        self.counters().drained().await;
    }

    /// Waits until the link is closed and returns the reason.
    pub async fn closed(&self) -> LinkClosure {
        let error = self.shared.connection.closed().await;
        let kind = match &error {
            ConnectionError::ApplicationClosed(frame) if frame.error_code == CLOSE_VIOLATION => {
                ErrorKind::ProtocolViolation
            }
            ConnectionError::LocallyClosed if self.counters().has_violation() => {
                ErrorKind::ProtocolViolation
            }
            _ => ErrorKind::LinkFailed,
        };
        LinkClosure { kind, reason: error.to_string() }
    }

    /// Closes the link immediately; messages and runs that are not acknowledged are lost.
    pub fn close(&self, reason: &str) {
        self.shared.connection.close(CLOSE_NORMAL, reason.as_bytes());
    }

    /// Closes the link if the report is a protocol violation by the peer.
    pub(crate) fn close_on_violation(&self, report: &Report<ErrorKind>) {
        if *report.current_context() == ErrorKind::ProtocolViolation {
            control::close_on_violation(&self.shared.connection, self.counters(), report);
        }
    }

    pub(crate) fn connection(&self) -> &Connection {
        &self.shared.connection
    }

    pub(crate) fn counters(&self) -> &LinkCounters {
        &self.shared.counters
    }

    pub(crate) fn frame_limit(&self) -> usize {
        self.shared.frame_limit
    }
}

impl Drop for SharedLink {
    fn drop(&mut self) {
        self.connection.close(CLOSE_NORMAL, b"link dropped");
    }
}
