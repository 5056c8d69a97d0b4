//! Caller of the fleet that checks every answer byte for byte.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::header::{AUTHORIZATION, CONTENT_LENGTH, RETRY_AFTER};
use awc::{Client, ClientRequest, ClientResponse, Connector};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use jackdaw_standin::expected_answer;
use serde_json::{Value, json};

/// The header with the milliseconds that the caller waits.
pub const DEADLINE_HEADER: &str = "X-Request-Deadline-Ms";

/// The header that names a recording.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The time that a caller waits beyond its deadline before it calls an answer lost.
const LOST_ANSWER_GRACE: Duration = Duration::from_secs(10);

/// The time for which idle connections are kept: shorter than the servers', so that no
/// request is sent on a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest body that is read, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// How a call ended for the caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// The whole answer to the own request.
    Answered,
    /// The request did not run; zero where no further try was suggested.
    NotRun {
        /// The time after which a further try makes sense.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown,
    /// No answer at all.
    Lost,
    /// An answer that belongs to another request.
    Crossed,
    /// A part of the answer that claimed to be whole.
    Truncated,
}

/// A call with its times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallResult {
    /// The end.
    pub outcome: CallOutcome,
    /// The time to the first byte of the body.
    pub first_byte: Duration,
    /// The time to the end.
    pub total: Duration,
}

/// A completion to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionCall {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens of the answer.
    pub max_tokens: u32,
    /// The customer's name.
    pub user: String,
    /// The time that the caller waits.
    pub deadline: Duration,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCall {
    /// The path and query.
    pub path: String,
    /// The idempotency key of a recording; `None` for a read.
    pub recording_key: Option<String>,
    /// The body.
    pub body: String,
    /// The body of the right answer.
    pub expected: String,
    /// The time that the caller waits.
    pub deadline: Duration,
}

/// Client that sends calls and judges the answers.
#[derive(Clone)]
pub struct CallerClient {
    /// The HTTP client.
    http: Client,
}

impl CallerClient {
    /// Creates a client without a limit on open connections.
    pub fn new() -> CallerClient {
        let connector = Connector::new().limit(0).conn_keep_alive(IDLE_TIMEOUT);
        // Each call carries its own time limit.
        let http = Client::builder().connector(connector).disable_timeout().finish();
        CallerClient { http }
    }

    /// Sends a streamed completion to a router, or to an engine itself.
    pub async fn complete(
        &self,
        address: SocketAddr,
        key: &str,
        call: &CompletionCall,
    ) -> CallResult {
        let body = json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "user": call.user,
            "stream": true,
        });
        let url = format!("http://{address}/v1/completions");
        let request = with_headers(self.http.post(url), key, call.deadline);
        let start = Instant::now();
        let mut first_byte = None;
        let exchange = async {
            match request.send_json(&body).await {
                Ok(response) if response.status().is_success() => {
                    check_stream(response, call, start, &mut first_byte).await
                }
                Ok(response) => read_problem(response).await,
                Err(error) => lost(&error.to_string()),
            }
        };
        let outcome = wait_with_timeout(call.deadline, exchange).await;
        let total = start.elapsed();
        CallResult { outcome, first_byte: first_byte.unwrap_or(total), total }
    }

    /// Sends a read or a recording to a router, or to a service itself.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        key: &str,
        call: &ServiceCall,
    ) -> CallResult {
        let url = format!("http://{address}{}", call.path);
        let request = match &call.recording_key {
            Some(recording) => {
                self.http.post(url).insert_header((IDEMPOTENCY_KEY_HEADER, recording.as_str()))
            }
            None => self.http.get(url),
        };
        let request = with_headers(request, key, call.deadline);
        let start = Instant::now();
        let exchange = async {
            match request.send_body(call.body.clone()).await {
                Ok(response) if response.status().is_success() => {
                    check_body(response, &call.expected).await
                }
                Ok(response) => read_problem(response).await,
                Err(error) => lost(&error.to_string()),
            }
        };
        let outcome = wait_with_timeout(call.deadline, exchange).await;
        let total = start.elapsed();
        CallResult { outcome, first_byte: total, total }
    }
}

