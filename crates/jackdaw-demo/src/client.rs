//! HTTP client that sends calls to the fleet and checks every answer byte for byte.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::header::{AUTHORIZATION, CONTENT_LENGTH, RETRY_AFTER};
use awc::{Client, ClientRequest, ClientResponse, Connector};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use jackdaw_standin::expected_answer;
use serde_json::{Value, json};

/// The header that carries the deadline of a request in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Request-Deadline-Ms";

/// The header that carries the idempotency key of a recording.
pub const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// The time after its deadline at which an unanswered call counts as lost.
const LOST_ANSWER_GRACE: Duration = Duration::from_secs(10);

/// The time for which idle connections are kept alive. It is shorter than the idle timeout of the
/// servers, so that no request is sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of a response body in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// The outcome of a call as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// The complete and correct answer was received.
    Answered,
    /// The answer states that the request did not run.
    NotRun {
        /// The delay suggested by `Retry-After`; zero if the answer has no such header.
        retry_after: Duration,
    },
    /// The request may have run: the answer says so, states no outcome, or broke off.
    Unknown,
    /// No answer was received.
    Lost,
    /// The answer differs from the expected one, as if it belonged to another request.
    Crossed,
    /// Only a part of the answer was received, and nothing marked it as incomplete.
    Truncated,
}

/// The outcome and timings of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallResult {
    /// The outcome as observed by the caller.
    pub outcome: CallOutcome,
    /// The time until the first event of a completion; the total time for calls without one.
    pub first_byte: Duration,
    /// The time until the outcome was known.
    pub total: Duration,
}

/// A request for a streamed completion.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionCall {
    /// The name of the requested model.
    pub model: String,
    /// The text of the prompt.
    pub prompt: String,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The name of the customer, sent as `user`.
    pub user: String,
    /// The time within which the caller expects the answer.
    pub deadline: Duration,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceCall {
    /// The path and query of the URL.
    pub path: String,
    /// The idempotency key of a recording; `None` for a read.
    pub idempotency_key: Option<String>,
    /// The body of the request.
    pub body: String,
    /// The body of the correct answer.
    pub expected: String,
    /// The time within which the caller expects the answer.
    pub deadline: Duration,
}

/// Client that sends calls and verifies their answers.
#[derive(Clone)]
pub struct CallerClient {
    http: Client,
}

impl CallerClient {
    /// Creates a client without a limit on the number of open connections.
    pub fn new() -> CallerClient {
        let connector = Connector::new().limit(0).conn_keep_alive(IDLE_TIMEOUT);
        // `wait_with_timeout` applies the timeout of each call.
        let http = Client::builder().connector(connector).disable_timeout().finish();
        CallerClient { http }
    }

    /// Sends a streamed completion to a router or directly to an engine.
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

    /// Sends a read or a recording to a router or directly to a service.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        key: &str,
        call: &ServiceCall,
    ) -> CallResult {
        let url = format!("http://{address}{}", call.path);
        let request = match &call.idempotency_key {
            Some(idempotency_key) => self
                .http
                .post(url)
                .insert_header((IDEMPOTENCY_KEY_HEADER, idempotency_key.as_str())),
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

/// Adds the headers with the caller's key and deadline.
fn with_headers(request: ClientRequest, key: &str, deadline: Duration) -> ClientRequest {
    request
        .insert_header((AUTHORIZATION, format!("Bearer {key}")))
        .insert_header((DEADLINE_HEADER, deadline.as_millis().to_string()))
}

/// Waits for the outcome of an exchange, which is lost [`LOST_ANSWER_GRACE`] after its deadline.
async fn wait_with_timeout(
    deadline: Duration,
    exchange: impl Future<Output = CallOutcome>,
) -> CallOutcome {
    match tokio::time::timeout(deadline + LOST_ANSWER_GRACE, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => lost("timed out after the deadline and grace period"),
    }
}

/// Logs the reason and returns the outcome of an unanswered call.
fn lost(reason: &str) -> CallOutcome {
    log::warn!("call was not answered: {reason}");
    CallOutcome::Lost
}

/// Reads a streamed answer and compares it with the expected tokens.
///
/// Only the final `[DONE]` event shows that an answer is complete, because the HTTP client reports
/// a prematurely closed body as complete.
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
            log::warn!("stream of customer {} failed after {received} tokens", call.user);
            return CallOutcome::Unknown;
        };
        if event.data == "[DONE]" {
            let is_complete = received == expected.len();
            return if is_complete { CallOutcome::Answered } else { CallOutcome::Truncated };
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

/// Reads a body and compares it with the expected one.
///
/// A body shorter than its `Content-Length` was not marked as complete, so its outcome is unknown.
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

/// Reads the outcome from the problem document of an error response.
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
            log::warn!(
                "response with status {status} has no outcome: {}",
                String::from_utf8_lossy(&body)
            );
            CallOutcome::Unknown
        }
    }
}
