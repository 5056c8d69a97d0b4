//! The `jackdaw` command-line tool for operators.
//!
//! [`run`] parses the command line ([`args`]) and executes the command: checks files, applies
//! change tickets on the platform, queries running processes, generates keys, replays traces or
//! runs the demo. Results go to standard output and errors to standard error; [`exit`] defines
//! the exit statuses.

pub mod args;
mod check;
pub mod exit;
pub mod help;
mod keys;
mod platform;
mod process;
mod replay;
mod ticket;

use std::ffi::OsString;

use error_stack::Report;
use jackdaw_base::{ErrorKind, VmId};

use crate::args::{Command, TicketCommand, parse_args};
use crate::exit::{ExitReason, print_report};

/// Executes the command line, given without the program name, and returns the exit status.
pub fn run(arguments: Vec<OsString>) -> u8 {
    let command = match parse_args(arguments) {
        Ok(command) => command,
        Err(report) => {
            print_report(&report);
            eprintln!("`jackdaw --help` lists commands and options");
            return ExitReason::Usage.status();
        }
    };
    match execute(command) {
        Ok(status) => status,
        Err(report) => {
            print_report(&report);
            ExitReason::from_report(&report).status()
        }
    }
}

fn execute(command: Command) -> Result<u8, Report<ErrorKind>> {
    match command {
        Command::Help(page) => print!("{}", page.text()),
        Command::Version => println!("jackdaw {}", env!("CARGO_PKG_VERSION")),
        Command::Check(file) => check::check_file(&file)?,
        Command::Ticket(TicketCommand::Check { file, platform }) => {
            ticket::check(&file, platform)?;
        }
        Command::Ticket(TicketCommand::Apply { file, platform }) => {
            return ticket::apply(&file, platform).map(ExitReason::status);
        }
        Command::Ticket(TicketCommand::Status { number, platform }) => {
            return Ok(ticket::status(number, platform)?.status());
        }
        Command::PlatformStatus(address) => platform::print_status(address)?,
        Command::ProcessStatus(process) => {
            return Ok(process::print_status(&process)?.status());
        }
        Command::Dump(process) => process::print_dump(&process)?,
        Command::Keys(command) => keys::execute(&command)?,
        Command::Id(name) => {
            // Identifiers of every type are the same hash of the name.
            let id = VmId::from_name(&name);
            println!("{id} {}", id.0);
        }
        Command::Replay(file) => return Ok(replay::replay_file(&file)?.status()),
        Command::Demo(arguments) => return Ok(jackdaw_demo::execute(arguments)),
    }
    Ok(ExitReason::Done.status())
}
