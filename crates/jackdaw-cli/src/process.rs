//! Queries running processes over their admin interface.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use awc::http::StatusCode;
use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use serde_json::Value;

use crate::args::ProcessQuery;
use crate::check::read_text;
use crate::exit::ExitReason;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// HTTP response of a process.
struct ProcessResponse {
    status: StatusCode,
    body: String,
}

/// Prints whether a process is ready and, given a key, its status.
///
/// Returns [`ExitReason::Failed`] if the process is not ready.
pub(crate) fn print_status(query: &ProcessQuery) -> Result<ExitReason, Report<ErrorKind>> {
    let response = fetch(query.address, "/ready", None)?;
    let is_ready = response.status.is_success();
    match is_ready {
        true => println!("ready"),
        false => println!("not ready: {}", detail(&response.body)),
    }
    if let Some(file) = &query.key_file {
        let key = read_key(file)?;
        let response = fetch(query.address, "/status", Some(&key))?;
        // Agents have no `/status`; their state is available only through `/dump`.
        if response.status != StatusCode::NOT_FOUND {
            print_json(&require_success(response)?)?;
        }
    }
    Ok(if is_ready { ExitReason::Done } else { ExitReason::Failed })
}

/// Prints the complete state of a process as JSON.
pub(crate) fn print_dump(query: &ProcessQuery) -> Result<(), Report<ErrorKind>> {
    let key = match &query.key_file {
        Some(file) => Some(read_key(file)?),
        None => None,
    };
    print_json(&require_success(fetch(query.address, "/dump", key.as_deref())?)?)
}

fn read_key(file: &Path) -> Result<String, Report<ErrorKind>> {
    Ok(read_text(file)?.trim().to_owned())
}

fn fetch(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
) -> Result<ProcessResponse, Report<ErrorKind>> {
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).disable_redirects().finish();
        let mut request = client.get(format!("http://{address}{path}"));
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        let mut response =
            request.send().await.map_err(|error| unreachable(address, &error.to_string()))?;
        let body = response
            .body()
            .limit(RESPONSE_LIMIT_BYTES)
            .await
            .map_err(|error| unreachable(address, &error.to_string()))?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(ProcessResponse { status: response.status(), body })
    })
}

/// Builds the report for a process that cannot be reached.
fn unreachable(address: SocketAddr, reason: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::LinkFailed).attach(format!("{address}: {reason}"))
}

/// Returns the body of a successful response, and an error for any other status.
fn require_success(response: ProcessResponse) -> Result<String, Report<ErrorKind>> {
    if response.status.is_success() {
        return Ok(response.body);
    }
    let kind = match response.status {
        StatusCode::UNAUTHORIZED => ErrorKind::Unauthorized,
        _ => ErrorKind::LinkFailed,
    };
    Err(Report::new(kind).attach(format!("{}: {}", response.status, detail(&response.body))))
}

/// Returns the `detail` of a problem document, or the body itself if it is none.
fn detail(body: &str) -> String {
    let problem = serde_json::from_str::<Value>(body).unwrap_or_default();
    problem["detail"].as_str().unwrap_or(body).trim().to_owned()
}

fn print_json(text: &str) -> Result<(), Report<ErrorKind>> {
    let value = serde_json::from_str::<Value>(text).change_context(ErrorKind::ProtocolViolation)?;
    println!("{value:#}");
    Ok(())
}
