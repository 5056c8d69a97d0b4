//! Command-line entry point of the edge router.

use std::ffi::OsString;
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
use jackdaw_telemetry::open_log;
use tokio::task::LocalSet;

const PROGRAM: &str = "jackdaw-edge";

/// Option with the memory of the process, which goes before that in the settings file.
const MEMORY_OPTION: &str = "--memory-mb=";

/// Option that states whether no router of the deployment has run before.
const FIRST_START_OPTION: &str = "--first-start=";

/// What the command line asks for.
struct EdgeCommand {
    daemon: DaemonCommand,
    /// Memory of the process in megabytes; empty if the command line does not state it.
    memory: String,
    /// `true` if no router has run before; empty if the command line does not say.
    first_start: String,
}

fn main() -> ExitCode {
    let EdgeCommand { daemon, memory, first_start } = match parse_command() {
        Ok(command) => command,
        Err(report) => {
            eprintln!("{}\n\n{}", describe_report(&report), edge_help());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let open =
        |path: &Path| SettingsFile::open(path).with_memory(&memory).with_first_start(&first_start);
    match daemon {
        DaemonCommand::Help => {
            print!("{}", edge_help());
            ExitCode::SUCCESS
        }
        DaemonCommand::Version => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        DaemonCommand::Check(path) => match open(&path).read() {
            Ok(_) => ExitCode::SUCCESS,
            Err(report) => fail(&report, EXIT_SETTINGS),
        },
        DaemonCommand::Run(path) => run(open(&path)),
    }
}

fn edge_help() -> String {
    daemon_help(PROGRAM)
        + "\nFurther options:\n  --memory-mb=N    memory of the process in megabytes, before that in the file\n  \
           --first-start=B  true if no router of the deployment has run before\n"
}

/// Parses the command line; without arguments, the platform provides the settings path.
fn parse_command() -> Result<EdgeCommand, Report<ErrorKind>> {
    let mut args: Vec<_> = std::env::args_os().skip(1).collect();
    let memory = take_option(&mut args, MEMORY_OPTION);
    let first_start = take_option(&mut args, FIRST_START_OPTION);
    let daemon = match (args.is_empty(), settings_path()) {
        (true, Some(path)) => DaemonCommand::Run(path),
        _ => parse_daemon_args(args)?,
    };
    Ok(EdgeCommand { daemon, memory, first_start })
}

/// Removes an option from the arguments and returns its value; empty if there is none.
fn take_option(args: &mut Vec<OsString>, option: &str) -> String {
    let mut value = String::new();
    args.retain(|arg| match arg.to_str().and_then(|arg| arg.strip_prefix(option)) {
        Some(text) => {
            text.clone_into(&mut value);
            false
        }
        None => true,
    });
    value
}

fn run(file: SettingsFile) -> ExitCode {
    let settings = match file.read() {
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
