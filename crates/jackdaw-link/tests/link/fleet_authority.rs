//! Files of the fleet authority and the certificates that it issues.

use std::os::unix::fs::PermissionsExt;

use jackdaw_base::{ErrorKind, VmId};
use jackdaw_link::authority::{AUTHORITY_FILE, AUTHORITY_KEY_FILE};
use jackdaw_link::{FleetAuthority, FleetIdentity, LinkEndpoint, ProcessRole};
use time::{Duration, OffsetDateTime};

use crate::common;

#[test]
fn saved_credentials_can_be_loaded() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path();
    FleetAuthority::generate(10).expect("authority").save(path).expect("saved");
    let authority = FleetAuthority::open(path).expect("opened");
    let keys = authority.issue("guj-surat-router-1", ProcessRole::Router, 5).expect("issued");
    let (certificate, key) = (path.join("process.pem"), path.join("process.key"));
    keys.save(&certificate, &key).expect("saved");
    for secret in [path.join(AUTHORITY_KEY_FILE), key.clone()] {
        let mode = secret.metadata().expect("metadata").permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{}", secret.display());
    }
    let identity =
        FleetIdentity::open(&path.join(AUTHORITY_FILE), &certificate, &key).expect("opened");
    assert_eq!(identity.vm(), VmId::from_name("guj-surat-router-1"));
    assert_eq!(identity.role(), ProcessRole::Router);
    let rest = identity.expires() - OffsetDateTime::now_utc();
    assert_eq!((rest + Duration::hours(12)).whole_days(), 5);
}

#[test]
fn existing_key_files_are_not_replaced() {
    let directory = tempfile::tempdir().expect("directory");
    let first = FleetAuthority::generate(1).expect("authority");
    first.save(directory.path()).expect("saved");
    let second = FleetAuthority::generate(1).expect("authority");
    assert_eq!(common::kind_of(second.save(directory.path())), ErrorKind::LocalResource);
    let opened = FleetAuthority::open(directory.path()).expect("opened");
    assert_eq!(opened.certificate_pem(), first.certificate_pem());
}

#[test]
fn invalid_vm_names_are_rejected() {
    let authority = FleetAuthority::generate(1).expect("authority");
    for name in ["", "a b", "router/1", "ü", &"x".repeat(129)] {
        let issued = authority.issue(name, ProcessRole::Agent, 1);
        assert_eq!(common::kind_of(issued), ErrorKind::SettingsInvalid, "{name:?}");
    }
}

#[tokio::test]
async fn invalid_credentials_are_rejected() {
    let authority = FleetAuthority::generate(1).expect("authority");
    let first = authority.issue("router-1", ProcessRole::Router, 1).expect("issued");
    let second = authority.issue("router-1", ProcessRole::Router, 1).expect("issued");
    let pem = authority.certificate_pem();
    let unreadable = FleetIdentity::from_pem(pem, "no certificate", &first.key_pem);
    assert_eq!(common::kind_of(unreadable), ErrorKind::SettingsInvalid);
    let mismatched = FleetIdentity::from_pem(pem, &first.certificate_pem, &second.key_pem);
    let bound = LinkEndpoint::bind(
        common::loopback(),
        &mismatched.expect("readable"),
        common::greeting("router-1", ProcessRole::Router),
        common::quick_settings(),
    );
    assert_eq!(common::kind_of(bound), ErrorKind::SettingsInvalid);
    let authority_only = FleetIdentity::from_pem(pem, pem, &first.key_pem);
    assert_eq!(common::kind_of(authority_only), ErrorKind::SettingsInvalid);
}

/// While an authority is being replaced, processes trust both the old and the new one.
#[tokio::test]
async fn two_authorities_are_trusted() {
    let old = FleetAuthority::generate(1).expect("authority");
    let new = FleetAuthority::generate(1).expect("authority");
    let both = format!("{}{}", old.certificate_pem(), new.certificate_pem());
    let bind = |authority: &FleetAuthority, vm_name: &str, role: ProcessRole| {
        let keys = authority.issue(vm_name, role, 1).expect("issued");
        let identity = FleetIdentity::from_pem(&both, &keys.certificate_pem, &keys.key_pem);
        let greeting = common::greeting(vm_name, role);
        let settings = common::quick_settings();
        LinkEndpoint::bind(common::loopback(), &identity.expect("readable"), greeting, settings)
            .expect("bound")
    };
    let router = bind(&old, "router-1", ProcessRole::Router);
    let agent = bind(&new, "agent-1", ProcessRole::Agent);
    let (to_agent, _to_router) = common::link(&router, &agent, "agent-1").await;
    to_agent.probe().await.expect("answered");
}
