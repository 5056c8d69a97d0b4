//! An open link to another process.

mod control;
mod counters;
mod silence;

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

/// Connection code of an ordinary end.
pub(crate) const ORDINARY: VarInt = VarInt::from_u32(1);
/// Connection code after a message that cannot be read.
pub(crate) const VIOLATION: VarInt = VarInt::from_u32(2);
/// Connection code of a peer that was refused.
pub(crate) const REFUSED: VarInt = VarInt::from_u32(3);

/// An open link; clones share it and the last one to be dropped closes it.
#[derive(Clone)]
pub struct PeerLink {
    shared: Arc<SharedLink>,
}

/// Why a link has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkClosure {
    /// The kind: `LinkFailed` for every end that is no fault of a message.
    pub kind: ErrorKind,
    /// The reason as text.
    pub reason: String,
}

/// The number of the next link of this process.
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

/// The control stream after both greetings, as the handshake hands it over.
pub(crate) struct OpenedControl {
    pub(crate) connection: Connection,
    pub(crate) sender: SendStream,
    pub(crate) frames: FrameReader,
    pub(crate) own: LinkGreeting,
    pub(crate) peer: LinkGreeting,
    /// The pool that the link was opened from; `None` where the peer opened it.
    pub(crate) pool: Option<Arc<DialPool>>,
}

impl PeerLink {
    /// Starts the tasks of a link whose greetings have been checked.
    pub(crate) fn spawn(control: OpenedControl, settings: &LinkSettings) -> PeerLink {
        let (outgoing, outgoing_queue) = mpsc::channel(settings.send_queue);
        let (incoming_sender, incoming) = mpsc::channel(settings.receive_queue);
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
        let watch = silence::SilenceWatch {
            connection: connection.clone(),
            outgoing: outgoing.clone(),
            counters: Arc::clone(&counters),
            settings: *settings,
            pool: control.pool,
        };
        tokio::spawn(watch.run());
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

    /// Returns what the peer said about itself, checked against its certificate.
    pub fn greeting(&self) -> &LinkGreeting {
        &self.shared.greeting
    }

    /// Returns a number that tells this link from every other of this process, past ones too.
    pub fn id(&self) -> usize {
        self.shared.id
    }

    /// Returns the newest message version that both ends speak.
    pub fn version(&self) -> u16 {
        self.shared.version
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.shared.connection.remote_address()
    }

    /// Queues a control message without waiting.
    ///
    /// # Errors
    ///
    /// `LinkFailed` where the link has ended or its queue is full; a full queue ends the link,
    /// since both ends would disagree about every message after a lost one. `TooLarge` where
    /// the message exceeds the frame limit; `ProtocolViolation` where the peer is too old to
    /// know the message, which ends nothing.
    #[expect(clippy::needless_pass_by_value, reason = "messages are handed over")]
    pub fn send(&self, message: ControlMessage) -> Result<(), Report<ErrorKind>> {
        if message.since() > self.shared.version {
            return Err(Report::new(ErrorKind::ProtocolViolation).attach(format!(
                "message of version {}, the peer speaks {}",
                message.since(),
                self.shared.version
            )));
        }
        let frame = encode_frame(&message, self.shared.frame_limit)?;
        match self.shared.outgoing.try_send(frame) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => {
                Err(Report::new(ErrorKind::LinkFailed).attach("the link has ended"))
            }
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.shared.connection.close(ORDINARY, b"send queue is full");
                Err(Report::new(ErrorKind::LinkFailed).attach("the send queue is full"))
            }
        }
    }

    /// Returns the next control message, or `None` after the link has ended.
    pub async fn receive(&self) -> Option<ControlMessage> {
        self.shared.incoming.lock().await.recv().await
    }

    /// Opens a run stream and sends the whole request.
    ///
    /// # Errors
    ///
    /// `LinkFailed` where the link ends before the request is sent; `TooLarge` where the
    /// request exceeds the frame limit.
    pub async fn open_run(&self, request: &RunRequest) -> Result<RunReader, Report<ErrorKind>> {
        RunReader::open(self, request).await
    }

    /// Returns the next run that the peer has opened, or `None` after the link has ended.
    ///
    /// Runs are read whole side by side, so that a large one holds up no other. The future may
    /// be dropped and asked for again; a request that is cut off never appears.
    pub async fn accept_run(&self) -> Option<IncomingRun> {
        let run = self.shared.runs.lock().await.recv().await?;
        Some(run.into_run(self.clone()))
    }

    /// Measures the time that the peer's control stream takes to answer.
    ///
    /// # Errors
    ///
    /// `LinkFailed` where the link ends first.
    pub async fn probe(&self) -> Result<Duration, Report<ErrorKind>> {
        let number = self.shared.probe_number.fetch_add(1, Ordering::Relaxed) + 1;
        let mut reply = self.shared.probe_reply.clone();
        let started = Instant::now();
        self.send(ControlMessage::Probe(number))?;
        reply
            .wait_for(|answered| *answered >= number)
            .await
            .change_context(ErrorKind::LinkFailed)
            .attach("the link ended before the probe was answered")?;
        Ok(started.elapsed())
    }

    /// Returns the bytes of control messages, sent and received.
    pub fn control_bytes(&self) -> (u64, u64) {
        self.counters().control_bytes()
    }

    /// Returns the bytes of requests and answers, sent and received.
    pub fn run_bytes(&self) -> (u64, u64) {
        self.counters().run_bytes()
    }

    /// Returns the bytes of UDP payload, sent and received, for everything on the link.
    pub fn datagram_bytes(&self) -> (u64, u64) {
        let stats = self.shared.connection.stats();
        (stats.udp_tx.bytes, stats.udp_rx.bytes)
    }

    /// Returns the UDP datagrams sent.
    pub fn datagrams_sent(&self) -> u64 {
        self.shared.connection.stats().udp_tx.datagrams
    }

    /// Waits until the peer has acknowledged every run stream that this end has finished.
    pub async fn drained(&self) {
        self.counters().drained().await;
    }

    /// Waits until the link has ended and returns why.
    pub async fn closed(&self) -> LinkClosure {
        let error = self.shared.connection.closed().await;
        let kind = match &error {
            ConnectionError::ApplicationClosed(frame) if frame.error_code == VIOLATION => {
                ErrorKind::ProtocolViolation
            }
            ConnectionError::LocallyClosed if self.counters().has_violation() => {
                ErrorKind::ProtocolViolation
            }
            _ => ErrorKind::LinkFailed,
        };
        LinkClosure { kind, reason: error.to_string() }
    }

    /// Ends the link at once; messages and runs that are not acknowledged are lost.
    pub fn close(&self, reason: &str) {
        self.shared.connection.close(ORDINARY, reason.as_bytes());
    }

    /// Ends the link where the report says that the peer broke the protocol.
    pub(crate) fn note(&self, report: &Report<ErrorKind>) {
        if *report.current_context() == ErrorKind::ProtocolViolation {
            control::violate(&self.shared.connection, self.counters(), report);
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
        self.connection.close(ORDINARY, b"link dropped");
    }
}
