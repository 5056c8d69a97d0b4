//! HTTP error responses as problem documents (RFC 9457).

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use jackdaw_base::{ErrorKind, RequestOutcome};
use serde::Serialize;

/// The media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A problem document.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    /// The error kind as a URN.
    #[serde(rename = "type")]
    kind: String,
    /// The error kind as a slug.
    title: &'a str,
    /// The HTTP status code.
    status: u16,
    /// The cause of this error; the slug of the kind if no detail is given.
    detail: &'a str,
    /// Whether the request was run, as far as is known.
    outcome: RequestOutcome,
    /// The time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The same error in the format that clients of completion APIs expect.
    error: CompletionError<'a>,
}

/// Error object in the format of completion APIs.
#[derive(Serialize)]
struct CompletionError<'a> {
    /// The cause of this error; the same as the document's `detail`.
    message: &'a str,
    /// The error kind as a slug.
    #[serde(rename = "type")]
    kind: &'a str,
}

/// Builds the problem document for an error; a `retry_after` of zero is omitted.
fn problem_document(kind: ErrorKind, detail: &str, retry_after: Duration) -> ProblemDocument<'_> {
    let retry_after_ms = match retry_after.as_millis() as u64 {
        0 => None,
        millis => Some(millis),
    };
    let slug = kind.slug();
    let detail = if detail.is_empty() { slug } else { detail };
    ProblemDocument {
        kind: format!("urn:jackdawvale:error:{slug}"),
        title: slug,
        status: kind.status(),
        detail,
        outcome: kind.outcome(),
        retry_after_ms,
        error: CompletionError { message: detail, kind: slug },
    }
}

/// Returns the problem document for an error as JSON text.
pub fn problem_text(kind: ErrorKind, detail: &str, retry_after: Duration) -> String {
    // Serializing strings and numbers does not fail.
    serde_json::to_string(&problem_document(kind, detail, retry_after)).unwrap_or_default()
}

/// Returns the HTTP response for an error, with the status code of its kind and the given detail.
pub fn problem_response(kind: ErrorKind, detail: &str) -> HttpResponse {
    retry_response(kind, detail, Duration::ZERO)
}

/// Returns the HTTP response for an error with a `Retry-After` header in whole seconds, rounded up.
/// The header is omitted if `retry_after` is zero.
pub fn retry_response(kind: ErrorKind, detail: &str, retry_after: Duration) -> HttpResponse {
    let document = problem_document(kind, detail, retry_after);
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    if document.retry_after_ms.is_some() {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        builder.insert_header(("Retry-After", seconds.to_string()));
    }
    builder.content_type(PROBLEM_TYPE).json(document)
}
