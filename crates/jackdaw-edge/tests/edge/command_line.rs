//! The program's command line.

use std::process::{Command, Output};

fn edge(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdaw-edge"));
    command.args(args).output().expect("the program runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_and_version_are_printed() {
    let help = edge(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings"));
    let version = edge(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("jackdaw-edge "));
}

#[test]
fn settings_are_checked() {
    assert!(edge(&["--settings", &example("edge.ini"), "--check"]).status.success());
    let wrong = edge(&["--settings", &example("router.ini"), "--check"]);
    assert_eq!(wrong.status.code(), Some(3));
    assert!(!wrong.stderr.is_empty());
}

#[test]
fn unknown_options_are_refused() {
    assert_eq!(edge(&["--sideways"]).status.code(), Some(2));
}
