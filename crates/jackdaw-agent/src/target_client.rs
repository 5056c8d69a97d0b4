//! HTTP client towards the target beside the agent.

use std::time::Duration;

use actix_web::http::Method;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use error_stack::Report;
use futures_util::stream::Stream;
use jackdaw_base::{ErrorKind, ServiceKind};
use jackdaw_link::RunRequest;
use serde_json::Value;

/// The longest time until a connection to the target stands.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time from a request to the head of its answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Field of a completion request with the events that the caller already has.
const RESUME_FIELD: &str = "resume_from";

/// Headers that concern one connection only and are never passed on.
const CONNECTION_HEADERS: &[&str] =
    &["connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade"];

/// Client of one target.
pub struct TargetClient {
    /// The base URL, without a slash at the end.
    base_url: String,
    /// The way requests are forwarded.
    kind: ServiceKind,
    /// The connection pool.
    client: Client,
}

/// Answer of the target, with its body still to come.
pub struct TargetAnswer<S> {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body is JSON.
    pub is_json: bool,
    /// The bytes of the body, where the target has announced them.
    pub length: Option<u64>,
    /// The body.
    pub body: S,
}

/// Why the target gave no answer.
pub enum TargetFailure {
    /// No connection was made, so the target never saw the request.
    NotSent(Report<ErrorKind>),
    /// The connection was lost after the request may have been sent.
    Lost(Report<ErrorKind>),
}

impl TargetClient {
    /// Creates a client of the target at `base_url`.
    pub fn open(base_url: &str, kind: ServiceKind) -> TargetClient {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = Client::builder()
            .connector(connector)
            .timeout(HEAD_TIMEOUT)
            .disable_redirects()
            .finish();
        TargetClient { base_url: base_url.trim_end_matches('/').to_owned(), kind, client }
    }

    /// Returns the way requests are forwarded.
    pub fn kind(&self) -> ServiceKind {
        self.kind
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        run: &RunRequest,
    ) -> Result<TargetAnswer<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin>, TargetFailure>
    {
        let Ok(method) = Method::from_bytes(run.method.as_bytes()) else {
            let report = Report::new(ErrorKind::Malformed).attach("unknown method");
            return Err(TargetFailure::NotSent(report));
        };
        let url = format!("{}{}", self.base_url, run.path);
        let mut request = self.client.request(method, url);
        for (name, value) in &run.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        match request.send_body(body_for(run)).await {
            Ok(response) => {
                let mut answer = read_head(response);
                if run.method == "HEAD" {
                    answer.length = None;
                }
                Ok(answer)
            }
            Err(error) => Err(classify_failure(&error)),
        }
    }
}

/// Returns the body that the target gets: a resumed stream names the events to leave out.
fn body_for(run: &RunRequest) -> Bytes {
    if run.resume_from == 0 {
        return run.body.clone();
    }
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(&run.body) else {
        return run.body.clone();
    };
    fields.insert(RESUME_FIELD.to_owned(), run.resume_from.into());
    Bytes::from(Value::Object(fields).to_string())
}

/// Returns whether a header may be passed on to the other side.
pub fn is_forwarded(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name)
}

fn read_head<S>(response: ClientResponse<S>) -> TargetAnswer<ClientResponse<S>> {
    let mut headers = Vec::new();
    let mut is_event_stream = false;
    let mut is_json = false;
    let mut length = None;
    for (name, value) in response.headers() {
        let Ok(value) = value.to_str() else { continue };
        if name == "content-type" {
            is_event_stream = value.starts_with("text/event-stream");
            is_json = value.starts_with("application/json");
        }
        if name == "content-length" {
            length = value.parse().ok();
        }
        if is_forwarded(name.as_str()) {
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    let status = response.status().as_u16();
    TargetAnswer { status, headers, is_event_stream, is_json, length, body: response }
}

fn classify_failure(error: &SendRequestError) -> TargetFailure {
    let report = Report::new(ErrorKind::Interrupted).attach(error.to_string());
    match error {
        // The client reports a connection that ends before the answer in this way too.
        SendRequestError::Connect(ConnectError::Disconnected) => TargetFailure::Lost(report),
        SendRequestError::Url(_) | SendRequestError::Connect(_) => TargetFailure::NotSent(report),
        _ => TargetFailure::Lost(report),
    }
}
