//! Runs the demo as a standalone program, without the `jackdaw` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(jackdaw_demo::execute(std::env::args_os().skip(1).collect()))
}
