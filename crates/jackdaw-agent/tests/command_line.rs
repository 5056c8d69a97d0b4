//! Tests of the command line of `jackdaw-agent`.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jackdaw-agent")).args(arguments).output().unwrap()
}

fn example_settings() -> String {
    let mut path = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    path.push("../../examples/agent.ini");
    path.to_str().unwrap().to_owned()
}

#[test]
fn help_text() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("Exit status"));
}

#[test]
fn unknown_option() {
    let output = run(&["--settings", &example_settings(), "--chek"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("--chek"));
}

#[test]
fn example_checked() {
    let output = run(&["--check", "--settings", &example_settings()]);
    assert!(output.status.success(), "{output:?}");
}

#[test]
fn wrong_settings() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("wrong.ini");
    std::fs::write(&path, "[process]\nname = a b\nspeed = 3\n").unwrap();
    let output = run(&["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8(output.stderr).unwrap();
    for part in ["wrong.ini", "process", "name", "speed", "link_address"] {
        assert!(errors.contains(part), "{part} is missing in {errors}");
    }
}
