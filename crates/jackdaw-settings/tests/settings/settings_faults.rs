//! Faults of settings files.

use std::fs;

use jackdaw_base::ErrorKind;
use jackdaw_settings::{AgentSettings, RouterSettings, SettingsError, SettingsErrors};

const AGENT: &str = include_str!("../../../../examples/agent.ini");

fn agent_faults(text: &str) -> Vec<SettingsError> {
    let report = AgentSettings::parse("agent.ini", text).expect_err("faulty settings");
    assert_eq!(*report.current_context(), ErrorKind::SettingsInvalid);
    report.downcast_ref::<SettingsErrors>().expect("attached faults").0.clone()
}

fn shown(text: &str) -> Vec<String> {
    agent_faults(text).iter().map(ToString::to_string).collect()
}

#[test]
fn all_faults_at_once() {
    let text = AGENT
        .replace("name = ba-a-asistente-1", "name = ba a")
        .replace("link_address = 10.1.0.21:7400", "link_address = here")
        .replace("kind = engine", "kind = steam")
        .replace("; place_limit = 8", "place_limit = 0")
        .replace("service = asistente\n", "");
    let faults = shown(&text);
    assert_eq!(faults.len(), 5, "{faults:#?}");
    assert_eq!(
        faults[2],
        "agent.ini: [target] service: found nothing; allowed: 1 to 40 bytes of letters, \
         digits, '-', '_', '.' and spaces"
    );
    assert_eq!(
        faults[3],
        "agent.ini: [target] kind: found \"steam\"; allowed: one of engine, plain"
    );
    assert_eq!(
        faults[4],
        "agent.ini: [target] place_limit: found \"0\"; allowed: a whole number from 1 to 4096"
    );
}

#[test]
fn unknown_names_are_faults() {
    let text = format!("{AGENT}key_diggest = 1\n[requests]\nbody_limit_bytes = 1\n");
    let faults = shown(&text);
    assert_eq!(faults.len(), 2, "{faults:#?}");
    assert!(faults[0].starts_with("agent.ini: [admin] key_diggest: found an unknown key"));
    assert!(faults[1].starts_with("agent.ini: [requests]: found an unknown section"));
    let faults = shown(&format!("stray = 1\n{AGENT}"));
    assert!(faults[0].starts_with("agent.ini: []: found an unknown section"), "{faults:#?}");
}

#[test]
fn repeated_names_are_faults() {
    let text = AGENT.replace("kind = engine", "kind = engine\nkind = plain");
    assert_eq!(
        shown(&text),
        ["agent.ini: [target] kind: found the key again; allowed: each key once"]
    );
    let faults = shown(&format!("{AGENT}[log]\nlevel = debug\n"));
    assert_eq!(faults, ["agent.ini: [log]: found the section again; allowed: each section once"]);
}

#[test]
fn unreadable_line_is_a_fault() {
    let faults = shown("[process]\nname\n= 1 = 2\n[broken");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].starts_with("agent.ini:"), "{faults:#?}");
    assert!(!agent_faults("").is_empty());
}

#[test]
fn digest_must_be_whole() {
    let digest = "00".repeat(32);
    for wrong in ["00", &"0g".repeat(32), &"é0".repeat(32)] {
        let faults = shown(&AGENT.replace(&digest, wrong));
        assert!(faults[0].contains("[admin] key_digest: found"), "{faults:#?}");
    }
}

#[test]
fn platform_speaks_plain_http() {
    let faults = shown(&AGENT.replace("url = http://10.1.0.2:6100", "url = https://10.1.0.2:6100"));
    assert_eq!(
        faults,
        ["agent.ini: [platform] url: found \"https://10.1.0.2:6100\"; allowed: \
          http://IP-NUMBER:PORT"]
    );
}

#[test]
fn caller_tls_needs_both_files() {
    let router = include_str!("../../../../examples/router.ini");
    let text = router.replace("; caller_key", "caller_key");
    let report = RouterSettings::parse("router.ini", &text).expect_err("one file only");
    let faults = report.downcast_ref::<SettingsErrors>().expect("attached faults");
    assert_eq!(
        faults.to_string(),
        "router.ini: [keys] caller_certificate: found nothing; allowed: the path of a file, since \
         caller_key is set"
    );
}

#[test]
fn missing_file_is_named() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("none.ini");
    let report = AgentSettings::open(&path).expect_err("no file");
    assert_eq!(*report.current_context(), ErrorKind::LocalResource);
    fs::write(&path, AGENT).expect("written");
    assert!(AgentSettings::open(&path).is_ok());
}
