//! `keys`: fleet authority, certificates and secret keys.

use jackdaw_base::VmId;
use jackdaw_link::{FleetIdentity, ProcessRole};
use jackdaw_objects::digest_key;

use crate::program::{RunResult, run};

fn issue(directory: &str, vm_name: &str) -> RunResult {
    run(&[
        "keys",
        "issue",
        "--directory",
        directory,
        "--vm",
        vm_name,
        "--role",
        "agent",
        "--certificate",
        &format!("{directory}/process.pem"),
        "--key",
        &format!("{directory}/process.key"),
    ])
}

#[test]
fn issued_identity_can_be_opened() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().display().to_string();
    let created = run(&["keys", "authority", "--directory", &path, "--days", "30"]);
    assert_eq!(created.status, 0, "{created:?}");
    let issued = issue(&path, "ba-a-asistente-1");
    assert_eq!(issued.status, 0, "{issued:?}");
    let identity = FleetIdentity::open(
        &directory.path().join("authority.pem"),
        &directory.path().join("process.pem"),
        &directory.path().join("process.key"),
    )
    .expect("opened");
    assert_eq!(identity.vm(), VmId::from_name("ba-a-asistente-1"));
    assert_eq!(identity.role(), ProcessRole::Agent);

    let again = run(&["keys", "authority", "--directory", &path]);
    assert_eq!(again.status, 1, "{again:?}");
    assert!(again.errors.contains("authority.key"), "{again:?}");
    assert_eq!(issue(&path, "ba-a-asistente-2").status, 1);
}

#[test]
fn invalid_vm_name_is_rejected() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().display().to_string();
    assert_eq!(run(&["keys", "authority", "--directory", &path]).status, 0);
    let issued = issue(&path, "ba a");
    assert_eq!(issued.status, 3, "{issued:?}");
    assert!(issued.errors.contains("\"ba a\""), "{issued:?}");
    assert!(!directory.path().join("process.key").exists());
}

#[test]
fn secrets_are_random_with_matching_digest() {
    let (first, second) = (run(&["keys", "secret"]), run(&["keys", "secret"]));
    assert_ne!(first.output, second.output);
    let lines = first.output.lines().collect::<Vec<_>>();
    let key = lines[0].strip_prefix("key = ").expect("key");
    let digest = lines[1].strip_prefix("digest = ").expect("digest");
    let hex: String = digest_key(key).0.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!((key.len(), digest), (64, hex.as_str()));
}
