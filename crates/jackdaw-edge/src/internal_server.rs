//! HTTP server for the load balancer, the other routers and metrics scrapers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use jackdaw_base::ErrorKind;
use jackdaw_platform::READINESS_PATH;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::edge_state::EdgeState;
use crate::peer_snapshot::{SNAPSHOT_PATH, encode_snapshot};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness, metrics and snapshots on one address.
pub struct InternalServer {
    task: JoinHandle<()>,
}

impl InternalServer {
    /// Binds an address and serves until [`InternalServer::close`].
    ///
    /// # Errors
    ///
    /// `LocalResource` if the address cannot be bound.
    pub async fn bind(
        state: &Rc<EdgeState>,
        address: SocketAddr,
    ) -> Result<InternalServer, Report<ErrorKind>> {
        let listener = TcpListener::bind(address).await;
        let listener = listener
            .change_context(ErrorKind::LocalResource)
            .attach_with(|| address.to_string())?;
        let task = tokio::task::spawn_local(accept_connections(Rc::clone(state), listener));
        Ok(InternalServer { task })
    }

    /// Stops accepting connections.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept_connections(state: Rc<EdgeState>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept an internal connection");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        let service = service_fn(move |request: Request<Incoming>| {
            let response = respond_to_path(&state, request.uri());
            async move { Ok::<_, Infallible>(response) }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "internal connection failed");
            }
        });
    }
}

fn respond_to_path(state: &EdgeState, uri: &Uri) -> Response<Full<Bytes>> {
    match uri.path() {
        READINESS_PATH if state.is_ready() => plain(StatusCode::OK, "ready\n"),
        READINESS_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        METRICS_PATH => match state.metrics.registry.encode() {
            Ok(text) => Response::new(Full::new(Bytes::from(text))),
            Err(error) => {
                log::warn!(error:% = error; "failed to encode the metrics");
                plain(StatusCode::INTERNAL_SERVER_ERROR, "no metrics\n")
            }
        },
        SNAPSHOT_PATH => Response::new(Full::new(Bytes::from(encode_snapshot(state, uri.query())))),
        _ => plain(StatusCode::NOT_FOUND, "nothing here\n"),
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
