//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use error_stack::Report;
use jackdaw_base::{ErrorKind, TicketNumber};
use jackdaw_link::ProcessRole;
use pico_args::Arguments;

use crate::help::HelpPage;

const AUTHORITY_DAYS: u32 = 3650;
const CERTIFICATE_DAYS: u32 = 365;
const DAYS_LIMIT: u32 = 36_500;

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print a help text.
    Help(HelpPage),
    /// Print the version.
    Version,
    /// Check a file.
    Check(PathBuf),
    /// Do something with a change ticket.
    Ticket(TicketCommand),
    /// Show the configuration in force.
    PlatformStatus(SocketAddr),
    /// Show the state of a process.
    ProcessStatus(ProcessQuery),
    /// Print the whole state of a process.
    Dump(ProcessQuery),
    /// Make keys.
    Keys(KeysCommand),
    /// Print the identifier of a name.
    Id(String),
    /// Run a recorded trace.
    Replay(PathBuf),
    /// Run the demo with its own options.
    Demo(Vec<OsString>),
}

/// What to do with a change ticket.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketCommand {
    /// Check it.
    Check {
        /// The ticket.
        file: PathBuf,
        /// The platform with the configuration in force; `None` to check the file alone.
        platform: Option<SocketAddr>,
    },
    /// Apply it.
    Apply {
        /// The ticket.
        file: PathBuf,
        /// The platform.
        platform: SocketAddr,
    },
    /// Ask about it.
    Status {
        /// The number.
        number: TicketNumber,
        /// The platform.
        platform: SocketAddr,
    },
}

/// A process and the key for its operators' interface.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessQuery {
    /// The admin address.
    pub address: SocketAddr,
    /// The file with the operators' key.
    pub key_file: Option<PathBuf>,
}

/// Which keys to make.
#[derive(Debug, Clone, PartialEq)]
pub enum KeysCommand {
    /// Make the fleet authority.
    Authority {
        /// The directory to write to.
        directory: PathBuf,
        /// The days of validity.
        days: u32,
    },
    /// Issue the certificate of a process.
    Issue {
        /// The authority's directory.
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
    /// Make a random secret key.
    Secret,
}

/// Parses the command line without the program's name.
///
/// # Errors
///
/// `Malformed` for unknown commands and options and for wrong or missing values.
pub fn parse_args(arguments: Vec<OsString>) -> Result<Command, Report<ErrorKind>> {
    let mut arguments = Arguments::from_vec(arguments);
    let Some(name) = arguments.subcommand().map_err(|error| usage(&error))? else {
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
        other => return Err(wrong(format!("unknown command: {other}"))),
    };
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help(page));
    }
    let command = match page {
        HelpPage::Check => Command::Check(file(&mut arguments)?),
        HelpPage::Ticket => Command::Ticket(parse_ticket(&mut arguments)?),
        HelpPage::Status => parse_status(&mut arguments)?,
        HelpPage::Dump => parse_dump(&mut arguments)?,
        HelpPage::Keys => Command::Keys(parse_keys(&mut arguments)?),
        HelpPage::Id => Command::Id(free_name(&mut arguments)?),
        HelpPage::Replay => Command::Replay(file(&mut arguments)?),
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
        return Err(wrong("name a command"));
    };
    finish(arguments)?;
    Ok(command)
}

fn parse_ticket(arguments: &mut Arguments) -> Result<TicketCommand, Report<ErrorKind>> {
    let action = arguments.subcommand().map_err(|error| usage(&error))?;
    match action.as_deref() {
        Some("check") => {
            let platform = optional(arguments, "--platform", platform_address)?;
            Ok(TicketCommand::Check { file: file(arguments)?, platform })
        }
        Some("apply") => {
            let platform = required(arguments, "--platform", platform_address)?;
            Ok(TicketCommand::Apply { file: file(arguments)?, platform })
        }
        Some("status") => {
            let platform = required(arguments, "--platform", platform_address)?;
            let number = arguments.free_from_fn(ticket_number).map_err(|error| usage(&error))?;
            Ok(TicketCommand::Status { number, platform })
        }
        Some(other) => Err(wrong(format!("unknown command: ticket {other}"))),
        None => Err(wrong("name what to do: ticket check, apply or status")),
    }
}

fn parse_status(arguments: &mut Arguments) -> Result<Command, Report<ErrorKind>> {
    let platform = optional(arguments, "--platform", platform_address)?;
    let process = optional(arguments, "--process", socket_address)?;
    let key_file = optional_path(arguments, "--key-file")?;
    match (platform, process) {
        (Some(address), None) if key_file.is_none() => Ok(Command::PlatformStatus(address)),
        (None, Some(address)) => Ok(Command::ProcessStatus(ProcessQuery { address, key_file })),
        (Some(_), None) => Err(wrong("--key-file goes with --process")),
        (None, None) | (Some(_), Some(_)) => Err(wrong("name either --platform or --process")),
    }
}

