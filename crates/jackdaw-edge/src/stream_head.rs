//! What the answers of the targets have in common whose events make up one stream.

use http::response::Parts;
use http::{HeaderMap, HeaderName, StatusCode, header};

/// Status and type with which a stream began.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct StreamHead {
    status: StatusCode,
    content_type: Option<String>,
    content_encoding: Option<String>,
}

impl StreamHead {
    /// Reads the head of a target's answer.
    pub(crate) fn new(parts: &Parts) -> StreamHead {
        StreamHead {
            status: parts.status,
            content_type: read_token(&parts.headers, &header::CONTENT_TYPE),
            content_encoding: read_token(&parts.headers, &header::CONTENT_ENCODING),
        }
    }
}

/// Returns the value of a header without parameters such as the character set.
fn read_token(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = String::from_utf8_lossy(headers.get(name)?.as_bytes()).to_ascii_lowercase();
    Some(value.split(';').next().unwrap_or_default().trim().to_owned())
}
