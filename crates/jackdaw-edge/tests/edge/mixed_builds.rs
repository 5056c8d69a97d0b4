//! Snapshots between routers of this build and of builds that do not know what follows them.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use jackdaw_edge::edge_state::EdgeState;
use jackdaw_edge::peer_snapshot::{
    FleetSnapshot, SnapshotExtension, decode_snapshot, encode_snapshot,
};
use jackdaw_policy::direct::{
    CallerLimits, FleetConfig, RequestKind, RouteConfig, ServiceWeight, TargetId,
};

use crate::support::example_settings;

const PAUSE: Duration = Duration::from_millis(400);

fn config() -> FleetConfig {
    let route = RouteConfig {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: Duration::from_secs(4),
        latency_objective: Duration::from_millis(500),
        pause_objective: Some(PAUSE),
        priority: 0,
        max_attempts: 1,
        is_public: true,
        services: vec![ServiceWeight { service: "s".to_owned(), weight: 1 }],
    };
    FleetConfig {
        version: 3,
        routes: vec![route],
        services: Vec::new(),
        customers: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: 100_000,
        },
    }
}

fn snapshot_bytes() -> Vec<u8> {
    let state = EdgeState::new(example_settings());
    state.router().install_config(config());
    state.router().record_leaving(MonotonicTime(0), TargetId(7));
    encode_snapshot(&state, None)
}

#[test]
fn own_snapshots_carry_leavings_and_pauses() {
    let (snapshot, extension) = decode_snapshot(&snapshot_bytes()).expect("own format");
    assert_eq!(extension.leaving, [TargetId(7)]);
    let config = snapshot.config.expect("newer configuration");
    assert_eq!(config.routes[0].pause_objective, Some(PAUSE));
}

#[test]
fn older_builds_read_the_snapshot() {
    let snapshot: FleetSnapshot =
        postcard::from_bytes(&snapshot_bytes()).expect("the bytes after it are ignored");
    let config = snapshot.config.expect("newer configuration");
    assert_eq!((config.version, config.routes[0].pause_objective), (3, None));
}

#[test]
fn snapshots_of_older_builds_are_read() {
    let older = FleetSnapshot { config: Some(config()), ..FleetSnapshot::default() };
    let bytes = postcard::to_stdvec(&older).expect("plain data");
    let (snapshot, extension) = decode_snapshot(&bytes).expect("older format");
    assert_eq!(extension, SnapshotExtension::default());
    assert_eq!(snapshot.config.expect("newer configuration").version, 3);
}

#[test]
fn truncated_snapshots_are_rejected() {
    let bytes = snapshot_bytes();
    let shorter = &bytes[..bytes.len() - 1];
    assert!(decode_snapshot(shorter).is_err());
    assert!(decode_snapshot(&[]).is_err());
}
