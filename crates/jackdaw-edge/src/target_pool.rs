//! Pool of HTTP connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use jackdaw_platform::{build_report_request, is_attempt_response, parse_start_time};
use jackdaw_policy::direct::TargetId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::read_meter::{CLIENT_BUFFER_BYTES, MeteredBody, MeteredStream, ReadMeter};

/// Timeout for opening a connection to a target: below the shortest latency objectives, and far
/// above the round trip between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an idle connection is kept if the target sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// Time before the target's idle timeout at which a connection is discarded, so that no request is
/// sent on a connection that the target is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// How long connections to a target are not reused after it sent a response to another request.
const REUSE_DISABLED_SPAN: Duration = Duration::from_secs(8);

/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(4);

/// Interval of TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time that a target has for its report, which needs no slot.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Size limit of a report, in bytes; it lists the target's runs.
const REPORT_LIMIT_BYTES: usize = 256 * 1024;

/// Why a target's report was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportError {
    /// The connection failed.
    Broken,
    /// The target did not answer in time.
    TimedOut,
    /// The report states no start time, or is the answer to an earlier request.
    Malformed,
}

/// An HTTP connection to a target, which is closed when it is dropped.
pub struct TargetConnection {
    target: TargetId,
    sender: SendRequest<Full<Bytes>>,
    meter: ReadMeter,
    driver: AbortHandle,
    idle_lifetime: Duration,
    idle_since: Instant,
    /// Whether the process at the other end has stated that it is this instance of the target.
    is_confirmed: bool,
    /// Whether the connection was idle before.
    is_reused: bool,
}

/// Failure to send a request or to receive the head of its response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent; contains the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection failed, and the target may have received the request.
    Broken(hyper::Error),
}

/// Pool of idle connections, by target.
#[derive(Default)]
pub struct TargetPool {
    idle: RefCell<HashMap<TargetId, Vec<TargetConnection>>>,
    /// When reuse of connections was last disabled, by target.
    reuse_disabled: RefCell<HashMap<TargetId, Instant>>,
}

impl TargetPool {
    /// Takes the most recently used idle connection to a target.
    pub fn take_idle(&self, target: TargetId) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        connections.retain(TargetConnection::is_alive);
        let position = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(position))
    }

    /// Opens a connection to a target.
    ///
    /// # Errors
    ///
    /// The error of the connection or the handshake, or `TimedOut` if connecting takes too long.
    pub async fn connect(
        &self,
        target: TargetId,
        address: SocketAddr,
    ) -> io::Result<TargetConnection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let probes =
            TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let meter = ReadMeter::default();
        let stream = TokioIo::new(MeteredStream::new(stream, &meter));
        let client = Builder::new().max_buf_size(CLIENT_BUFFER_BYTES).to_owned();
        let handshake = client.handshake(stream).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Errors of a request are returned by `send`, so the driver only logs them.
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "target connection failed");
            }
        });
        Ok(TargetConnection {
            target,
            sender,
            meter,
            driver: driver.abort_handle(),
            idle_lifetime: DEFAULT_IDLE_LIFETIME,
            idle_since: Instant::now(),
            is_confirmed: false,
            is_reused: false,
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn return_idle(&self, mut connection: TargetConnection) {
        if self.is_reuse_disabled(connection.target) || connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.is_reused = true;
        self.idle.borrow_mut().entry(connection.target).or_default().push(connection);
    }

    /// Closes the idle connections to a target that sent a response to another request, and
    /// disables reuse of its connections for a while.
    pub fn disable_reuse(&self, target: TargetId) {
        self.reuse_disabled.borrow_mut().insert(target, Instant::now());
        self.idle.borrow_mut().remove(&target);
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the idle connections to a target.
    pub fn close_idle(&self, target: TargetId) {
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes connections that were idle for too long or whose target is no longer known.
    pub fn expire(&self, is_known: impl Fn(TargetId) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|target, connections| {
            connections.retain(TargetConnection::is_alive);
            is_known(*target) && !connections.is_empty()
        });
        self.reuse_disabled.borrow_mut().retain(|_, since| since.elapsed() < REUSE_DISABLED_SPAN);
    }

    fn is_reuse_disabled(&self, target: TargetId) -> bool {
        let reuse_disabled = self.reuse_disabled.borrow();
        reuse_disabled.get(&target).is_some_and(|since| since.elapsed() < REUSE_DISABLED_SPAN)
    }
}

impl TargetConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`SendError`], which states whether the target may have received the request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, SendError> {
        self.meter.reset();
        let result = self.sender.try_send_request(request).await;
        let response = result.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Broken(error.into_error()),
        })?;
        if let Some(lifetime) = parse_idle_timeout(response.headers()) {
            self.idle_lifetime = lifetime;
        }
        self.meter.reset();
        Ok(response.map(|body| MeteredBody::new(body, &self.meter)))
    }

    /// Asks the process at the other end when it started. The entry of a target may be older than the
    /// process that has its name and address now.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if there is no usable answer in time; the connection must not be used further.
    pub async fn read_start_time(&mut self, address: SocketAddr) -> Result<u64, ReportError> {
        let request = build_report_request(&address.to_string());
        let exchange = async {
            let response = self.send(request).await.map_err(|_| ReportError::Broken)?;
            if is_attempt_response(response.headers()) {
                return Err(ReportError::Malformed);
            }
            let body = Limited::new(response.into_body(), REPORT_LIMIT_BYTES).collect().await;
            let body = body.map_err(|_| ReportError::Broken)?.to_bytes();
            parse_start_time(&body).ok_or(ReportError::Malformed)
        };
        timeout(REPORT_TIMEOUT, exchange).await.unwrap_or(Err(ReportError::TimedOut))
    }

    /// Returns whether the target has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns whether the connection was idle before, so that the target may have closed it.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns whether the process at the other end is known to be this instance of the target.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Records that the process at the other end is this instance of the target.
    pub fn confirm(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns the target of the connection.
    pub fn target(&self) -> TargetId {
        self.target
    }

    fn is_alive(&self) -> bool {
        !self.sender.is_closed()
            && self.idle_since.elapsed() < self.idle_lifetime.saturating_sub(IDLE_MARGIN)
    }
}

impl Drop for TargetConnection {
    /// Closes the connection immediately, so that the target stops its work.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Parses the idle timeout of the target from `Keep-Alive: timeout=SECONDS`.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
