//! Connections to targets, kept while they are idle.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jackdaw_policy::direct::TargetId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The longest time in which a connection to a target is made: within the shortest latency
/// objectives, far above the way between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time for which an idle connection is kept where the target states none.
const DEFAULT_IDLE_LIFETIME: Duration = Duration::from_secs(4);

/// The time before the target's own idle timeout at which a connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// The time for which a target that sent bytes nobody asked for gets each connection once.
const REUSE_DISABLED_SPAN: Duration = Duration::from_secs(8);

/// Idle time after which probes find out whether the other side is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(4);

/// Pause between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A connection to a target.
pub struct TargetConnection {
    target: TargetId,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_lifetime: Duration,
    idle_since: Instant,
}

/// How a request failed on a connection.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent; it is given back.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The target may have seen the request.
    Broken(hyper::Error),
}

/// Idle connections by target.
#[derive(Default)]
pub struct TargetPool {
    idle: RefCell<HashMap<TargetId, Vec<TargetConnection>>>,
    reuse_disabled: RefCell<HashMap<TargetId, Instant>>,
}

impl TargetPool {
    /// Takes an idle connection to a target, the one used last.
    pub fn take_idle(&self, target: TargetId) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&target)?;
        connections.retain(TargetConnection::is_alive);
        let position = connections.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(connections.remove(position))
    }

    /// Makes a connection to a target.
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
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // The failure of a request is reported to the request itself.
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection to a target broke");
            }
        });
        Ok(TargetConnection {
            target,
            sender,
            driver: driver.abort_handle(),
            idle_lifetime: DEFAULT_IDLE_LIFETIME,
            idle_since: Instant::now(),
        })
    }

    /// Takes back a connection whose answer came to its end.
    pub fn return_idle(&self, mut connection: TargetConnection) {
        if self.is_reuse_disabled(connection.target) || connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().entry(connection.target).or_default().push(connection);
    }

    /// Notes that a target sent an answer that belongs to no request.
    pub fn disable_reuse(&self, target: TargetId) {
        self.reuse_disabled.borrow_mut().insert(target, Instant::now());
        self.idle.borrow_mut().remove(&target);
    }

    /// Closes the connections that are idle for too long or lead to unknown targets.
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
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let answer = self.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::NotSent(Box::new(request)),
            None => SendError::Broken(error.into_error()),
        })?;
        if let Some(lifetime) = parse_idle_timeout(answer.headers()) {
            self.idle_lifetime = lifetime;
        }
        Ok(answer)
    }

    /// Returns the target.
    pub fn target(&self) -> TargetId {
        self.target
    }

    fn is_alive(&self) -> bool {
        !self.sender.is_closed()
            && self.idle_since.elapsed() < self.idle_lifetime.saturating_sub(IDLE_MARGIN)
    }
}

impl Drop for TargetConnection {
    /// Closes the connection at once, so that the target stops its work.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Reads how long the target keeps an idle connection, in whole seconds.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut words = value.split(',').map(str::trim);
    let seconds = words.find_map(|word| word.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
