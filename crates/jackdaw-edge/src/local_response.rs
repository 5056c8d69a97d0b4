//! Answers that the router makes itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use jackdaw_base::ErrorKind;
use jackdaw_platform::ResponseHead;
use jackdaw_policy::direct::RefusalReason;
use jackdaw_telemetry::{PROBLEM_TYPE, problem_text};

use crate::response_relay::ResponseBody;

/// An answer of the router itself: what went wrong, and when a further try makes sense.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalResponse {
    /// The kind of error; it gives the status.
    pub kind: ErrorKind,
    /// What went wrong with this request.
    pub detail: &'static str,
    /// The time after which a further try makes sense; zero for none.
    pub retry_after: Duration,
}

impl LocalResponse {
    /// Creates an answer without a time for a further try.
    pub fn new(kind: ErrorKind, detail: &'static str) -> LocalResponse {
        LocalResponse { kind, detail, retry_after: Duration::ZERO }
    }

    /// Creates the answer to a request that a target may have run before its connection broke.
    pub fn interrupted() -> LocalResponse {
        LocalResponse::new(ErrorKind::Interrupted, "the target broke off")
    }

    /// Creates the answer to a request that was refused before it was sent.
    pub fn refusal(reason: RefusalReason, retry_after: Duration) -> LocalResponse {
        let (kind, detail) = match reason {
            RefusalReason::NoTarget => (ErrorKind::NoCapacity, "no target takes requests now"),
            RefusalReason::Overloaded => (ErrorKind::NoCapacity, "every target is busy"),
            RefusalReason::OverShare => {
                (ErrorKind::QueueFull, "the customer has had its share and every target is busy")
            }
            RefusalReason::Quarantined => {
                (ErrorKind::Quarantined, "the request is suspected of crashing targets")
            }
        };
        LocalResponse { kind, detail, retry_after }
    }

    /// Builds the response to the request with an identifier.
    pub fn into_response(self, id: Option<&str>, closes: bool) -> Response<ResponseBody> {
        let text = problem_text(self.kind, self.detail, self.retry_after);
        let mut response = Response::new(ResponseBody::whole(Bytes::from(text)));
        let status = StatusCode::from_u16(self.kind.status());
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Some((name, value)) = id.and_then(ResponseHead::attempt_id_header) {
            headers.insert(name, value);
        }
        if !self.retry_after.is_zero() {
            let seconds = format!("{:.3}", self.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
