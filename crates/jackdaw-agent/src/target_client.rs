//! HTTP client for the target on the agent's VM.

use std::time::Duration;

use actix_web::http::{Method, StatusCode, header};
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use error_stack::Report;
use futures_util::stream::Stream;
use jackdaw_base::{ErrorKind, ServiceKind};
use jackdaw_link::RunRequest;
use serde_json::Value;

/// Timeout for establishing a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout from sending a request to receiving the response head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Field of a completion request with the number of events that the caller already received.
const RESUME_FIELD: &str = "resume_from";

/// Response headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP_HEADERS: &[&str] =
    &["connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// HTTP client of a target.
pub struct TargetClient {
    /// Base URL without a trailing slash.
    base_url: String,
    /// Kind of the target's service.
    kind: ServiceKind,
    /// HTTP client with its connection pool.
    client: Client,
}

/// Response of the target, whose body is still to be read.
pub struct TargetResponse<S> {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// Whether the body is an event stream.
    pub is_event_stream: bool,
    /// Whether the content type of the body is JSON.
    pub is_json: bool,
    /// Length of the body in bytes, if the response has a `Content-Length` header.
    pub content_length: Option<u64>,
    /// Body that is read from the connection.
    pub body: S,
}

/// Reason why the target returned no response head.
pub enum TargetFailure {
    /// No connection was established, so the target has not received the request.
    NotSent(Report<ErrorKind>),
    /// The connection was lost or timed out, and the target may have received the request.
    Lost(Report<ErrorKind>),
}

impl TargetClient {
    /// Creates a client for the target at `base_url`.
    pub fn new(base_url: &str, kind: ServiceKind) -> TargetClient {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = Client::builder()
            .connector(connector)
            .timeout(HEAD_TIMEOUT)
            .disable_redirects()
            .finish();
        TargetClient { base_url: base_url.trim_end_matches('/').to_owned(), kind, client }
    }

    /// Returns the kind of the target's service.
    pub fn kind(&self) -> ServiceKind {
        self.kind
    }

    /// Sends a request and waits for the response head.
    ///
    /// The failure states whether the target may have received the request.
    pub async fn send(
        &self,
        run: &RunRequest,
    ) -> Result<
        TargetResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>,
        TargetFailure,
    > {
        let Ok(method) = Method::from_bytes(run.method.as_bytes()) else {
            let report = Report::new(ErrorKind::Malformed).attach("invalid HTTP method");
            return Err(TargetFailure::NotSent(report));
        };
        let url = format!("{}{}", self.base_url, run.path);
        let mut request = self.client.request(method, url);
        for (name, value) in &run.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        match request.send_body(build_body(run)).await {
            Ok(response) if !(200..600).contains(&response.status().as_u16()) => {
                let status = response.status().as_u16();
                let report = Report::new(ErrorKind::Interrupted).attach(format!(
                    "the target answered with status {status}, which is no answer"
                ));
                Err(TargetFailure::Lost(report))
            }
            Ok(response) if lacks_framing(&response, &run.method) => {
                let report = Report::new(ErrorKind::Interrupted)
                    .attach("the answer of the target has neither a length nor chunks");
                Err(TargetFailure::Lost(report))
            }
            Ok(response) => {
                let mut target_response = parse_head(response);
                if run.method == "HEAD" {
                    // The header states the length of the body that GET would return.
                    target_response.content_length = None;
                }
                Ok(target_response)
            }
            Err(error) => Err(classify_failure(&error)),
        }
    }
}

/// Returns whether only the connection's end marks that of the body. `awc` takes such a body for empty.
fn lacks_framing<S>(response: &ClientResponse<S>, method: &str) -> bool {
    let headers = response.headers();
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let has_no_body = method == "HEAD"
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !is_framed && !has_no_body
}

/// Returns the request body for the target; for a resumed stream, it includes the number of events
/// to skip.
fn build_body(run: &RunRequest) -> Bytes {
    if run.resume_from == 0 {
        return run.body.clone();
    }
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(&run.body) else {
        return run.body.clone();
    };
    fields.insert(RESUME_FIELD.to_owned(), run.resume_from.into());
    Bytes::from(Value::Object(fields).to_string())
}

/// Returns whether a response header of the target is forwarded to the caller.
pub fn is_forwarded_header(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name)
}

fn parse_head<S>(response: ClientResponse<S>) -> TargetResponse<ClientResponse<S>> {
    let mut headers = Vec::new();
    let mut is_event_stream = false;
    let mut is_json = false;
    let mut content_length = None;
    for (name, value) in response.headers() {
        let Ok(value) = value.to_str() else { continue };
        if name == "content-type" {
            is_event_stream = value.starts_with("text/event-stream");
            is_json = value.starts_with("application/json");
        }
        if name == "content-length" {
            content_length = value.parse().ok();
        }
        if is_forwarded_header(name.as_str()) {
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    let status = response.status().as_u16();
    TargetResponse { status, headers, is_event_stream, is_json, content_length, body: response }
}

fn classify_failure(error: &SendRequestError) -> TargetFailure {
    let report = Report::new(ErrorKind::Interrupted).attach(error.to_string());
    match error {
        // The HTTP client also returns this error if an established connection is closed before
        // the response head, when the target may already have received the request.
        SendRequestError::Connect(ConnectError::Disconnected) => TargetFailure::Lost(report),
        SendRequestError::Url(_) | SendRequestError::Connect(_) => TargetFailure::NotSent(report),
        _ => TargetFailure::Lost(report),
    }
}
