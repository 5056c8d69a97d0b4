//! Checks of the example settings files in the repository.

use std::path::PathBuf;
use std::time::Duration;

use jackdaw_base::{ServiceId, ServiceKind, VmId};
use jackdaw_policy::SharePolicy;
use jackdaw_settings::{AgentSettings, EdgeSettings, LogOutput, RouterSettings};

fn example(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "../../examples", name].iter().collect()
}

#[test]
fn router_example_is_valid() {
    let settings = RouterSettings::open(&example("router.ini")).expect("allowed");
    assert_eq!(settings.process.vm_id(), VmId::from_name("ba-a-router-1"));
    assert_eq!(settings.requests.deadline_default, Duration::from_secs(600));
    assert_eq!(settings.caller_tls, None);
    assert_eq!(settings.log.output, LogOutput::StandardError);
}

#[test]
fn agent_example_is_valid() {
    let settings = AgentSettings::open(&example("agent.ini")).expect("allowed");
    assert_eq!(settings.target.service_id(), ServiceId::from_name("asistente"));
    assert_eq!(settings.target.kind, ServiceKind::Engine);
    assert_eq!(settings.target.place_limit, 8);
    assert_eq!(settings.target.share_policy, SharePolicy::Fleet);
}

#[test]
fn edge_example_is_valid() {
    let settings = EdgeSettings::open(&example("edge.ini")).expect("allowed");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.shutdown_grace, Duration::from_secs(8));
    assert_eq!(settings.log.output, LogOutput::StandardOutput);
}

/// Each commented-out setting of the examples must exist and show its default value.
#[test]
fn commented_defaults_match_the_code() {
    let uncomment = |name: &str| {
        let text = std::fs::read_to_string(example(name)).expect("readable");
        let optional = |line: &str| match line.strip_prefix("; ") {
            Some(rest) if rest.contains(" = ") => rest.to_owned(),
            _ => line.to_owned(),
        };
        text.lines().map(optional).collect::<Vec<_>>().join("\n")
    };
    let router = RouterSettings::parse("router.ini", &uncomment("router.ini")).expect("allowed");
    let defaults = RouterSettings::open(&example("router.ini")).expect("allowed");
    assert!(router.caller_tls.is_some());
    assert_eq!(router.requests, defaults.requests);
    assert_eq!(router.log, defaults.log);
    assert_eq!(router.platform.calls_per_second, defaults.platform.calls_per_second);
    let edge = EdgeSettings::parse("edge.ini", &uncomment("edge.ini")).expect("allowed");
    assert_eq!(edge, EdgeSettings::open(&example("edge.ini")).expect("allowed"));
    let agent = AgentSettings::parse("agent.ini", &uncomment("agent.ini")).expect("allowed");
    assert_eq!(agent.target, AgentSettings::open(&example("agent.ini")).expect("allowed").target);
}
