//! Snapshots of configuration and targets, fetched by routers from each other.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::Request;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use jackdaw_base::{ErrorKind, plain_data};
use jackdaw_policy::direct::{
    CacheTransfer, ColdStart, FleetConfig, StoreStatus, TargetId, TargetSnapshot,
};
use tokio::net::TcpStream;

use crate::edge_state::EdgeState;
use crate::report_datagram::take_extension;

/// Path of the snapshot on the address for peer routers. The query is the configuration version of
/// the requesting router; the response contains the configuration only if it is newer.
pub const SNAPSHOT_PATH: &str = "/fleet-snapshot";

/// Timeout for fetching a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Size limit of a snapshot, in bytes: enough for a configuration of one megabyte and the targets.
const SNAPSHOT_LIMIT_BYTES: usize = 4 * 1024 * 1024;

plain_data! {
    /// Configuration and targets as known to one router, encoded with postcard.
    #[derive(Default)]
    pub struct FleetSnapshot {
        /// The current configuration, if it is newer than that of the requesting router.
        pub config: Option<FleetConfig>,
        /// The known targets.
        pub targets: TargetSnapshot,
    }
}

plain_data! {
    /// Data that follows a snapshot. Builds that do not know it ignore the bytes after the snapshot,
    /// and send none.
    #[derive(Default)]
    pub struct SnapshotExtension {
        /// Targets that announced their leaving.
        pub leaving: Vec<TargetId>,
        /// Pause objectives of the configuration's routes, in their order.
        pub pause_objectives: Vec<Option<Duration>>,
    }
}

plain_data! {
    /// Data that follows a [`SnapshotExtension`], as known to builds that track software versions.
    #[derive(Default)]
    struct VersionExtension {
        /// Software versions of the targets, in their order.
        versions: Vec<Option<String>>,
    }
}

plain_data! {
    /// Data that follows a [`VersionExtension`], as known to builds that heed cold targets and homes.
    #[derive(Default)]
    struct ColdExtension {
        /// How much longer the targets stay cold as their entries state it, in their order.
        cold_left: Vec<Option<Duration>>,
        /// What cold targets of the configuration's services take, in their order.
        cold_starts: Vec<Option<ColdStart>>,
        /// How targets of these services copy cached prompt parts, in the same order.
        cache_transfers: Vec<Option<CacheTransfer>>,
        /// Home regions of the configuration's routes, in their order.
        route_homes: Vec<Vec<String>>,
        /// Home regions of the configuration's customers, in their order.
        customer_homes: Vec<Vec<String>>,
    }
}

impl ColdExtension {
    fn new(snapshot: &FleetSnapshot) -> ColdExtension {
        let config = snapshot.config.as_ref();
        let services = || config.iter().flat_map(|config| &config.services);
        let routes = config.iter().flat_map(|config| &config.routes);
        let customers = config.iter().flat_map(|config| &config.customers);
        ColdExtension {
            cold_left: snapshot.targets.entries.iter().map(|entry| entry.cold_left).collect(),
            cold_starts: services().map(|service| service.cold_start).collect(),
            cache_transfers: services().map(|service| service.cache_transfer).collect(),
            route_homes: routes.map(|route| route.homes.clone()).collect(),
            customer_homes: customers.map(|customer| customer.homes.clone()).collect(),
        }
    }

    fn apply(self, snapshot: &mut FleetSnapshot) {
        for (entry, cold_left) in snapshot.targets.entries.iter_mut().zip(self.cold_left) {
            entry.cold_left = cold_left;
        }
        let Some(config) = &mut snapshot.config else {
            return;
        };
        for (service, cold_start) in config.services.iter_mut().zip(self.cold_starts) {
            service.cold_start = cold_start;
        }
        for (service, transfer) in config.services.iter_mut().zip(self.cache_transfers) {
            service.cache_transfer = transfer;
        }
        for (route, homes) in config.routes.iter_mut().zip(self.route_homes) {
            route.homes = homes;
        }
        for (customer, homes) in config.customers.iter_mut().zip(self.customer_homes) {
            customer.homes = homes;
        }
    }
}

