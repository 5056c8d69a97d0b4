//! Command line arguments and exit statuses of the daemons.

use std::ffi::OsString;
use std::path::PathBuf;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use pico_args::Arguments;

/// Exit status after a regular shutdown, and if the settings are valid.
pub const EXIT_OK: u8 = 0;

/// Exit status if the process cannot start or continue.
pub const EXIT_FAILED: u8 = 1;

/// Exit status for invalid command line arguments.
pub const EXIT_USAGE: u8 = 2;

/// Exit status for invalid settings.
pub const EXIT_SETTINGS: u8 = 3;

/// The action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
    /// Checks the settings file at the given path and exits.
    Check(PathBuf),
    /// Runs the daemon with the settings file at the given path.
    Run(PathBuf),
}

/// Returns the help text of a daemon.
pub fn daemon_help(program: &str) -> String {
    format!(
        "\
Usage: {program} --settings FILE [--check]

Options:
  --settings FILE  the INI file with the settings
  --check          checks the settings and exits
  --version        prints the version
  --help           prints this text

Once it runs, the process prints one JSON line with its addresses to standard
output. SIGTERM and SIGINT end it once the work in progress has completed; a
second signal ends it immediately.

Exit status:
  0  regular shutdown, or the settings are valid
  1  cannot start or continue
  2  invalid command line
  3  invalid settings
"
    )
}

/// Parses the command line arguments of a daemon; `args` must not contain the program name.
///
/// # Errors
///
/// Returns `Malformed` for unknown and missing options.
pub fn parse_daemon_args(args: Vec<OsString>) -> Result<DaemonCommand, Report<ErrorKind>> {
    let mut arguments = Arguments::from_vec(args);
    if arguments.contains(["-h", "--help"]) {
        return Ok(DaemonCommand::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(DaemonCommand::Version);
    }
    let is_check = arguments.contains("--check");
    let settings = arguments
        .value_from_os_str("--settings", |value| Ok::<_, String>(PathBuf::from(value)))
        .map_err(|error| Report::new(ErrorKind::Malformed).attach(error.to_string()))?;
    if let Some(unknown) = arguments.finish().first() {
        let note = format!("unknown option: {}", unknown.to_string_lossy());
        return Err(Report::new(ErrorKind::Malformed).attach(note));
    }
    match is_check {
        true => Ok(DaemonCommand::Check(settings)),
        false => Ok(DaemonCommand::Run(settings)),
    }
}
