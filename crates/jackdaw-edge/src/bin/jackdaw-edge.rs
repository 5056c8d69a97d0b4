//! Command-line entry point of the edge router.

use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_daemon::args::{
    DaemonCommand, EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, daemon_help, parse_daemon_args,
};
use jackdaw_edge::edge_daemon::{EdgeDaemon, EdgeSignals};
use jackdaw_edge::settings_file::SettingsFile;
use jackdaw_platform::settings_path;
use jackdaw_settings::EdgeSettings;
use jackdaw_telemetry::open_log;
use tokio::task::LocalSet;

const PROGRAM: &str = "jackdaw-edge";

fn main() -> ExitCode {
    match parse_command() {
        Ok(DaemonCommand::Help) => {
            print!("{}", daemon_help(PROGRAM));
            ExitCode::SUCCESS
        }
        Ok(DaemonCommand::Version) => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(DaemonCommand::Check(path)) => match EdgeSettings::open(&path) {
            Ok(_) => ExitCode::SUCCESS,
            Err(report) => fail(&report, EXIT_SETTINGS),
        },
        Ok(DaemonCommand::Run(path)) => run(&path),
        Err(report) => {
            eprintln!("{}\n\n{}", describe_report(&report), daemon_help(PROGRAM));
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Parses the command line; without arguments, the platform provides the settings path.
fn parse_command() -> Result<DaemonCommand, Report<ErrorKind>> {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    match (args.is_empty(), settings_path()) {
        (true, Some(path)) => Ok(DaemonCommand::Run(path)),
        _ => parse_daemon_args(args),
    }
}

fn run(path: &Path) -> ExitCode {
    let settings = match EdgeSettings::open(path) {
        Ok(settings) => settings,
        Err(report) => return fail(&report, EXIT_SETTINGS),
    };
    if let Err(report) = open_log(&settings.log, &settings.name) {
        return fail(&report, EXIT_FAILED);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        let signals = EdgeSignals::register()?;
        let file = SettingsFile::open(path);
        EdgeDaemon::bind(settings).await?.run(signals, file).await;
        Ok::<_, Report<ErrorKind>>(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(&report, EXIT_FAILED),
    }
}

fn fail(report: &Report<ErrorKind>, status: u8) -> ExitCode {
    eprintln!("{}", describe_report(report));
    ExitCode::from(status)
}
