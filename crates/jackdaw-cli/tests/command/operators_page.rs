//! Every `jackdaw` command of docs/OPERATORS.md runs as written.

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

/// Returns the lines of the page's shell blocks.
fn commands() -> Vec<&'static str> {
    let mut is_inside = false;
    let mut lines = Vec::new();
    for line in PAGE.lines() {
        match line {
            "```sh" => is_inside = true,
            "```" => is_inside = false,
            line if is_inside => lines.push(line),
            _ => {}
        }
    }
    lines
}

/// Splits a command line at spaces outside double quotes.
fn words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (position, part) in line.split('"').enumerate() {
        match position % 2 {
            0 => words.extend(part.split_whitespace().map(str::to_owned)),
            _ => words.push(part.to_owned()),
        }
    }
    words
}

fn run_in(directory: &Path, line: &str) -> (bool, String) {
    let words = words(line);
    assert_eq!(words[0], "jackdaw", "{line}");
    let output = Command::new(env!("CARGO_BIN_EXE_jackdaw"))
        .args(&words[1..])
        .current_dir(directory)
        .output()
        .expect("program runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

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

#[actix_web::test]
async fn commands_run_as_written() {
    let directory = tempfile::tempdir().expect("directory");
    for file in FILES {
        let name = Path::new(file).file_name().expect("name");
        fs::copy(example(file), directory.path().join(name)).expect("copied");
    }
    fs::write(directory.path().join("operators.key"), KEY).expect("written");
    let cooperativa = PlatformStandin::bind(StandinSettings::default()).expect("bound");
    let mehta = PlatformStandin::bind(StandinSettings::default()).expect("bound");
    let admin = serve_admin();
    let commands = commands();
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
fn metrics_are_explained() {
    let counted = RouterMetrics::new();
    counted.count_whole();
    counted.count_offer();
    counted.count_run();
    counted.count_violation();
    counted.set_open(1);
    let text = counted.registry().encode().expect("text");
    let mut metrics = 0;
    for line in text.lines() {
        let Some(declared) = line.strip_prefix("# TYPE ") else { continue };
        let (name, kind) = declared.split_once(' ').expect("name and kind");
        let shown = match kind {
            "counter" => format!("| `{name}_total"),
            _ => format!("| `{name}"),
        };
        assert!(PAGE.contains(&shown), "{name} is missing");
        metrics += 1;
    }
    assert!(metrics > 0, "{text}");
}

/// The page's sections of settings exist.
#[test]
fn settings_are_real() {
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
