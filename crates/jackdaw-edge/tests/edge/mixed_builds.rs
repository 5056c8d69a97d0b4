//! Snapshots between routers of this build and of builds that do not know what follows them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jackdaw_base::MonotonicTime;
use jackdaw_edge::edge_state::EdgeState;
use jackdaw_edge::peer_snapshot::{
    FleetSnapshot, SnapshotExtension, decode_snapshot, encode_snapshot,
};
use jackdaw_policy::direct::{
    CallerLimits, FleetConfig, RequestKind, RouteConfig, ServiceWeight, TargetChange, TargetEntry,
    TargetId, TargetState,
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
        homes: vec!["north".to_owned()],
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

fn target() -> TargetEntry {
    TargetEntry {
        name: "i-1".to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        domain: "a".to_owned(),
        version: Some("v2".to_owned()),
        slots: 8,
        state: TargetState::Ready,
        started_unix_ms: 5,
        cold_left: Some(Duration::from_secs(2)),
        revision: 4.into(),
    }
}

fn snapshot_bytes() -> Vec<u8> {
    let state = EdgeState::new(example_settings());
    state.router().targets.apply(MonotonicTime(0), TargetChange::Present(target()));
    state.router().install_config(config());
    state.router().record_leaving(MonotonicTime(0), TargetId(7));
    encode_snapshot(&state, None)
}

#[test]
fn own_snapshots_carry_what_older_builds_lack() {
    let (snapshot, extension) = decode_snapshot(&snapshot_bytes()).expect("own format");
    assert_eq!(extension.leaving, [TargetId(7)]);
    let config = snapshot.config.expect("newer configuration");
    assert_eq!(config.routes[0].pause_objective, Some(PAUSE));
    assert_eq!(config.routes[0].homes, ["north"]);
    assert_eq!(snapshot.targets.entries, [target()]);
}

/// A router that took a target over from an older build learns its version from the next copy.
#[test]
fn version_missing_in_an_older_copy_is_added() {
    let older: FleetSnapshot = postcard::from_bytes(&snapshot_bytes()).expect("older format");
    assert_eq!(older.targets.entries[0].version, None);
    let state = EdgeState::new(example_settings());
    let now = MonotonicTime(0);
    state.router().targets.merge(now, older.targets.clone());
    let (newer, _) = decode_snapshot(&snapshot_bytes()).expect("own format");
    state.router().targets.merge(now, newer.targets);
    state.router().targets.merge(now, older.targets);
    let entry = state.router().targets.find(target().id()).cloned().expect("known target");
    assert_eq!(entry.version.as_deref(), Some("v2"));
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
