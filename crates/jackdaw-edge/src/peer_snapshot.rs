//! Configuration and targets fetched from another router.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::direct::{FleetConfig, StoreStatus, TargetSnapshot};
use tokio::net::TcpStream;

use crate::edge_state::EdgeState;

/// The path of the snapshot at the routers' own addresses. Its query is the version of the
/// configuration that the asking router has; an older one is not sent again.
pub const SNAPSHOT_PATH: &str = "/fleet-snapshot";

/// The longest time for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The most bytes of a snapshot: a configuration of a megabyte and the targets.
const SNAPSHOT_LIMIT_BYTES: usize = 4 * 1024 * 1024;

plain_data! {
    /// What one router knows of configuration and targets.
    #[derive(Default)]
    pub struct FleetSnapshot {
        /// The configuration in force there, where the asking router has an older one.
        pub config: Option<FleetConfig>,
        /// The targets.
        pub targets: TargetSnapshot,
    }
}

/// Returns what this router knows, for another that has a version of the configuration.
pub fn encode_snapshot(state: &EdgeState, query: Option<&str>) -> Vec<u8> {
    let known_version = query.and_then(|query| query.parse().ok()).unwrap_or(0);
    let router = state.router();
    let config = router.table().map(|table| table.config());
    let is_complete = router.store_status(state.now()) == StoreStatus::Stable;
    let snapshot = FleetSnapshot {
        config: config.filter(|config| config.version > known_version).cloned(),
        targets: router.targets.snapshot(is_complete),
    };
    postcard::to_stdvec(&snapshot).unwrap_or_else(|error| {
        log::error!(error:% = error; "the snapshot cannot be written");
        Vec::new()
    })
}

/// Fetches what another router knows; `known_version` is this one's version of the configuration.
///
/// # Errors
///
/// `LinkFailed` without an answer in time, `ProtocolViolation` for one of unknown form.
pub async fn fetch_snapshot(
    peer: SocketAddrV4,
    known_version: u64,
) -> Result<FleetSnapshot, Report<ErrorKind>> {
    let path = format!("{SNAPSHOT_PATH}?{known_version}");
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetch_bytes(peer, &path)).await;
    let bytes = fetched
        .map_err(|_| Report::new(ErrorKind::LinkFailed).attach("no answer in time"))
        .and_then(|fetched| fetched)
        .attach_with(|| peer.to_string())?;
    postcard::from_bytes(&bytes).change_context(ErrorKind::ProtocolViolation)
}

async fn fetch_bytes(peer: SocketAddrV4, path: &str) -> Result<Bytes, Report<ErrorKind>> {
    let stream = TcpStream::connect(peer).await.change_context(ErrorKind::LinkFailed)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.change_context(ErrorKind::LinkFailed)?;
    let driver = tokio::task::spawn_local(connection);
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let answer = sender.send_request(request).await.change_context(ErrorKind::LinkFailed)?;
    let body = Limited::new(answer.into_body(), SNAPSHOT_LIMIT_BYTES).collect().await;
    driver.abort();
    let body =
        body.map_err(|error| Report::new(ErrorKind::LinkFailed).attach(error.to_string()))?;
    Ok(body.to_bytes())
}
