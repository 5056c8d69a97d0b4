//! Runs one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_standin::args::{HELP_TEXT, StandinCommand, parse_args};
use jackdaw_standin::{EngineStandin, PlatformStandin, ServiceStandin};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit status when the stand-in cannot run.
const EXIT_FAILED: u8 = 1;

/// The exit status for a wrong command line.
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

/// Runs a stand-in until SIGTERM.
async fn run(command: StandinCommand) -> Result<(), Report<ErrorKind>> {
    let mut terminate = signal(SignalKind::terminate()).change_context(ErrorKind::LocalResource)?;
    match command {
        StandinCommand::Help => print!("{HELP_TEXT}"),
        StandinCommand::Engine(settings) => {
            let engine = EngineStandin::bind(settings)?;
            wait(engine.address(), &mut terminate).await;
            engine.close().await;
        }
        StandinCommand::Service(settings) => {
            let service = ServiceStandin::bind(settings)?;
            wait(service.address(), &mut terminate).await;
            service.close().await;
        }
        StandinCommand::Platform(settings) => {
            let platform = PlatformStandin::bind(settings)?;
            wait(platform.address(), &mut terminate).await;
            platform.close().await;
        }
    }
    Ok(())
}

/// Prints the address and waits for SIGTERM.
async fn wait(address: SocketAddr, terminate: &mut Signal) {
    println!("{}", json!({ "address": address }));
    terminate.recv().await;
}
