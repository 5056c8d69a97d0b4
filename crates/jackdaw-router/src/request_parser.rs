//! Parses a caller's HTTP request into the fields that are needed to schedule and forward it.

use std::time::Duration;

use actix_web::HttpRequest;
use bytes::Bytes;
use jackdaw_base::{ErrorKind, KeyDigest, RequestClass, WorkUnits};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// Header with the time within which the run must start, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Header that identifies a recording request, so that it runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Paths of the completion API.
const COMPLETION_PATHS: &[&str] = &["/v1/completions", "/v1/chat/completions"];

/// Maximum `max_tokens` of a request in the class [`RequestClass::Short`].
const MAX_SHORT_TOKENS: u64 = 256;

/// Maximum length of the prompt prefix that is hashed for prefix cache affinity, in bytes.
const MAX_PREFIX_BYTES: usize = 256;

/// Request headers that are forwarded to the target.
const FORWARDED_HEADERS: &[&str] =
    &["accept", "content-type", "idempotency-key", "if-match", "if-none-match", "traceparent"];

/// Parsed request of a caller that is not yet authenticated.
pub struct CallerRequest {
    /// Digest of the caller's API key.
    pub key_digest: KeyDigest,
    /// How to find the requested service.
    pub selector: ServiceSelector,
    /// HTTP method.
    pub method: String,
    /// Path and query of the URI.
    pub path: String,
    /// Headers that are forwarded to the target.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Idempotency key of a recording request, a UUID in its canonical form.
    pub idempotency_key: Option<String>,
    /// Class of the request.
    pub class: RequestClass,
    /// Caller's hint of the cost, or zero if there is none.
    pub hint: WorkUnits,
    /// Hash of the prompt prefix, or zero if there is none.
    pub prefix: u64,
    /// Time within which the run must start, if the caller states one.
    pub patience: Option<Duration>,
}

/// Criterion by which the service of a request is found.
pub enum ServiceSelector {
    /// Name of the model, for completion requests.
    Model(String),
    /// Path of the request, for all other requests.
    Path,
}

/// Error that makes a request invalid.
pub struct RequestError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Description of the error for the caller.
    pub detail: String,
}

/// Fields of a completion request that the router reads.
#[derive(Deserialize)]
struct CompletionBody {
    /// Name of the model.
    model: String,
    /// Maximum number of tokens that the engine may generate.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// Prompt of a text completion.
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    /// Messages of a chat completion.
    #[serde(default)]
    messages: Option<serde_json::Value>,
}

/// Parses a request, whose body length the server has already limited.
///
/// # Errors
///
/// - [`ErrorKind::Unauthorized`] if the request has no bearer token.
/// - [`ErrorKind::KeyRequired`] if a method that changes state has no valid idempotency key.
/// - [`ErrorKind::MethodNotAllowed`] if a completion does not use POST.
/// - [`ErrorKind::Malformed`] if a header or the body of a completion is invalid.
pub fn parse_request(request: &HttpRequest, body: Bytes) -> Result<CallerRequest, RequestError> {
    let key_digest = parse_api_key(request)?;
    let patience = parse_deadline(request)?;
    let method = request.method().as_str().to_owned();
    let mut parsed = CallerRequest {
        key_digest,
        selector: ServiceSelector::Path,
        path: request.uri().to_string(),
        headers: forwarded_headers(request),
        idempotency_key: None,
        class: RequestClass::Read,
        hint: WorkUnits(0),
        prefix: 0,
        patience,
        method,
        body,
    };
    if COMPLETION_PATHS.contains(&request.path()) {
        parse_completion(&mut parsed)?;
        return Ok(parsed);
    }
    if !request.method().is_safe() {
        parsed.class = RequestClass::Recording;
        parsed.idempotency_key = Some(parse_idempotency_key(request)?);
    }
    Ok(parsed)
}

fn parse_completion(parsed: &mut CallerRequest) -> Result<(), RequestError> {
    if parsed.method != "POST" {
        return Err(request_error(ErrorKind::MethodNotAllowed, "completions take POST".to_owned()));
    }
    let body: CompletionBody = match serde_json::from_slice(&parsed.body) {
        Ok(body) => body,
        Err(error) => return Err(request_error(ErrorKind::Malformed, format!("body: {error}"))),
    };
    let Some(prompt) = body.prompt.or(body.messages) else {
        let detail = "body: needs `prompt` or `messages`".to_owned();
        return Err(request_error(ErrorKind::Malformed, detail));
    };
    let prompt = match prompt {
        serde_json::Value::String(text) => text,
        value => value.to_string(),
    };
    let bytes = prompt.as_bytes();
    parsed.prefix = xxh3_64(&bytes[..bytes.len().min(MAX_PREFIX_BYTES)]);
    parsed.hint = WorkUnits(body.max_tokens.unwrap_or(0));
    parsed.class = match body.max_tokens {
        Some(tokens) if tokens <= MAX_SHORT_TOKENS => RequestClass::Short,
        _ => RequestClass::Long,
    };
    parsed.selector = ServiceSelector::Model(body.model);
    Ok(())
}

fn parse_api_key(request: &HttpRequest) -> Result<KeyDigest, RequestError> {
    let value = header_text(request, "authorization")?;
    let Some(key) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        let detail = "authorization: needs `Bearer <key>`".to_owned();
        return Err(request_error(ErrorKind::Unauthorized, detail));
    };
    Ok(KeyDigest(*blake3::hash(key.trim().as_bytes()).as_bytes()))
}

fn parse_deadline(request: &HttpRequest) -> Result<Option<Duration>, RequestError> {
    let Some(value) = header_text(request, DEADLINE_HEADER)? else { return Ok(None) };
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => {
            let detail = format!("{DEADLINE_HEADER}: `{value}` is not a number of milliseconds");
            Err(request_error(ErrorKind::Malformed, detail))
        }
    }
}

fn parse_idempotency_key(request: &HttpRequest) -> Result<String, RequestError> {
    let Some(value) = header_text(request, IDEMPOTENCY_KEY_HEADER)? else {
        let detail = format!("{IDEMPOTENCY_KEY_HEADER}: needed for methods that change something");
        return Err(request_error(ErrorKind::KeyRequired, detail));
    };
    match uuid::Uuid::parse_str(value) {
        Ok(key) if key.get_version_num() == 7 => Ok(key.to_string()),
        _ => {
            let detail = format!("{IDEMPOTENCY_KEY_HEADER}: `{value}` is not a UUID of version 7");
            Err(request_error(ErrorKind::KeyRequired, detail))
        }
    }
}

fn forwarded_headers(request: &HttpRequest) -> Vec<(String, String)> {
    let mut headers = Vec::new();
    for name in FORWARDED_HEADERS {
        if let Some(value) = request.headers().get(*name)
            && let Ok(value) = value.to_str()
        {
            headers.push(((*name).to_owned(), value.to_owned()));
        }
    }
    headers
}

fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, RequestError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(request_error(ErrorKind::Malformed, format!("{name}: not plain text"))),
    }
}

fn request_error(kind: ErrorKind, detail: String) -> RequestError {
    RequestError { kind, detail }
}
