//! Fleets of two for the link tests.

use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::{ErrorKind, OfferId, ProcessIncarnation, RequestId, VmId};
use jackdaw_link::{
    FleetAuthority, FleetIdentity, IssuedKeys, LinkEndpoint, LinkGreeting, LinkSettings,
    MESSAGE_VERSION, PeerLink, ProcessRole, RunRequest,
};

/// The interval of the watch in endpoints that find silence by their probes alone.
pub(crate) const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a loopback address with a port from the system.
pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// Returns the identity that the authority issued keys for.
pub(crate) fn identity(authority: &FleetAuthority, keys: &IssuedKeys) -> FleetIdentity {
    FleetIdentity::from_pem(authority.certificate_pem(), &keys.certificate_pem, &keys.key_pem)
        .expect("readable identity")
}

/// Returns the greeting that fits a VM name and role.
pub(crate) fn greeting(vm_name: &str, role: ProcessRole) -> LinkGreeting {
    LinkGreeting {
        version: MESSAGE_VERSION,
        vm: VmId::from_name(vm_name),
        incarnation: ProcessIncarnation::random(),
        role,
        service: None,
    }
}

/// Returns settings that find silence sooner than those of a real fleet.
pub(crate) fn quick_settings() -> LinkSettings {
    LinkSettings {
        idle_timeout: Duration::from_millis(700),
        keep_alive: Duration::from_millis(150),
        ..LinkSettings::default()
    }
}

/// Binds an endpoint with a fresh certificate of the authority.
pub(crate) fn bind(authority: &FleetAuthority, vm_name: &str, role: ProcessRole) -> LinkEndpoint {
    bind_with(authority, greeting(vm_name, role), vm_name)
}

/// Binds an endpoint that finds silence by its probes alone.
pub(crate) fn bind_watched(
    authority: &FleetAuthority,
    vm_name: &str,
    role: ProcessRole,
) -> LinkEndpoint {
    let settings = LinkSettings {
        watch_interval: WATCH_INTERVAL,
        probe_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(15),
        keep_alive: Duration::from_secs(15),
        ..LinkSettings::default()
    };
    bind_settings(authority, greeting(vm_name, role), vm_name, settings)
}

/// Binds an endpoint with a greeting of its own.
pub(crate) fn bind_with(
    authority: &FleetAuthority,
    greeting: LinkGreeting,
    vm_name: &str,
) -> LinkEndpoint {
    bind_settings(authority, greeting, vm_name, quick_settings())
}

fn bind_settings(
    authority: &FleetAuthority,
    greeting: LinkGreeting,
    vm_name: &str,
    settings: LinkSettings,
) -> LinkEndpoint {
    let keys = authority.issue(vm_name, greeting.role, 1).expect("issued");
    let identity = identity(authority, &keys);
    LinkEndpoint::bind(loopback(), &identity, greeting, settings).expect("bound")
}

/// A router linked to an agent.
pub(crate) struct LinkedPair {
    /// The router's endpoint.
    pub(crate) router: LinkEndpoint,
    /// The agent's endpoint.
    pub(crate) agent: LinkEndpoint,
    /// The link as the router sees it.
    pub(crate) to_agent: PeerLink,
    /// The link as the agent sees it.
    pub(crate) to_router: PeerLink,
}

/// Links a new router to a new agent.
pub(crate) async fn linked_pair() -> LinkedPair {
    let authority = FleetAuthority::generate(1).expect("authority");
    let router = bind(&authority, "router-1", ProcessRole::Router);
    let agent = bind(&authority, "agent-1", ProcessRole::Agent);
    let (to_agent, to_router) = link(&router, &agent, "agent-1").await;
    LinkedPair { router, agent, to_agent, to_router }
}

/// Opens a link from one endpoint to another and returns both ends.
pub(crate) async fn link(
    from: &LinkEndpoint,
    to: &LinkEndpoint,
    to_name: &str,
) -> (PeerLink, PeerLink) {
    let expected = VmId::from_name(to_name);
    let dialled = from.dial(to.local_address(), expected).await.expect("dialled");
    (dialled, to.accept().await.expect("accepted"))
}

/// Returns a run request with a body of the given length.
pub(crate) fn run_request(length: usize) -> RunRequest {
    RunRequest {
        offer: OfferId {
            request: RequestId { router: ProcessIncarnation(7), sequence: 3 },
            attempt: 1,
        },
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        idempotency_key: None,
        fingerprint: 11,
        resume_from: 0,
        body: vec![b'x'; length].into(),
    }
}

/// Returns the kind of a failure.
pub(crate) fn kind_of<T>(result: Result<T, error_stack::Report<ErrorKind>>) -> ErrorKind {
    match result {
        Ok(_) => panic!("expected a failure"),
        Err(report) => *report.current_context(),
    }
}
