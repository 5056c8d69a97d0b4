//! HTTP server for callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jackdaw_base::ErrorKind;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::caller_stream::CallerStream;
use crate::edge_state::{EdgeStage, EdgeState};
use crate::http_exchange::serve_request;
use crate::socket_progress::ProgressGuard;

/// Idle timeout until a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Limit of a request's head, in bytes, until a configuration is known; also the lower bound
/// of a configured limit.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Length of the accept queue per core of processor share: the connections that a router with a
/// share of 0.063 of a core accepts per core and second. Connections beyond these would be served
/// too late.
const ACCEPT_QUEUE_PER_CORE: f64 = 1000.0;

/// Minimum and maximum length of the accept queue.
const ACCEPT_QUEUE_RANGE: (f64, f64) = (32.0, 1024.0);

/// Size of a connection's receive buffer, in bytes. What a caller sends beyond it waits at the caller.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Time for which connections are read on after the last one was accepted, since requests may have
/// arrived that were not read yet.
const UNREAD_REQUEST_TIME: Duration = Duration::from_millis(50);

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts and serves the connections of callers.
pub struct CallerServer {
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Binds the caller address and serves until [`EdgeStage::Closing`].
    ///
    /// # Errors
    ///
    /// `LocalResource` if the address cannot be bound.
    pub async fn bind(state: &Rc<EdgeState>) -> Result<CallerServer, Report<ErrorKind>> {
        let settings = state.settings();
        let address = settings.caller_address;
        let listener = listen(address, accept_queue_len(settings.processor_share));
        let listener = listener
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| address.to_string())?;
        let task = tokio::task::spawn_local(accept_callers(Rc::clone(state), listener));
        Ok(CallerServer { task })
    }

    /// Waits until the server has stopped accepting connections, and has read the requests that had
    /// arrived by then.
    pub async fn close(self) {
        if let Err(error) = self.task.await {
            log::error!(error:% = error; "caller server task failed");
        }
        tokio::time::sleep(UNREAD_REQUEST_TIME).await;
    }
}

fn accept_queue_len(processor_share: f64) -> u32 {
    let (min, max) = ACCEPT_QUEUE_RANGE;
    (ACCEPT_QUEUE_PER_CORE * processor_share).clamp(min, max) as u32
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Lets a restarted router bind its address immediately, as `TcpListener::bind` does.
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

async fn accept_callers(state: Rc<EdgeState>, listener: TcpListener) {
    while state.stage() < EdgeStage::Closing {
        let pending = listener.accept().now_or_never();
        state.record_accept(pending.is_some());
        let accepted = match pending {
            Some(accepted) => accepted,
            None => tokio::select! {
                accepted = listener.accept() => accepted,
                () = state.wait_closing() => break,
            },
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream));
                // Requests that are ready are served before more connections are accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(error) = serve_accept_queue(&state, listener) {
        log::warn!(error:% = error; "failed to empty the accept queue");
    }
}

/// Serves the connections in the accept queue, whose callers may have sent a request already, and
/// closes the listener.
fn serve_accept_queue(state: &Rc<EdgeState>, listener: TcpListener) -> io::Result<()> {
    // The runtime may not have noticed the last connections yet, so it is not asked for them.
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        let stream = TcpStream::from_std(stream)?;
        tokio::task::spawn_local(serve_connection(Rc::clone(state), stream));
    }
}

async fn serve_connection(state: Rc<EdgeState>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set TCP_NODELAY on a caller connection");
    }
    let limits = state.router().table().map(|table| table.config().limits.clone());
    let idle_timeout = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let header_bytes = limits.as_ref().map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let stream = CallerStream::new(&state, stream);
    let guard = Rc::clone(stream.guard());
    let _progress = ProgressGuard::new(stream.progress());
    let (service_state, caller) = (Rc::clone(&state), stream.clone());
    let service = service_fn(move |request| {
        let (state, caller) = (Rc::clone(&service_state), caller.clone());
        async move { Ok::<_, Infallible>(serve_request(state, &caller, request).await) }
    });
    let mut builder = http1::Builder::new();
    // The header timer starts at the end of the previous response, so it also limits idle time.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(header_bytes.max(DEFAULT_HEADER_BYTES))
        .keep_alive(state.keeps_connections());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        // A connection that is to be closed is also asked to drain.
        biased;
        result = connection.as_mut() => result,
        () = guard.wait_close() => {
            state.metrics.connections_closed.inc();
            log::info!(open = state.callers.open_count(); "too many caller connections; closing an unused one");
            return;
        }
        () = guard.wait_drain() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = state.wait_closing() => {
            // The HTTP server closes a connection on which no request was read yet, and one that is
            // idle, even if a request waits there.
            match timeout(UNREAD_REQUEST_TIME, connection.as_mut()).await {
                Ok(result) => result,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "caller connection failed");
    }
}
