//! HTTP server towards callers.

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

use crate::call_reader::read_call;
use crate::decision_actor::{AdmitCall, DecisionActor, ReadReadiness};

/// The parts of an answer that may wait for a slow caller.
const ANSWER_QUEUE: usize = 64;

/// The threads that serve callers.
const SERVER_WORKERS: usize = 2;

/// The longest time that a graceful stop waits for answers in progress, in seconds.
const SHUTDOWN_SECONDS: u64 = 600;

/// The time after which a request that was refused at once may come again.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// The time after which a request that crashes targets may come again.
const QUARANTINE_PAUSE: Duration = Duration::from_secs(60);

/// Part of the answer to a caller.
pub enum AnswerPart {
    /// The head of the answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<(String, String)>,
    },
    /// A part of the body.
    Body(Bytes),
    /// The body is whole.
    End,
    /// There is no whole answer.
    Failure {
        /// The reason.
        kind: ErrorKind,
        /// The time after which a further try makes sense; zero where none does.
        retry_after: Duration,
    },
}

/// Settings of the server.
pub struct CallerSettings {
    /// The address; port zero lets the system choose.
    pub address: SocketAddr,
    /// The longest body of a request, in bytes.
    pub body_limit: usize,
    /// The certificate and key; `None` serves plain HTTP.
    pub tls: Option<rustls::ServerConfig>,
}

/// Handle of the running server.
pub struct CallerServer {
    /// The address.
    address: SocketAddr,
    /// The server.
    handle: ServerHandle,
}

impl CallerServer {
    /// Binds the address and serves callers.
    ///
    /// Fails with [`ErrorKind::LocalResource`] where the address cannot be bound.
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
                .route("/ready", web::get().to(answer_readiness))
                .default_service(web::to(answer_call))
        })
        .workers(SERVER_WORKERS)
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_SECONDS)
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

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking connections and waits for answers in progress.
    pub async fn close(self) {
        self.handle.stop(true).await;
    }

    /// Cuts all connections.
    pub async fn abort(self) {
        self.handle.stop(false).await;
    }
}

async fn answer_readiness(actor: web::Data<Addr<DecisionActor>>) -> HttpResponse {
    match actor.send(ReadReadiness).await {
        Ok(true) => HttpResponse::Ok().finish(),
        _ => problem_response(ErrorKind::NotReady, "starting or leaving"),
    }
}

async fn answer_call(
    request: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
    actor: web::Data<Addr<DecisionActor>>,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => return refuse_body(&error),
    };
    let call = match read_call(&request, body) {
        Ok(call) => call,
        Err(error) => return problem_response(error.kind, &error.detail),
    };
    let (sender, mut receiver) = mpsc::channel(ANSWER_QUEUE);
    match actor.send(AdmitCall { call, sender }).await {
        Ok(Ok(())) => {}
        Ok(Err(kind)) => return retry_response(kind, "", retry_after(kind)),
        Err(_) => return refuse_not_ready(),
    }
    match receiver.recv().await {
        Some(AnswerPart::Head { status, headers }) => {
            build_head(status, &headers).streaming(stream_body(receiver))
        }
        Some(AnswerPart::Failure { kind, retry_after }) => retry_response(kind, "", retry_after),
        _ => problem_response(ErrorKind::Interrupted, ""),
    }
}

fn refuse_not_ready() -> HttpResponse {
    retry_response(ErrorKind::NotReady, "", retry_after(ErrorKind::NotReady))
}

/// Returns when a request that was refused at once may come again; zero where it need not.
fn retry_after(kind: ErrorKind) -> Duration {
    match kind {
        ErrorKind::Quarantined => QUARANTINE_PAUSE,
        kind if kind.is_retryable() => REFUSAL_PAUSE,
        _ => Duration::ZERO,
    }
}

fn refuse_body(error: &actix_web::Error) -> HttpResponse {
    let kind = match error.as_response_error().status_code() {
        StatusCode::PAYLOAD_TOO_LARGE => ErrorKind::TooLarge,
        _ => ErrorKind::Malformed,
    };
    problem_response(kind, &format!("body: {error}"))
}

fn build_head(status: u16, headers: &[(String, String)]) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.insert_header((name.as_str(), value.as_str()));
    }
    builder
}

/// Turns the parts into the body; a body that is not whole ends with an error, which cuts the
/// connection so that no caller takes it for whole.
fn stream_body(
    receiver: mpsc::Receiver<AnswerPart>,
) -> impl stream::Stream<Item = Result<Bytes, actix_web::Error>> {
    stream::unfold(Some(receiver), |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(AnswerPart::Body(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(AnswerPart::End) => None,
            Some(AnswerPart::Failure { kind, .. }) => {
                Some((Err(actix_web::error::ErrorBadGateway(kind)), None))
            }
            Some(AnswerPart::Head { .. }) | None => {
                Some((Err(actix_web::error::ErrorBadGateway(ErrorKind::Interrupted)), None))
            }
        }
    })
}
