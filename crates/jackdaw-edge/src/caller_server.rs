//! Callers' connections.

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

use crate::caller_stream::CallerStream;
use crate::edge_state::{EdgeStage, EdgeState};
use crate::http_exchange::serve_request;

/// The idle timeout before a configuration states one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The limit of a request's head before a configuration states one, and the least one.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Connections that wait to be taken, for each core: what a router takes in a second, measured on
/// the bench with 0.063 of a core. Those beyond would be served too late.
const ACCEPT_QUEUE_PER_CORE: f64 = 1000.0;

/// Bounds of the connections that wait to be taken.
const ACCEPT_QUEUE_RANGE: (f64, f64) = (32.0, 1024.0);

/// Pause after a failure to accept, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The server of callers' connections.
pub struct CallerServer {
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Binds the callers' address and serves until the router closes.
    ///
    /// # Errors
    ///
    /// `LocalResource` where the address cannot be bound.
    pub async fn bind(state: &Rc<EdgeState>) -> Result<CallerServer, Report<ErrorKind>> {
        let settings = state.settings();
        let address = settings.caller_address;
        let listener = listen(address, accept_queue(settings.processor_share));
        let listener = listener
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| address.to_string())?;
        let task = tokio::task::spawn_local(accept_callers(Rc::clone(state), listener));
        Ok(CallerServer { task })
    }

    /// Waits until the server takes no more connections.
    pub async fn close(self) {
        if let Err(error) = self.task.await {
            log::error!(error:% = error; "the callers' server failed");
        }
    }
}

fn accept_queue(processor_share: f64) -> u32 {
    let (least, most) = ACCEPT_QUEUE_RANGE;
    (ACCEPT_QUEUE_PER_CORE * processor_share).clamp(least, most) as u32
}

fn listen(address: SocketAddr, queue: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // As the library does by itself: a restarted router takes its address at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(queue)
}

async fn accept_callers(state: Rc<EdgeState>, listener: TcpListener) {
    loop {
        let waiting = listener.accept().now_or_never();
        state.record_accept(waiting.is_some());
        let accepted = match waiting {
            Some(accepted) => accepted,
            None => tokio::select! {
                accepted = listener.accept() => accepted,
                () = state.wait_closing() => return,
            },
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&state), stream));
                // Requests at hand go before further connections.
                tokio::task::yield_now().await;
                if state.stage() == EdgeStage::Closing {
                    return;
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "a connection cannot be taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(state: Rc<EdgeState>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "a caller's connection delays small packets");
    }
    let limits = state.router().table().map(|table| table.config().limits.clone());
    let idle_timeout = limits.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let header_bytes = limits.as_ref().map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let stream = CallerStream::new(stream);
    let (service_state, caller) = (Rc::clone(&state), stream.clone());
    let service = service_fn(move |request| {
        let (state, caller) = (Rc::clone(&service_state), caller.clone());
        async move { Ok::<_, Infallible>(serve_request(state, &caller, request).await) }
    });
    let mut builder = http1::Builder::new();
    // The time for a head runs from the end of the last answer, so it covers idle time too.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(header_bytes.max(DEFAULT_HEADER_BYTES))
        .keep_alive(state.keeps_connections());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let guard = state.callers.add();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = guard.wait_drain() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = state.wait_closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection broke");
    }
}
