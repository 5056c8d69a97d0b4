//! Errors as problem documents (RFC 9457).

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use jackdaw_base::ErrorKind;
use serde_json::json;

/// The media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Returns the answer to an error, with the kind's status and the given detail.
pub fn problem_response(kind: ErrorKind, detail: &str) -> HttpResponse {
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = json!({
        "type": format!("urn:jackdaw:{}", kind.slug()),
        "title": kind.slug(),
        "status": status.as_u16(),
        "detail": detail,
        "outcome": kind.outcome(),
    });
    HttpResponse::build(status).content_type(PROBLEM_TYPE).body(body.to_string())
}