fn parse_dump(arguments: &mut Arguments) -> Result<Command, Report<ErrorKind>> {
    let address = required(arguments, "--process", socket_address)?;
    let key_file = required_path(arguments, "--key-file")?;
    Ok(Command::Dump(ProcessQuery { address, key_file: Some(key_file) }))
}

fn parse_keys(arguments: &mut Arguments) -> Result<KeysCommand, Report<ErrorKind>> {
    let action = arguments.subcommand().map_err(|error| usage(&error))?;
    match action.as_deref() {
        Some("authority") => {
            let directory = required_path(arguments, "--directory")?;
            let days = optional(arguments, "--days", day_count)?.unwrap_or(AUTHORITY_DAYS);
            Ok(KeysCommand::Authority { directory, days })
        }
        Some("issue") => Ok(KeysCommand::Issue {
            directory: required_path(arguments, "--directory")?,
            vm_name: required(arguments, "--vm", |name| Ok(name.to_owned()))?,
            role: required(arguments, "--role", process_role)?,
            certificate: required_path(arguments, "--certificate")?,
            key: required_path(arguments, "--key")?,
            days: optional(arguments, "--days", day_count)?.unwrap_or(CERTIFICATE_DAYS),
        }),
        Some("secret") => Ok(KeysCommand::Secret),
        Some(other) => Err(wrong(format!("unknown command: keys {other}"))),
        None => Err(wrong("name what to make: keys authority, issue or secret")),
    }
}

/// Takes the one free argument as a name.
fn free_name(arguments: &mut Arguments) -> Result<String, Report<ErrorKind>> {
    let name: String = arguments.free_from_str().map_err(|_| wrong("give a name"))?;
    if name.starts_with('-') {
        return Err(wrong(format!("unknown option: {name}")));
    }
    Ok(name)
}

/// Takes the one free argument as a file.
fn file(arguments: &mut Arguments) -> Result<PathBuf, Report<ErrorKind>> {
    let path = arguments
        .free_from_os_str(|text| Ok::<_, String>(PathBuf::from(text)))
        .map_err(|_| wrong("name a file"))?;
    if path.to_string_lossy().starts_with('-') {
        return Err(wrong(format!("unknown option: {}", path.display())));
    }
    Ok(path)
}

fn required<T>(
    arguments: &mut Arguments,
    name: &'static str,
    parse: fn(&str) -> Result<T, String>,
) -> Result<T, Report<ErrorKind>> {
    optional(arguments, name, parse)?.ok_or_else(|| wrong(format!("{name} is missing")))
}

fn optional<T>(
    arguments: &mut Arguments,
    name: &'static str,
    parse: fn(&str) -> Result<T, String>,
) -> Result<Option<T>, Report<ErrorKind>> {
    arguments.opt_value_from_fn(name, parse).map_err(|error| wrong(format!("{name}: {error}")))
}

fn required_path(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<PathBuf, Report<ErrorKind>> {
    optional_path(arguments, name)?.ok_or_else(|| wrong(format!("{name} is missing")))
}

fn optional_path(
    arguments: &mut Arguments,
    name: &'static str,
) -> Result<Option<PathBuf>, Report<ErrorKind>> {
    arguments
        .opt_value_from_os_str(name, |text| Ok::<_, String>(PathBuf::from(text)))
        .map_err(|error| usage(&error))
}

fn socket_address(text: &str) -> Result<SocketAddr, String> {
    SocketAddr::from_str(text).map_err(|_| "allowed is IP-NUMBER:PORT".to_owned())
}

fn platform_address(text: &str) -> Result<SocketAddr, String> {
    let authority = text.strip_prefix("http://").unwrap_or_default().trim_end_matches('/');
    SocketAddr::from_str(authority).map_err(|_| "allowed is http://IP-NUMBER:PORT".to_owned())
}

fn ticket_number(text: &str) -> Result<TicketNumber, String> {
    text.parse().map(TicketNumber).map_err(|_| format!("{text} is not a ticket number"))
}

fn day_count(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(days) if (1..=DAYS_LIMIT).contains(&days) => Ok(days),
        _ => Err(format!("allowed is a whole number from 1 to {DAYS_LIMIT}")),
    }
}

fn process_role(text: &str) -> Result<ProcessRole, String> {
    match text {
        "router" => Ok(ProcessRole::Router),
        "agent" => Ok(ProcessRole::Agent),
        "operator" => Ok(ProcessRole::Operator),
        _ => Err("allowed is router, agent or operator".to_owned()),
    }
}

/// Refuses what is left over.
fn finish(arguments: Arguments) -> Result<(), Report<ErrorKind>> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(first) => Err(wrong(format!("unknown argument: {}", first.display()))),
    }
}

fn usage(error: &pico_args::Error) -> Report<ErrorKind> {
    wrong(error.to_string())
}

fn wrong(note: impl Into<String>) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed).attach(note.into())
}
