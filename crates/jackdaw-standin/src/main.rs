//! Runs one stand-in as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_standin::args::{HELP_TEXT, StandinCommand, parse_args};
use jackdaw_standin::{EngineStandin, PlatformStandin, ServiceStandin};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit status when the stand-in fails to start.
const EXIT_FAILED: u8 = 1;

/// Exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match parse_args(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(report) => {
            eprintln!("{report:?}\n\n{HELP_TEXT}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match actix_rt::System::new().block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs the requested stand-in until SIGTERM, or prints the help text.
async fn run(command: StandinCommand) -> Result<(), Report<ErrorKind>> {
    let mut sigterm = signal(SignalKind::terminate()).change_context(ErrorKind::LocalResource)?;
    match command {
        StandinCommand::Help => print!("{HELP_TEXT}"),
        StandinCommand::Engine(settings) => {
            let engine = EngineStandin::bind(settings)?;
            announce_and_wait(engine.address(), &mut sigterm).await;
            engine.close().await;
        }
        StandinCommand::Service(settings) => {
            let service = ServiceStandin::bind(settings)?;
            announce_and_wait(service.address(), &mut sigterm).await;
            service.close().await;
        }
        StandinCommand::Platform(settings) => {
            let platform = PlatformStandin::bind(settings)?;
            announce_and_wait(platform.address(), &mut sigterm).await;
            platform.close().await;
        }
    }
    Ok(())
}

/// Prints the bound address as one JSON line and waits for SIGTERM.
async fn announce_and_wait(address: SocketAddr, sigterm: &mut Signal) {
    println!("{}", json!({ "address": address }));
    sigterm.recv().await;
}
