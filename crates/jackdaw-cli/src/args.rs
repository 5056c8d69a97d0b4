//! Command-line parsing.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use error_stack::Report;
use jackdaw_base::{ErrorKind, TicketNumber};
use jackdaw_link::ProcessRole;
use pico_args::Arguments;

use crate::help::HelpPage;

const DEFAULT_AUTHORITY_DAYS: u32 = 3650;
const DEFAULT_CERTIFICATE_DAYS: u32 = 365;
const MAX_DAYS: u32 = 36_500;

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print a help page.
    Help(HelpPage),
    /// Print the program version.
    Version,
    /// Validate a settings file or change ticket.
    Check(PathBuf),
    /// Check, apply or query a change ticket.
    Ticket(TicketCommand),
    /// Print the configuration in force.
    PlatformStatus(SocketAddr),
    /// Print the readiness and status of a process.
    ProcessStatus(ProcessQuery),
    /// Print the complete state of a process.
    Dump(ProcessQuery),
    /// Generate keys or certificates.
    Keys(KeysCommand),
    /// Print the identifier derived from a name.
    Id(String),
    /// Replay a recorded trace.
    Replay(PathBuf),
    /// Run the demo, which parses these arguments itself.
    Demo(Vec<OsString>),
}

/// An operation on a change ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketCommand {
    /// Validate the ticket.
    Check {
        /// The ticket file.
        file: PathBuf,
        /// The platform whose configuration the ticket is checked against; `None` to check only the
        /// file.
        platform: Option<SocketAddr>,
    },
    /// Apply the ticket.
    Apply {
        /// The ticket file.
        file: PathBuf,
        /// The address of the platform.
        platform: SocketAddr,
    },
    /// Query the status of a ticket.
    Status {
        /// The ticket number.
        number: TicketNumber,
        /// The address of the platform.
        platform: SocketAddr,
    },
}

/// A process to query and the key of its admin interface.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessQuery {
    /// The admin address of the process.
    pub address: SocketAddr,
    /// The file that contains the operators' key.
    pub key_file: Option<PathBuf>,
}

/// The keys to generate.
#[derive(Debug, Clone, PartialEq)]
pub enum KeysCommand {
    /// Create the certificate authority of the fleet.
    Authority {
        /// The directory to write to.
        directory: PathBuf,
        /// The days of validity.
        days: u32,
    },
    /// Issue a certificate for a process.
    Issue {
        /// The directory of the authority.
        directory: PathBuf,
        /// The VM's name.
        vm_name: String,
        /// The role of the process.
        role: ProcessRole,
        /// The file to write the certificate to.
        certificate: PathBuf,
        /// The file to write the private key to.
        key: PathBuf,
        /// The days of validity.
        days: u32,
    },
    /// Generate a random secret key.
    Secret,
}

/// Parses the command line, given without the program name.
///
/// # Errors
///
/// `Malformed` for unknown commands and options and for invalid or missing values.
pub fn parse_args(arguments: Vec<OsString>) -> Result<Command, Report<ErrorKind>> {
    let mut arguments = Arguments::from_vec(arguments);
    let Some(name) = arguments.subcommand().map_err(|error| parse_error(&error))? else {
        return parse_overview(arguments);
    };
    let page = match name.as_str() {
        "check" => HelpPage::Check,
        "ticket" => HelpPage::Ticket,
        "status" => HelpPage::Status,
        "dump" => HelpPage::Dump,
        "keys" => HelpPage::Keys,
        "id" => HelpPage::Id,
        "replay" => HelpPage::Replay,
        "demo" => return Ok(Command::Demo(arguments.finish())),
        other => return Err(invalid(format!("unknown command: {other}"))),
    };
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help(page));
    }
    let command = match page {
        HelpPage::Check => Command::Check(file_argument(&mut arguments)?),
        HelpPage::Ticket => Command::Ticket(parse_ticket(&mut arguments)?),
        HelpPage::Status => parse_status(&mut arguments)?,
        HelpPage::Dump => parse_dump(&mut arguments)?,
        HelpPage::Keys => Command::Keys(parse_keys(&mut arguments)?),
        HelpPage::Id => Command::Id(name_argument(&mut arguments)?),
        HelpPage::Replay => Command::Replay(file_argument(&mut arguments)?),
        HelpPage::Overview => Command::Help(page),
    };
    finish(arguments)?;
    Ok(command)
}

fn parse_overview(mut arguments: Arguments) -> Result<Command, Report<ErrorKind>> {
    let command = if arguments.contains(["-h", "--help"]) {
        Command::Help(HelpPage::Overview)
    } else if arguments.contains(["-V", "--version"]) {
        Command::Version
    } else {
        finish(arguments)?;
        return Err(invalid("missing command"));
    };
    finish(arguments)?;
    Ok(command)
}

fn parse_ticket(arguments: &mut Arguments) -> Result<TicketCommand, Report<ErrorKind>> {
    let action = arguments.subcommand().map_err(|error| parse_error(&error))?;
    match action.as_deref() {
        Some("check") => {
            let platform = optional(arguments, "--platform", platform_address)?;
            Ok(TicketCommand::Check { file: file_argument(arguments)?, platform })
        }
        Some("apply") => {
            let platform = required(arguments, "--platform", platform_address)?;
            Ok(TicketCommand::Apply { file: file_argument(arguments)?, platform })
        }
        Some("status") => {
            let platform = required(arguments, "--platform", platform_address)?;
            let number =
                arguments.free_from_fn(ticket_number).map_err(|error| parse_error(&error))?;
            Ok(TicketCommand::Status { number, platform })
        }
        Some(other) => Err(invalid(format!("unknown command: ticket {other}"))),
        None => {
            Err(invalid("missing operation: expected ticket check, ticket apply or ticket status"))
        }
    }
}

