//! The life of a daemon from its command line to its exit status.

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

/// A role that a daemon plays.
pub trait DaemonRole: Sized {
    /// The checked settings.
    type Settings;

    /// The program's name.
    const PROGRAM: &'static str;

    /// Reads the settings.
    fn read_settings(path: &Path) -> Result<Self::Settings, Report<ErrorKind>>;

    /// Returns the process's name and what its log needs.
    fn log_settings(settings: &Self::Settings) -> (&str, &LogSettings);

    /// Starts the role on the current thread's runtime.
    fn spawn(settings: &Self::Settings) -> Result<Self, Report<ErrorKind>>;

    /// Returns the addresses that are bound, for the line on standard output.
    fn addresses(&self) -> Value;

    /// Ends the role after the work in progress.
    fn close(self) -> impl Future<Output = ()>;
}

/// Runs a daemon: reads command line and settings, plays the role until a signal.
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
        DaemonCommand::Check(path) => return check::<R>(&path),
        DaemonCommand::Run(path) => path,
    };
    let settings = match R::read_settings(&path) {
        Ok(settings) => settings,
        Err(report) => return refuse_settings(&report),
    };
    match actix_rt::System::new().block_on(play::<R>(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{}", describe_report(&report));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn check<R: DaemonRole>(path: &Path) -> ExitCode {
    match R::read_settings(path) {
        Ok(_) => {
            println!("{}: allowed", path.display());
            ExitCode::SUCCESS
        }
        Err(report) => refuse_settings(&report),
    }
}

fn refuse_settings(report: &Report<ErrorKind>) -> ExitCode {
    eprintln!("{}", describe_report(report));
    ExitCode::from(EXIT_SETTINGS)
}

/// Plays the role until SIGTERM or SIGINT, then ends it; a second signal does not wait.
async fn play<R: DaemonRole>(settings: &R::Settings) -> Result<(), Report<ErrorKind>> {
    let (process, log) = R::log_settings(settings);
    open_log(log, process)?;
    let mut terminate = open_signal(SignalKind::terminate())?;
    let mut interrupt = open_signal(SignalKind::interrupt())?;
    let role = R::spawn(settings)?;
    println!("{}", role.addresses());
    log::info!("running");
    wait_signal(&mut terminate, &mut interrupt).await;
    log::info!("leaving after the work in progress");
    tokio::select! {
        () = role.close() => log::info!("ended"),
        () = wait_signal(&mut terminate, &mut interrupt) => log::warn!("ended by a second signal"),
    }
    Ok(())
}

fn open_signal(kind: SignalKind) -> Result<Signal, Report<ErrorKind>> {
    signal(kind).change_context(ErrorKind::LocalResource)
}

async fn wait_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
