//! Runs a daemon from its command line to its exit status.

use std::path::Path;
use std::process::ExitCode;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, describe_report};
use jackdaw_settings::LogSettings;
use jackdaw_telemetry::open_log;
use serde_json::Value;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::args::{
    DaemonCommand, EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, daemon_help, parse_daemon_args,
};

/// The role of a daemon in the fleet, such as router or agent.
pub trait DaemonRole: Sized {
    /// The settings of the role.
    type Settings;

    /// The name of the program, for the help text and the version.
    const PROGRAM: &'static str;

    /// Reads and checks the settings file.
    fn read_settings(path: &Path) -> Result<Self::Settings, Report<ErrorKind>>;

    /// Returns the process name that each log line carries, and the settings of the log.
    fn log_settings(settings: &Self::Settings) -> (&str, &LogSettings);

    /// Starts the role on the runtime of the current thread.
    fn spawn(settings: &Self::Settings) -> Result<Self, Report<ErrorKind>>;

    /// Returns the bound addresses as JSON; the daemon prints them as one line to standard output
    /// once it runs.
    fn addresses(&self) -> Value;

    /// Completes the work in progress and stops the role.
    fn close(self) -> impl Future<Output = ()>;
}

/// Parses the command line, reads the settings and runs the role until SIGTERM or SIGINT.
pub fn run_daemon<R: DaemonRole>() -> ExitCode {
    let command = match parse_daemon_args(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(report) => {
            eprintln!("{}\n\n{}", describe_report(&report), daemon_help(R::PROGRAM));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let path = match command {
        DaemonCommand::Help => {
            print!("{}", daemon_help(R::PROGRAM));
            return ExitCode::SUCCESS;
        }
        DaemonCommand::Version => {
            println!("{} {}", R::PROGRAM, env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        DaemonCommand::Check(path) => return check_settings::<R>(&path),
        DaemonCommand::Run(path) => path,
    };
    let settings = match R::read_settings(&path) {
        Ok(settings) => settings,
        Err(report) => return report_invalid_settings(&report),
    };
    match actix_rt::System::new().block_on(run_role::<R>(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{}", describe_report(&report));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn check_settings<R: DaemonRole>(path: &Path) -> ExitCode {
    match R::read_settings(path) {
        Ok(_) => {
            println!("{}: allowed", path.display());
            ExitCode::SUCCESS
        }
        Err(report) => report_invalid_settings(&report),
    }
}

fn report_invalid_settings(report: &Report<ErrorKind>) -> ExitCode {
    eprintln!("{}", describe_report(report));
    ExitCode::from(EXIT_SETTINGS)
}

/// Runs the role until SIGTERM or SIGINT, then closes it. A second signal stops the role without
/// waiting for the work in progress.
async fn run_role<R: DaemonRole>(settings: &R::Settings) -> Result<(), Report<ErrorKind>> {
    let (process, log) = R::log_settings(settings);
    open_log(log, process)?;
    let mut terminate = listen_signal(SignalKind::terminate())?;
    let mut interrupt = listen_signal(SignalKind::interrupt())?;
    let role = R::spawn(settings)?;
    println!("{}", role.addresses());
    log::info!("daemon started");
    wait_signal(&mut terminate, &mut interrupt).await;
    log::info!("received a termination signal; completing the work in progress");
    tokio::select! {
        () = role.close() => log::info!("daemon stopped"),
        () = wait_signal(&mut terminate, &mut interrupt) => {
            log::warn!("received a second signal; stopping at once");
        }
    }
    Ok(())
}

fn listen_signal(kind: SignalKind) -> Result<Signal, Report<ErrorKind>> {
    signal(kind).change_context(ErrorKind::LocalResource)
}

async fn wait_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