fn parse_status(arguments: &mut Arguments) -> Result<Command, Report<ErrorKind>> {
    let platform = optional(arguments, "--platform", platform_address)?;
    let process = optional(arguments, "--process", socket_address)?;
    let key_file = optional_path(arguments, "--key-file")?;
    match (platform, process) {
        (Some(address), None) if key_file.is_none() => Ok(Command::PlatformStatus(address)),
        (None, Some(address)) => Ok(Command::ProcessStatus(ProcessQuery { address, key_file })),
        (Some(_), None) => Err(invalid("--key-file requires --process")),
        (None, None) | (Some(_), Some(_)) => Err(invalid("specify either --platform or --process")),
    }
}

fn parse_dump(arguments: &mut Arguments) -> Result<Command, Report<ErrorKind>> {
    let address = required(arguments, "--process", socket_address)?;
    let key_file = required_path(arguments, "--key-file")?;
    Ok(Command::Dump(ProcessQuery { address, key_file: Some(key_file) }))
}

fn parse_keys(arguments: &mut Arguments) -> Result<KeysCommand, Report<ErrorKind>> {
    let action = arguments.subcommand().map_err(|error| parse_error(&error))?;
    match action.as_deref() {
        Some("authority") => {
            let directory = required_path(arguments, "--directory")?;
            let days = optional(arguments, "--days", day_count)?.unwrap_or(DEFAULT_AUTHORITY_DAYS);
            Ok(KeysCommand::Authority { directory, days })
        }
        Some("issue") => Ok(KeysCommand::Issue {
            directory: required_path(arguments, "--directory")?,
            vm_name: required(arguments, "--vm", |name| Ok(name.to_owned()))?,
            role: required(arguments, "--role", process_role)?,
            certificate: required_path(arguments, "--certificate")?,
            key: required_path(arguments, "--key")?,
            days: optional(arguments, "--days", day_count)?.unwrap_or(DEFAULT_CERTIFICATE_DAYS),
        }),
        Some("secret") => Ok(KeysCommand::Secret),
        Some(other) => Err(invalid(format!("unknown command: keys {other}"))),
        None => {
            Err(invalid("missing operation: expected keys authority, keys issue or keys secret"))
        }
    }
}

/// Parses the positional NAME argument.
fn name_argument(arguments: &mut Arguments) -> Result<String, Report<ErrorKind>> {
    let name: String = arguments.free_from_str().map_err(|_| invalid("missing NAME argument"))?;
    if name.starts_with('-') {
        return Err(invalid(format!("unknown option: {name}")));
    }
    Ok(name)
}

/// Parses the positional FILE argument.
fn file_argument(arguments: &mut Arguments) -> Result<PathBuf, Report<ErrorKind>> {
    let path = arguments
        .free_from_os_str(|text| Ok::<_, String>(PathBuf::from(text)))
        .map_err(|_| invalid("missing FILE argument"))?;
    if path.to_string_lossy().starts_with('-') {
        return Err(invalid(format!("unknown option: {}", path.display())));
    }
    Ok(path)
}

fn required<T>(
    arguments: &mut Arguments,
    name: &'static str,
    parse: fn(&str) -> Result<T, String>,
) -> Result<T, Report<ErrorKind>> {
    optional(arguments, name, parse)?.ok_or_else(|| invalid(format!("{name} is missing")))
}

fn optional<T>(
    arguments: &mut Arguments,
    name: &'static str,
    parse: fn(&str) -> Result<T, String>,
) -> Result<Option<T>, Report<ErrorKind>> {
    arguments.opt_value_from_fn(name, parse).map_err(|error| invalid(format!("{name}: {error}")))
}

fn required_path(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<PathBuf, Report<ErrorKind>> {
    optional_path(arguments, name)?.ok_or_else(|| invalid(format!("{name} is missing")))
}

fn optional_path(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<PathBuf>, Report<ErrorKind>> {
    arguments
        .opt_value_from_os_str(name, |text| Ok::<_, String>(PathBuf::from(text)))
        .map_err(|error| parse_error(&error))
}

fn socket_address(text: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(text).map_err(|_| "expected IP-NUMBER:PORT".to_owned())
}

fn platform_address(text: &str) -> Result<SocketAddr, String> {
    let authority = text.strip_prefix("http://").unwrap_or_default().trim_end_matches('/');
    SocketAddr::from_str(authority).map_err(|_| "expected http://IP-NUMBER:PORT".to_owned())
}

fn ticket_number(text: &str) -> Result<TicketNumber, String> {
    text.parse().map(TicketNumber).map_err(|_| format!("{text} is not a ticket number"))
}

fn day_count(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(days) if (1..=MAX_DAYS).contains(&days) => Ok(days),
        _ => Err(format!("expected an integer from 1 to {MAX_DAYS}")),
    }
}

fn process_role(text: &str) -> Result<ProcessRole, String> {
    match text {
        "router" => Ok(ProcessRole::Router),
        "agent" => Ok(ProcessRole::Agent),
        "operator" => Ok(ProcessRole::Operator),
        _ => Err("expected router, agent or operator".to_owned()),
    }
}

/// Rejects arguments that were not consumed.
fn finish(arguments: Arguments) -> Result<(), Report<ErrorKind>> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(first) => Err(invalid(format!("unknown argument: {}", first.display()))),
    }
}

fn parse_error(error: &pico_args::Error) -> Report<ErrorKind> {
    invalid(error.to_string())
}

/// Builds the report for an invalid command line.
fn invalid(message: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(message.into())
}
