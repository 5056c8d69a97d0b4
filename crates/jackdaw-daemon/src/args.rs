//! Command line of the daemons.

use std::ffi::OsString;
use std::path::PathBuf;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use pico_args::Arguments;

/// Exit status after a regular end.
pub const EXIT_OK: u8 = 0;

/// Exit status where the process cannot start or go on.
pub const EXIT_FAILED: u8 = 1;

/// Exit status for a wrong command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit status for settings that are not allowed.
pub const EXIT_SETTINGS: u8 = 3;

/// What a daemon is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonCommand {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and end.
    Check(PathBuf),
    /// Run.
    Run(PathBuf),
}

/// Returns the help text of a daemon.
pub fn daemon_help(program: &str) -> String {
    format!(
        "\
Usage: {program} --settings FILE [--check]

Options:
  --settings FILE  the INI file with the settings
  --check          checks the settings and ends
  --version        prints the version
  --help           prints this text

Once it runs, the process prints one JSON line with its addresses to standard
output. SIGTERM and SIGINT end it after the work in progress; a second signal
ends it at once.

Exit status:
  0  ended after the work in progress, or the settings are allowed
  1  cannot start or go on
  2  wrong command line
  3  the settings are not allowed
"
    )
}

/// Reads the command line of a daemon, without the program's name.
///
/// # Errors
///
/// `Malformed` for unknown and missing options.
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
