//! Reads a caller's HTTP request into what the fleet needs to place and carry it.

use std::time::Duration;

use actix_web::HttpRequest;
use bytes::Bytes;
use jackdaw_base::{ErrorKind, KeyDigest, RequestClass, WorkUnits};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// Header that carries the milliseconds within which the caller wants the run to start.
pub const DEADLINE_HEADER: &str = "x-request-deadline-ms";

/// Header that names a recording, so that it runs at most once.
pub const RECORDING_HEADER: &str = "idempotency-key";

/// Paths of the completion interface.
const COMPLETION_PATHS: &[&str] = &["/v1/completions", "/v1/chat/completions"];

/// Tokens up to which an answer counts as short.
const SHORT_TOKENS: u64 = 256;

/// Bytes of the prompt that decide which engine's prefix cache may help.
const PREFIX_BYTES: usize = 256;

/// Headers of the caller that are passed on to the target.
const FORWARDED_HEADERS: &[&str] =
    &["accept", "content-type", "idempotency-key", "if-match", "if-none-match", "traceparent"];

/// A caller's request, read and bounded, not yet authenticated.
pub struct IncomingCall {
    /// The digest of the caller's key.
    pub key: KeyDigest,
    /// The interface that was called.
    pub target: CallTarget,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, where the caller sent one.
    pub recording_key: Option<String>,
    /// The kind of work.
    pub class: RequestClass,
    /// The caller's hint of the cost.
    pub hint: WorkUnits,
    /// The hash of the prompt's first part.
    pub prefix: u64,
    /// The time within which the run is to start; `None` where the caller named none.
    pub patience: Option<Duration>,
}

/// Interface that was called.
pub enum CallTarget {
    /// A completion by the named model.
    Model(String),
    /// A plain service, found by the path.
    Path,
}

/// A request that cannot be read.
pub struct UnreadableCall {
    /// The kind of error.
    pub kind: ErrorKind,
    /// What is wrong with the request.
    pub detail: String,
}

/// Body of a completion request, as far as the router reads it.
#[derive(Deserialize)]
struct CompletionBody {
    /// The name of the model.
    model: String,
    /// The most tokens that the engine may generate.
    #[serde(default)]
    max_tokens: Option<u64>,
    /// The prompt of a text completion.
    #[serde(default)]
    prompt: Option<serde_json::Value>,
    /// The messages of a chat completion.
    #[serde(default)]
    messages: Option<serde_json::Value>,
}

/// Reads a request; the body has been bounded by the server.
pub fn read_call(request: &HttpRequest, body: Bytes) -> Result<IncomingCall, UnreadableCall> {
    let key = read_key(request)?;
    let patience = read_deadline(request)?;
    let method = request.method().as_str().to_owned();
    let mut call = IncomingCall {
        key,
        target: CallTarget::Path,
        path: request.uri().to_string(),
        headers: read_headers(request),
        recording_key: None,
        class: RequestClass::Read,
        hint: WorkUnits(0),
        prefix: 0,
        patience,
        method,
        body,
    };
    if COMPLETION_PATHS.contains(&request.path()) {
        read_completion(&mut call)?;
        return Ok(call);
    }
    if !request.method().is_safe() {
        call.class = RequestClass::Recording;
        call.recording_key = Some(read_recording_key(request)?);
    }
    Ok(call)
}

fn read_completion(call: &mut IncomingCall) -> Result<(), UnreadableCall> {
    if call.method != "POST" {
        return Err(unreadable(ErrorKind::MethodNotAllowed, "completions take POST".to_owned()));
    }
    let body: CompletionBody = match serde_json::from_slice(&call.body) {
        Ok(body) => body,
        Err(error) => return Err(unreadable(ErrorKind::Malformed, format!("body: {error}"))),
    };
    let Some(prompt) = body.prompt.or(body.messages) else {
        let detail = "body: needs `prompt` or `messages`".to_owned();
        return Err(unreadable(ErrorKind::Malformed, detail));
    };
    let prompt = match prompt {
        serde_json::Value::String(text) => text,
        value => value.to_string(),
    };
    let bytes = prompt.as_bytes();
    call.prefix = xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    call.hint = WorkUnits(body.max_tokens.unwrap_or(0));
    call.class = match body.max_tokens {
        Some(tokens) if tokens <= SHORT_TOKENS => RequestClass::Short,
        _ => RequestClass::Long,
    };
    call.target = CallTarget::Model(body.model);
    Ok(())
}

fn read_key(request: &HttpRequest) -> Result<KeyDigest, UnreadableCall> {
    let value = read_header(request, "authorization")?;
    let Some(key) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
        let detail = "authorization: needs `Bearer <key>`".to_owned();
        return Err(unreadable(ErrorKind::Unauthorized, detail));
    };
    Ok(KeyDigest(*blake3::hash(key.trim().as_bytes()).as_bytes()))
}

fn read_deadline(request: &HttpRequest) -> Result<Option<Duration>, UnreadableCall> {
    let Some(value) = read_header(request, DEADLINE_HEADER)? else { return Ok(None) };
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => {
            let detail = format!("{DEADLINE_HEADER}: `{value}` is not a number of milliseconds");
            Err(unreadable(ErrorKind::Malformed, detail))
        }
    }
}

fn read_recording_key(request: &HttpRequest) -> Result<String, UnreadableCall> {
    let Some(value) = read_header(request, RECORDING_HEADER)? else {
        let detail = format!("{RECORDING_HEADER}: needed for methods that change something");
        return Err(unreadable(ErrorKind::KeyRequired, detail));
    };
    match uuid::Uuid::parse_str(value) {
        Ok(key) if key.get_version_num() == 7 => Ok(key.to_string()),
        _ => {
            let detail = format!("{RECORDING_HEADER}: `{value}` is not a UUID of version 7");
            Err(unreadable(ErrorKind::KeyRequired, detail))
        }
    }
}

fn read_headers(request: &HttpRequest) -> Vec<(String, String)> {
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

fn read_header<'a>(
    request: &'a HttpRequest,
    name: &str,
) -> Result<Option<&'a str>, UnreadableCall> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(unreadable(ErrorKind::Malformed, format!("{name}: not plain text"))),
    }
}

fn unreadable(kind: ErrorKind, detail: String) -> UnreadableCall {
    UnreadableCall { kind, detail }
}
