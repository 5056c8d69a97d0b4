//! Helpers that create endpoints and link a router to an agent.

use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::{ErrorKind, OfferId, ProcessIncarnation, RequestId, VmId};
use jackdaw_link::{
    FleetAuthority, FleetIdentity, IssuedCredentials, LinkEndpoint, LinkGreeting, LinkSettings,
    MESSAGE_VERSION, PeerLink, ProcessRole, RunRequest,
};

/// Liveness check interval of endpoints that detect silent links by probes only.
pub(crate) const LIVENESS_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a loopback address with port zero, for which the system chooses a port.
pub(crate) fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// Returns the identity with the credentials that the authority issued.
pub(crate) fn identity(authority: &FleetAuthority, keys: &IssuedCredentials) -> FleetIdentity {
    FleetIdentity::from_pem(authority.certificate_pem(), &keys.certificate_pem, &keys.key_pem)
        .expect("readable identity")
}

/// Returns a greeting with the VM name and role.
pub(crate) fn greeting(vm_name: &str, role: ProcessRole) -> LinkGreeting {
    LinkGreeting {
        version: MESSAGE_VERSION,
        vm: VmId::from_name(vm_name),
        incarnation: ProcessIncarnation::random(),
        role,
        service: None,
    }
}

/// Returns settings with shorter timeouts than the defaults, so that silent links are closed soon.
pub(crate) fn quick_settings() -> LinkSettings {
    LinkSettings {
        idle_timeout: Duration::from_millis(700),
        keep_alive: Duration::from_millis(150),
        ..LinkSettings::default()
    }
}

/// Binds an endpoint with a new certificate of the authority.
pub(crate) fn bind(authority: &FleetAuthority, vm_name: &str, role: ProcessRole) -> LinkEndpoint {
    bind_with_greeting(authority, greeting(vm_name, role), vm_name)
}

/// Binds an endpoint that detects silent links by probes only, because its keep-alive is slow.
pub(crate) fn bind_with_slow_keep_alive(
    authority: &FleetAuthority,
    vm_name: &str,
    role: ProcessRole,
) -> LinkEndpoint {
    let settings = LinkSettings {
        liveness_interval: LIVENESS_INTERVAL,
        probe_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(15),
        keep_alive: Duration::from_secs(15),
        ..LinkSettings::default()
    };
    bind_with_settings(authority, greeting(vm_name, role), vm_name, settings)
}

/// Binds an endpoint that sends the given greeting.
pub(crate) fn bind_with_greeting(
    authority: &FleetAuthority,
    greeting: LinkGreeting,
    vm_name: &str,
) -> LinkEndpoint {
    bind_with_settings(authority, greeting, vm_name, quick_settings())
}

fn bind_with_settings(
    authority: &FleetAuthority,
    greeting: LinkGreeting,
    vm_name: &str,
    settings: LinkSettings,
) -> LinkEndpoint {
    let keys = authority.issue(vm_name, greeting.role, 1).expect("issued");
    let identity = identity(authority, &keys);
    LinkEndpoint::bind(loopback(), &identity, greeting, settings).expect("bound")
}

/// Router and agent with a link between them.
pub(crate) struct LinkedPair {
    /// Endpoint of the router.
    pub(crate) router: LinkEndpoint,
    /// Endpoint of the agent.
    pub(crate) agent: LinkEndpoint,
    /// Router's end of the link.
    pub(crate) to_agent: PeerLink,
    /// Agent's end of the link.
    pub(crate) to_router: PeerLink,
}

/// Binds a router and an agent and links them.
pub(crate) async fn linked_pair() -> LinkedPair {
    let authority = FleetAuthority::generate(1).expect("authority");
    let router = bind(&authority, "router-1", ProcessRole::Router);
    let agent = bind(&authority, "agent-1", ProcessRole::Agent);
    let (to_agent, to_router) = link(&router, &agent, "agent-1").await;
    LinkedPair { router, agent, to_agent, to_router }
}

/// Opens a link from one endpoint to another and returns both of its ends.
pub(crate) async fn link(
    from: &LinkEndpoint,
    to: &LinkEndpoint,
    to_name: &str,
) -> (PeerLink, PeerLink) {
    let expected = VmId::from_name(to_name);
    let dialled = from.dial(to.local_address(), expected).await.expect("dialled");
    (dialled, to.accept().await.expect("accepted"))
}

/// Returns a run request with a body of the given length in bytes.
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

/// Returns the kind of the error; panics if there is none.
pub(crate) fn kind_of<T>(result: Result<T, error_stack::Report<ErrorKind>>) -> ErrorKind {
    match result {
        Ok(_) => panic!("expected an error"),
        Err(report) => *report.current_context(),
    }
}