impl Default for CallerClient {
    fn default() -> CallerClient {
        CallerClient::new()
    }
}

/// Adds the caller's key and deadline.
fn with_headers(request: ClientRequest, key: &str, deadline: Duration) -> ClientRequest {
    request
        .insert_header((AUTHORIZATION, format!("Bearer {key}")))
        .insert_header((DEADLINE_HEADER, deadline.as_millis().to_string()))
}

/// Waits for the end of an exchange; one that takes far longer than its deadline is lost.
async fn wait_with_timeout(
    deadline: Duration,
    exchange: impl Future<Output = CallOutcome>,
) -> CallOutcome {
    match tokio::time::timeout(deadline + LOST_ANSWER_GRACE, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => lost("no end within the time limit"),
    }
}

/// Returns the end of a call without an answer.
fn lost(reason: &str) -> CallOutcome {
    log::warn!("no answer: {reason}");
    CallOutcome::Lost
}

/// Reads a streamed answer and compares it with the expected one.
///
/// Only the last event proves an answer whole: the HTTP client reports a body that ends early
/// as complete.
async fn check_stream<S>(
    response: ClientResponse<S>,
    call: &CompletionCall,
    start: Instant,
    first_byte: &mut Option<Duration>,
) -> CallOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let expected = expected_answer(&call.prompt, call.max_tokens);
    let mut events = response.eventsource();
    let mut received = 0;
    while let Some(event) = events.next().await {
        first_byte.get_or_insert_with(|| start.elapsed());
        let Ok(event) = event else {
            log::warn!("stream of {} broke after {received} tokens", call.user);
            return CallOutcome::Unknown;
        };
        if event.data == "[DONE]" {
            let is_whole = received == expected.len();
            return if is_whole { CallOutcome::Answered } else { CallOutcome::Truncated };
        }
        let Ok(value) = serde_json::from_str::<Value>(&event.data) else {
            return CallOutcome::Crossed;
        };
        if value.get("outcome").or_else(|| value.pointer("/error/outcome")).is_some() {
            return CallOutcome::Unknown;
        }
        let Some(text) = value.pointer("/choices/0/text").and_then(Value::as_str) else {
            continue;
        };
        if expected.get(received).is_none_or(|token| token != text) {
            return CallOutcome::Crossed;
        }
        received += 1;
    }
    CallOutcome::Truncated
}

/// Compares a whole body with the expected one; a body shorter than announced claims nothing.
async fn check_body<S>(mut response: ClientResponse<S>, expected: &str) -> CallOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let announced = response.headers().get(CONTENT_LENGTH).cloned();
    let Ok(body) = response.body().limit(BODY_LIMIT).await else {
        return CallOutcome::Unknown;
    };
    if announced.is_some_and(|length| length != body.len().to_string().as_str()) {
        return CallOutcome::Unknown;
    }
    if body == expected {
        CallOutcome::Answered
    } else if expected.as_bytes().starts_with(&body) {
        CallOutcome::Truncated
    } else {
        CallOutcome::Crossed
    }
}

/// Reads the outcome of an answer that is not a success.
async fn read_problem<S>(mut response: ClientResponse<S>) -> CallOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let seconds = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let seconds: Option<u64> = seconds.and_then(|value| value.parse().ok());
    let retry_after = Duration::from_secs(seconds.unwrap_or(0));
    let body = response.body().limit(BODY_LIMIT).await.unwrap_or_default();
    let problem: Value = serde_json::from_slice(&body).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not-run") => CallOutcome::NotRun { retry_after },
        Some("unknown") => CallOutcome::Unknown,
        _ => {
            log::warn!("answer {status} without an outcome: {}", String::from_utf8_lossy(&body));
            CallOutcome::Unknown
        }
    }
}
