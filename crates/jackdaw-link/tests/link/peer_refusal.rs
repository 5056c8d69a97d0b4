//! Refusal of peers without a valid certificate of the fleet or with the certificate of another VM.

use std::sync::{Mutex, Once, PoisonError};

use jackdaw_base::{ErrorKind, VmId};
use jackdaw_link::{FleetAuthority, IssuedCredentials, LinkEndpoint, ProcessRole};
use log::{LevelFilter, Log, Metadata, Record};
use time::{Duration, OffsetDateTime};

use crate::common;
use crate::raw_peer::RawPeer;

/// Warnings logged by all tests in this process.
static WARNINGS: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct WarningLog;

impl Log for WarningLog {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut warnings = WARNINGS.lock().unwrap_or_else(PoisonError::into_inner);
        warnings.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn install_logger() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&WarningLog).expect("first logger");
        log::set_max_level(LevelFilter::Warn);
    });
}

/// Waits for a warning that contains all of the parts.
async fn wait_for_warning(parts: &[&str]) {
    loop {
        let found = {
            let warnings = WARNINGS.lock().unwrap_or_else(PoisonError::into_inner);
            warnings.iter().any(|line| parts.iter().all(|part| line.contains(part)))
        };
        if found {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Binds a router with the given credentials that trusts the given authority.
fn bind_router(trusted: &FleetAuthority, keys: &IssuedCredentials) -> LinkEndpoint {
    let identity = common::identity(trusted, keys);
    let greeting = common::greeting("router-1", ProcessRole::Router);
    LinkEndpoint::bind(common::loopback(), &identity, greeting, common::quick_settings())
        .expect("bound")
}

/// Asserts that an agent refuses the router and logs the reason, and still accepts a valid router.
async fn assert_refused(fleet: &FleetAuthority, router: &LinkEndpoint, reason: &str) {
    install_logger();
    let agent = common::bind(fleet, "agent-1", ProcessRole::Agent);
    let dialled = router.dial(agent.local_address(), VmId::from_name("agent-1")).await;
    assert_eq!(common::kind_of(dialled), ErrorKind::LinkFailed);
    wait_for_warning(&["link from 127.0.0.1:", "is refused", reason]).await;
    let valid = common::bind(fleet, "router-2", ProcessRole::Router);
    let (_, accepted) = common::link(&valid, &agent, "agent-1").await;
    assert_eq!(accepted.greeting().vm, VmId::from_name("router-2"));
}

#[tokio::test]
async fn unknown_authority_is_refused() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let other = FleetAuthority::generate(1).expect("authority");
    let keys = other.issue("router-1", ProcessRole::Router, 1).expect("issued");
    assert_refused(&fleet, &bind_router(&fleet, &keys), "invalid peer certificate").await;
}

#[tokio::test]
async fn expired_certificate_is_refused() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let now = OffsetDateTime::now_utc();
    let (start, end) = (now - Duration::days(2), now - Duration::days(1));
    let keys = fleet.issue_between("router-1", ProcessRole::Router, start, end).expect("issued");
    assert_refused(&fleet, &bind_router(&fleet, &keys), "expired").await;
}

#[tokio::test]
async fn expired_agent_is_refused() {
    install_logger();
    let fleet = FleetAuthority::generate(1).expect("authority");
    let now = OffsetDateTime::now_utc();
    let (start, end) = (now - Duration::days(2), now - Duration::days(1));
    let keys = fleet.issue_between("agent-1", ProcessRole::Agent, start, end).expect("issued");
    let identity = common::identity(&fleet, &keys);
    let greeting = common::greeting("agent-1", ProcessRole::Agent);
    let agent =
        LinkEndpoint::bind(common::loopback(), &identity, greeting, common::quick_settings())
            .expect("bound");
    let ended = format!("certificate of agent-1 is valid until {}", end.date());
    wait_for_warning(&[&ended]).await;
    let router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let dialled = router.dial(agent.local_address(), VmId::from_name("agent-1")).await;
    assert_eq!(common::kind_of(dialled), ErrorKind::LinkFailed);
}

#[tokio::test]
async fn unexpected_vm_is_refused() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let dialled = router.dial(agent.local_address(), VmId::from_name("agent-2")).await;
    assert_eq!(common::kind_of(dialled), ErrorKind::LinkFailed);
}

#[tokio::test]
async fn mismatched_greeting_is_refused() {
    install_logger();
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let address = agent.local_address();
    let own = common::greeting("router-9", ProcessRole::Router);
    let other_vm = common::greeting("router-8", ProcessRole::Router);
    let other_role = common::greeting("router-9", ProcessRole::Agent);
    for claimed in [other_vm, other_role] {
        let mut peer = RawPeer::connect(&fleet, &own, "router-9", address, "agent-1").await;
        peer.send_frame(&postcard::to_stdvec(&claimed).expect("encoded")).await;
        let closed = tokio::select! {
            reason = peer.connection.closed() => reason.to_string(),
            _ = agent.accept() => panic!("a mismatched greeting was accepted"),
        };
        assert!(closed.contains("greeting does not fit certificate"), "{closed}");
    }
    wait_for_warning(&["is refused", "the greeting states role", "\"router-9\""]).await;
}

#[tokio::test]
async fn slow_handshake_does_not_delay_others() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let own = common::greeting("router-1", ProcessRole::Router);
    let mut slow =
        RawPeer::connect(&fleet, &own, "router-1", agent.local_address(), "agent-1").await;
    let router = common::bind(&fleet, "router-2", ProcessRole::Router);
    let (_, accepted) = common::link(&router, &agent, "agent-1").await;
    assert_eq!(accepted.greeting().vm, VmId::from_name("router-2"));
    slow.send_frame(&postcard::to_stdvec(&own).expect("encoded")).await;
    let late = agent.accept().await.expect("accepted");
    assert_eq!(late.greeting().vm, VmId::from_name("router-1"));
}
