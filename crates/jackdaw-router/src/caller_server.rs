//! HTTP server for callers.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix::Addr;
use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpResponseBuilder, HttpServer, web};
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use futures_util::stream;
use jackdaw_base::ErrorKind;
use jackdaw_telemetry::{problem_response, retry_response};
use tokio::sync::mpsc;

use crate::decision_actor::{AdmitRequest, DecisionActor, ReadReadiness};
use crate::request_parser::parse_request;

/// Maximum number of response parts that are buffered for a slow caller.
const RESPONSE_QUEUE_LENGTH: usize = 64;

/// Number of threads that serve callers.
const SERVER_WORKERS: usize = 2;

/// Maximum time that a graceful shutdown waits for responses in progress, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 600;

/// Retry delay sent to the caller if a request is rejected on arrival.
const REJECTION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Retry delay sent to the caller if a request is quarantined because it crashes targets.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Part of the response to a caller.
pub enum ResponsePart {
    /// Status and headers.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
    },
    /// Chunk of the body.
    Body(Bytes),
    /// End of a complete body.
    End,
    /// Failure before the response was complete.
    Failure {
        /// Reason for the failure.
        kind: ErrorKind,
        /// Delay after which the caller may retry, or zero if a retry is pointless.
        retry_after: Duration,
    },
}

/// Settings of the HTTP server for callers.
pub struct CallerSettings {
    /// Address to bind; port zero lets the system choose a port.
    pub address: SocketAddr,
    /// Maximum length of a request body, in bytes.
    pub body_limit: usize,
    /// TLS configuration; `None` serves plain HTTP.
    pub tls: Option<rustls::ServerConfig>,
}

/// Handle of the running HTTP server for callers.
pub struct CallerServer {
    /// Bound address.
    address: SocketAddr,
    /// Handle that stops the server.
    handle: ServerHandle,
}

impl CallerServer {
    /// Binds the address and starts serving callers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::LocalResource`] if the address cannot be bound.
    pub fn bind(
        settings: CallerSettings,
        actor: Addr<DecisionActor>,
    ) -> Result<CallerServer, Report<ErrorKind>> {
        let listener =
            TcpListener::bind(settings.address).change_context(ErrorKind::LocalResource)?;
        let address = listener.local_addr().change_context(ErrorKind::LocalResource)?;
        let body_limit = settings.body_limit;
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(actor.clone()))
                .app_data(web::PayloadConfig::new(body_limit))
                .route("/health", web::get().to(HttpResponse::Ok))
                .route("/ready", web::get().to(handle_ready))
                .default_service(web::to(handle_request))
        })
        .workers(SERVER_WORKERS)
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals();
        let server = match settings.tls {
            Some(config) => server.listen_rustls_0_23(listener, config),
            None => server.listen(listener),
        };
        let server = server.change_context(ErrorKind::LocalResource)?.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(CallerServer { address, handle })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits for responses in progress.
    pub async fn close(self) {
        self.handle.stop(true).await;
    }

    /// Closes all connections immediately.
    pub async fn abort(self) {
        self.handle.stop(false).await;
    }
}

async fn handle_ready(actor: web::Data<Addr<DecisionActor>>) -> HttpResponse {
    match actor.send(ReadReadiness).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => problem_response(ErrorKind::NotReady, "starting or leaving"),
    }
}

async fn handle_request(
    request: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
    actor: web::Data<Addr<DecisionActor>>,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return reject_body(&error),
    };
    let request = match parse_request(&request, body) {
        Ok(request) => request,
        Err(error) => return problem_response(error.kind, &error.detail),
    };
    let (sender, mut receiver) = mpsc::channel(RESPONSE_QUEUE_LENGTH);
    match actor.send(AdmitRequest { request, sender }).await {
        Ok(Ok(())) => {}
        Ok(Err(kind)) => return retry_response(kind, "", retry_after(kind)),
        Err(_) => return reject_not_ready(),
    }
    match receiver.recv().await {
        Some(ResponsePart::Head { status, headers }) => {
            build_response(status, &headers).streaming(stream_body(receiver))
        }
        Some(ResponsePart::Failure { kind, retry_after }) => retry_response(kind, "", retry_after),
        _ => problem_response(ErrorKind::Interrupted, ""),
    }
}

fn reject_not_ready() -> HttpResponse {
    retry_response(ErrorKind::NotReady, "", retry_after(ErrorKind::NotReady))
}

/// Returns the retry delay of a request that was rejected on arrival, or zero if a retry is
/// pointless.
fn retry_after(kind: ErrorKind) -> Duration {
    match kind {
        ErrorKind::Quarantined => QUARANTINE_RETRY_DELAY,
        kind if kind.is_retryable() => REJECTION_RETRY_DELAY,
        _ => Duration::ZERO,
    }
}

fn reject_body(error: &actix_web::Error) -> HttpResponse {
    let kind = match error.as_response_error().status_code() {
        StatusCode::PAYLOAD_TOO_LARGE => ErrorKind::TooLarge,
        _ => ErrorKind::Malformed,
    };
    problem_response(kind, &format!("body: {error}"))
}

fn build_response(status: u16, headers: &[(String, String)]) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder
}

/// Returns a stream of the body's chunks.
///
/// An incomplete body ends with an error, which closes the connection so that the caller does not
/// mistake the body for a complete one.
fn stream_body(
    receiver: mpsc::Receiver<ResponsePart>,
) -> impl stream::Stream<Item = Result<Bytes, actix_web::Error>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(ResponsePart::Body(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(ResponsePart::End) => None,
            Some(ResponsePart::Failure { kind, .. }) => {
                Some((Err(actix_web::error::ErrorBadGateway(kind)), None))
            }
            Some(ResponsePart::Head { .. }) | None => {
                Some((Err(actix_web::error::ErrorBadGateway(ErrorKind::Interrupted)), None))
            }
        }
    })
}