/// Encodes a snapshot of this router. `query` is the requesting router's configuration version.
pub fn encode_snapshot(state: &EdgeState, query: Option<&str>) -> Vec<u8> {
    let known_version = query.and_then(|query| query.parse().ok()).unwrap_or(0);
    let router = state.router();
    let config = router.table().map(|table| table.config());
    let is_complete = router.store_status(state.now()) == StoreStatus::Stable;
    let snapshot = FleetSnapshot {
        config: config.filter(|config| config.version > known_version).cloned(),
        targets: router.targets.snapshot(is_complete),
    };
    let leaving = router.targets.announced_leaving(state.now(), Duration::MAX);
    let routes = snapshot.config.iter().flat_map(|config| &config.routes);
    let pause_objectives = routes.map(|route| route.pause_objective).collect();
    let extension = SnapshotExtension { leaving, pause_objectives };
    let versions = snapshot.targets.entries.iter().map(|entry| entry.version.clone()).collect();
    let versions = VersionExtension { versions };
    let cold = ColdExtension::new(&snapshot);
    postcard::to_stdvec(&(snapshot, extension, versions, cold)).unwrap_or_else(|error| {
        log::error!(error:% = error; "failed to encode the snapshot");
        Vec::new()
    })
}

/// Fetches a snapshot from another router. `known_version` is this router's configuration version.
///
/// # Errors
///
/// `LinkFailed` if there is no complete response in time, `ProtocolViolation` if it cannot be
/// decoded.
pub async fn fetch_snapshot(
    peer: SocketAddrV4,
    known_version: u64,
) -> Result<(FleetSnapshot, SnapshotExtension), Report<ErrorKind>> {
    let path = format!("{SNAPSHOT_PATH}?{known_version}");
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, fetch_bytes(peer, &path)).await;
    let bytes = fetched
        .map_err(|_| Report::new(ErrorKind::LinkFailed).attach("no response within the timeout"))
        .and_then(|fetched| fetched)
        .attach_with(|| peer.to_string())?;
    decode_snapshot(&bytes)
}

/// Decodes a snapshot and what follows it; older builds send less, or nothing.
///
/// # Errors
///
/// `ProtocolViolation` if either is malformed.
pub fn decode_snapshot(
    bytes: &[u8],
) -> Result<(FleetSnapshot, SnapshotExtension), Report<ErrorKind>> {
    let (mut snapshot, rest): (FleetSnapshot, &[u8]) =
        postcard::take_from_bytes(bytes).change_context(ErrorKind::ProtocolViolation)?;
    let (extension, rest): (SnapshotExtension, _) =
        take_extension(rest).change_context(ErrorKind::ProtocolViolation)?;
    let (versions, rest): (VersionExtension, _) =
        take_extension(rest).change_context(ErrorKind::ProtocolViolation)?;
    let (cold, _): (ColdExtension, _) =
        take_extension(rest).change_context(ErrorKind::ProtocolViolation)?;
    cold.apply(&mut snapshot);
    for (entry, version) in snapshot.targets.entries.iter_mut().zip(versions.versions) {
        entry.version = version;
    }
    let routes = snapshot.config.iter_mut().flat_map(|config| &mut config.routes);
    for (route, pause) in routes.zip(&extension.pause_objectives) {
        route.pause_objective = *pause;
    }
    Ok((snapshot, extension))
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
    let response = sender.send_request(request).await.change_context(ErrorKind::LinkFailed)?;
    let body = Limited::new(response.into_body(), SNAPSHOT_LIMIT_BYTES).collect().await;
    driver.abort();
    let body =
        body.map_err(|error| Report::new(ErrorKind::LinkFailed).attach(error.to_string()))?;
    Ok(body.to_bytes())
}
