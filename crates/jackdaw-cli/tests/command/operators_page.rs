//! Checks docs/OPERATORS.md: its commands run as written, and its tables match the code.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;

use actix_web::web;
use jackdaw_daemon::AdminServer;
use jackdaw_objects::digest_key;
use jackdaw_router::metrics::RouterMetrics;
use jackdaw_standin::{PlatformStandin, StandinSettings};
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, Readiness, SharedReadiness,
};
use serde_json::json;

use crate::program::example;

const PAGE: &str = include_str!("../../../../docs/OPERATORS.md");
const KEY: &str = "operators-key";
const FILES: [&str; 5] = [
    "router.ini",
    "agent.ini",
    "tickets/cooperativa-1.json",
    "tickets/cooperativa-2.json",
    "tickets/mehta-1.json",
];

/// Returns the lines in the page's shell code blocks.
fn shell_commands() -> Vec<&'static str> {
    let mut is_in_block = false;
    let mut lines = Vec::new();
    for line in PAGE.lines() {
        match line {
            "```sh" => is_in_block = true,
            "```" => is_in_block = false,
            line if is_in_block => lines.push(line),
            _ => {}
        }
    }
    lines
}

/// Splits a command line at whitespace outside double quotes.
fn split_words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (position, part) in line.split('"').enumerate() {
        match position % 2 {
            0 => words.extend(part.split_whitespace().map(str::to_owned)),
            _ => words.push(part.to_owned()),
        }
    }
    words
}

/// Runs a command in a directory and returns whether it succeeded, with its error output.
fn run_in(directory: &Path, line: &str) -> (bool, String) {
    let words = split_words(line);
    assert_eq!(words[0], "jackdaw", "{line}");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdaw"))
        .args(&words[1..])
        .current_dir(directory)
        .output()
        .expect("program runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Serves the admin interface of a ready process.
fn serve_admin() -> AdminServer {
    let readiness = SharedReadiness::default();
    readiness.set(Readiness::Ready);
    let state = AdminState {
        key: AdminKey::new(digest_key(KEY)),
        readiness,
        metrics: Arc::new(MetricRegistry::new()),
        dump: DumpSource::new(|| async { json!({ "waiting": 3 }) }),
    };
    AdminServer::bind("127.0.0.1:0".parse().expect("address"), &state, |_| {}).expect("bound")
}

/// Guards against commands on the page that no longer work.
#[actix_web::test]
async fn documented_commands_succeed() {
    let directory = tempfile::tempdir().expect("directory");
    for file in FILES {
        let name = Path::new(file).file_name().expect("name");
        fs::copy(example(file), directory.path().join(name)).expect("copied");
    }
    fs::write(directory.path().join("operators.key"), KEY).expect("written");
    let cooperativa = PlatformStandin::bind(StandinSettings::default()).expect("bound");
    let mehta = PlatformStandin::bind(StandinSettings::default()).expect("bound");
    let admin = serve_admin();
    let commands = shell_commands();
    assert!(commands.len() >= 15, "{commands:?}");
    for command in commands {
        let line = command
            .replace("10.1.0.2:6100", &cooperativa.address().to_string())
            .replace("10.2.0.2:6100", &mehta.address().to_string())
            .replace("10.1.0.11:9400", &admin.address().to_string());
        let path = directory.path().to_owned();
        let (succeeded, errors) =
            web::block(move || run_in(&path, &line)).await.expect("command was run");
        assert!(succeeded, "{command}: {errors}");
    }
    admin.close().await;
}

#[test]
fn all_metrics_are_documented() {
    let metrics = RouterMetrics::new();
    metrics.count_completed();
    metrics.count_offer();
    metrics.count_run_start();
    metrics.count_violation();
    metrics.set_open_requests(1);
    let text = metrics.registry().encode().expect("text");
    let mut documented = 0;
    for line in text.lines() {
        let Some(declared) = line.strip_prefix("# TYPE ") else { continue };
        let (name, kind) = declared.split_once(' ').expect("name and kind");
        let row_start = match kind {
            "counter" => format!("| `{name}_total"),
            _ => format!("| `{name}"),
        };
        assert!(PAGE.contains(&row_start), "{name} is missing");
        documented += 1;
    }
    assert!(documented > 0, "{text}");
}

/// Every settings section is described on the page and exists in an example file.
#[test]
fn documented_settings_sections_exist() {
    let texts = [
        include_str!("../../../../examples/router.ini"),
        include_str!("../../../../examples/agent.ini"),
    ];
    for section in ["process", "keys", "platform", "requests", "target", "log", "admin"] {
        assert!(PAGE.contains(&format!("| `[{section}]` |")), "{section} is missing");
        let header = format!("[{section}]");
        assert!(texts.iter().any(|text| text.lines().any(|line| line == header)), "{section}");
    }
}
