//! Helpers that run the program.

use std::path::PathBuf;
use std::process::Command;

/// Exit status and output of a run of the program.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) status: i32,
    pub(crate) output: String,
    pub(crate) errors: String,
}

/// Runs the program and waits for it to exit.
pub(crate) fn run(arguments: &[&str]) -> RunResult {
    let output =
        Command::new(env!("CARGO_BIN_EXE_jackdaw")).args(arguments).output().expect("program runs");
    RunResult {
        status: output.status.code().expect("status"),
        output: String::from_utf8(output.stdout).expect("text"),
        errors: String::from_utf8(output.stderr).expect("text"),
    }
}

/// Returns the path of an example file.
pub(crate) fn example(name: &str) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "../../examples", name].iter().collect();
    path.display().to_string()
}
