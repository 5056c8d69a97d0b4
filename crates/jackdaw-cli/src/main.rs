//! The `jackdaw` command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(jackdaw_cli::run(std::env::args_os().skip(1).collect()))
}
