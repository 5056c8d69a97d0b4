//! Errors reported for invalid settings files.

use std::fs;

use jackdaw_base::ErrorKind;
use jackdaw_settings::{AgentSettings, RouterSettings, SettingsError, SettingsErrors};

const AGENT: &str = include_str!("../../../../examples/agent.ini");

fn agent_errors(text: &str) -> Vec<SettingsError> {
    let report = AgentSettings::parse("agent.ini", text).expect_err("invalid settings");
    assert_eq!(*report.current_context(), ErrorKind::SettingsInvalid);
    report.downcast_ref::<SettingsErrors>().expect("attached errors").0.clone()
}

fn agent_messages(text: &str) -> Vec<String> {
    agent_errors(text).iter().map(ToString::to_string).collect()
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = AGENT
        .replace("name = ba-a-asistente-1", "name = ba a")
        .replace("link_address = 10.1.0.21:7400", "link_address = here")
        .replace("kind = engine", "kind = steam")
        .replace("; place_limit = 8", "place_limit = 0")
        .replace("service = asistente\n", "");
    let errors = agent_messages(&text);
    assert_eq!(errors.len(), 5, "{errors:#?}");
    assert_eq!(
        errors[2],
        "agent.ini: [target] service: found nothing; allowed: 1 to 40 bytes of letters, \
         digits, '-', '_', '.' and spaces"
    );
    assert_eq!(
        errors[3],
        "agent.ini: [target] kind: found \"steam\"; allowed: one of engine, plain"
    );
    assert_eq!(
        errors[4],
        "agent.ini: [target] place_limit: found \"0\"; allowed: a whole number from 1 to 4096"
    );
}

#[test]
fn unknown_names_are_errors() {
    let text = format!("{AGENT}key_diggest = 1\n[requests]\nbody_limit_bytes = 1\n");
    let errors = agent_messages(&text);
    assert_eq!(errors.len(), 2, "{errors:#?}");
    assert!(errors[0].starts_with("agent.ini: [admin] key_diggest: found an unknown key"));
    assert!(errors[1].starts_with("agent.ini: [requests]: found an unknown section"));
    let errors = agent_messages(&format!("stray = 1\n{AGENT}"));
    assert!(errors[0].starts_with("agent.ini: []: found an unknown section"), "{errors:#?}");
}

#[test]
fn repeated_names_are_errors() {
    let text = AGENT.replace("kind = engine", "kind = engine\nkind = plain");
    assert_eq!(
        agent_messages(&text),
        ["agent.ini: [target] kind: found a repeated key; allowed: each key once"]
    );
    let errors = agent_messages(&format!("{AGENT}[log]\nlevel = debug\n"));
    assert_eq!(errors, ["agent.ini: [log]: found a repeated section; allowed: each section once"]);
}

#[test]
fn syntax_error_is_reported() {
    let errors = agent_messages("[process]\nname\n= 1 = 2\n[broken");
    assert_eq!(errors.len(), 1);
    assert!(errors[0].starts_with("agent.ini:"), "{errors:#?}");
    assert!(!agent_errors("").is_empty());
}

#[test]
fn digest_must_have_64_hex_digits() {
    let digest = "00".repeat(32);
    for wrong in ["00", &"0g".repeat(32), &"é0".repeat(32)] {
        let errors = agent_messages(&AGENT.replace(&digest, wrong));
        assert!(errors[0].contains("[admin] key_digest: found"), "{errors:#?}");
    }
}

#[test]
fn platform_url_must_be_plain_http() {
    let errors =
        agent_messages(&AGENT.replace("url = http://10.1.0.2:6100", "url = https://10.1.0.2:6100"));
    assert_eq!(
        errors,
        ["agent.ini: [platform] url: found \"https://10.1.0.2:6100\"; allowed: \
          http://IP-NUMBER:PORT"]
    );
}

#[test]
fn caller_tls_needs_both_files() {
    let router = include_str!("../../../../examples/router.ini");
    let text = router.replace("; caller_key", "caller_key");
    let report = RouterSettings::parse("router.ini", &text).expect_err("one file only");
    let errors = report.downcast_ref::<SettingsErrors>().expect("attached errors");
    assert_eq!(
        errors.to_string(),
        "router.ini: [keys] caller_certificate: found nothing; allowed: the path of a file, since \
         caller_key is set"
    );
}

#[test]
fn missing_file_is_a_local_resource_error() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("none.ini");
    let report = AgentSettings::open(&path).expect_err("no file");
    assert_eq!(*report.current_context(), ErrorKind::LocalResource);
    fs::write(&path, AGENT).expect("written");
    assert!(AgentSettings::open(&path).is_ok());
}
