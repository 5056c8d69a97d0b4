//! Errors as problem documents (RFC 9457).

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use jackdaw_base::{ErrorKind, RequestOutcome};
use serde::Serialize;

/// The media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Body of a problem document.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    /// The kind as a URN.
    #[serde(rename = "type")]
    kind: String,
    /// The kind in a few words.
    title: &'a str,
    /// The HTTP status.
    status: u16,
    /// What went wrong with this request.
    detail: &'a str,
    /// What the caller may conclude.
    outcome: RequestOutcome,
    /// The milliseconds after which a further try makes sense.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// The same in the shape that clients of completion interfaces read.
    error: ClientError<'a>,
}

/// Error object of completion interfaces.
#[derive(Serialize)]
struct ClientError<'a> {
    /// What went wrong with this request.
    message: &'a str,
    /// The kind.
    #[serde(rename = "type")]
    kind: &'a str,
}

/// Builds the document for a kind of error.
fn describe(kind: ErrorKind, detail: &str, retry_after: Duration) -> ProblemDocument<'_> {
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
        error: ClientError { message: detail, kind: slug },
    }
}

/// Returns the document for an error as JSON text.
pub fn problem_text(kind: ErrorKind, detail: &str, retry_after: Duration) -> String {
    // Serialising strings and numbers does not fail.
    serde_json::to_string(&describe(kind, detail, retry_after)).unwrap_or_default()
}

/// Returns the answer to an error, with the kind's status and the given detail.
pub fn problem_response(kind: ErrorKind, detail: &str) -> HttpResponse {
    retry_response(kind, detail, Duration::ZERO)
}

/// Returns the answer to an error with `Retry-After` in whole seconds; none where it is zero.
pub fn retry_response(kind: ErrorKind, detail: &str, retry_after: Duration) -> HttpResponse {
    let document = describe(kind, detail, retry_after);
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    if document.retry_after_ms.is_some() {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        builder.insert_header(("Retry-After", seconds.to_string()));
    }
    builder.content_type(PROBLEM_TYPE).json(document)
}
