//! Command line of the program.

use std::process::{Command, Output};

fn run_edge(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdaw-edge"));
    command.args(args).output().expect("the program starts")
}

fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_and_version_are_printed() {
    let help = run_edge(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings"));
    let version = run_edge(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("jackdaw-edge "));
}

#[test]
fn check_validates_the_settings_file() {
    assert!(run_edge(&["--settings", &example_path("edge.ini"), "--check"]).status.success());
    let invalid = run_edge(&["--settings", &example_path("router.ini"), "--check"]);
    assert_eq!(invalid.status.code(), Some(3));
    assert!(!invalid.stderr.is_empty());
}

#[test]
fn memory_is_checked_with_the_settings() {
    let settings = example_path("edge.ini");
    for (memory, status) in [("96", 0), ("", 0), ("many", 3)] {
        let option = format!("--memory-mb={memory}");
        let output = run_edge(&["--settings", &settings, "--check", &option]);
        assert_eq!(output.status.code(), Some(status), "{memory:?}");
    }
}

#[test]
fn first_start_is_checked_with_the_settings() {
    let settings = example_path("edge.ini");
    for (first_start, status) in [("true", 0), ("false", 0), ("", 0), ("maybe", 3)] {
        let option = format!("--first-start={first_start}");
        let output = run_edge(&["--settings", &settings, "--check", &option]);
        assert_eq!(output.status.code(), Some(status), "{first_start:?}");
    }
}

#[test]
fn unknown_options_are_rejected() {
    assert_eq!(run_edge(&["--sideways"]).status.code(), Some(2));
}
