//! Checks, applies and queries change tickets on the platform.

use std::net::SocketAddr;
use std::path::Path;

use error_stack::Report;
use jackdaw_base::{ErrorKind, TicketNumber};
use jackdaw_objects::{PlatformClient, PlatformSettings, TicketAcceptor, TicketStatus};

use crate::check::{problems_report, read_ticket};
use crate::exit::{ExitReason, print_report};

/// Validates a ticket, also against the configuration in force if a platform is given.
pub(crate) fn check(file: &Path, platform: Option<SocketAddr>) -> Result<(), Report<ErrorKind>> {
    let ticket = read_ticket(file)?;
    if let Some(address) = platform {
        let problems = with_acceptor(address, async |acceptor| acceptor.check(&ticket).await)?;
        if let Some(first) = problems.first() {
            return Err(problems_report(first.kind, &problems));
        }
    }
    println!("ticket {} would be accepted", ticket.number.0);
    Ok(())
}

/// Applies a ticket.
///
/// Returns [`ExitReason::Unknown`] if the platform does not respond in time, because the ticket
/// may have been accepted.
pub(crate) fn apply(file: &Path, platform: SocketAddr) -> Result<ExitReason, Report<ErrorKind>> {
    let ticket = read_ticket(file)?;
    let number = ticket.number.0;
    let acceptance = match with_acceptor(platform, async |acceptor| acceptor.accept(&ticket).await)
    {
        Ok(acceptance) => acceptance,
        Err(report) if may_be_accepted(&report) => {
            print_report(&report);
            eprintln!("jackdaw: ticket {number} may have been accepted: apply it again");
            return Ok(ExitReason::Unknown);
        }
        Err(report) => return Err(report),
    };
    match acceptance.repeated {
        true => println!("ticket {number} was accepted before and is in force"),
        false => println!("ticket {number} is accepted and in force"),
    }
    Ok(ExitReason::Done)
}

/// Returns whether a ticket may have been accepted despite this error.
fn may_be_accepted(report: &Report<ErrorKind>) -> bool {
    let kind = *report.current_context();
    matches!(kind, ErrorKind::PlatformUnavailable | ErrorKind::BudgetExhausted)
}

/// Prints the status of a ticket.
pub(crate) fn status(
    number: TicketNumber,
    platform: SocketAddr,
) -> Result<ExitReason, Report<ErrorKind>> {
    let status = with_acceptor(platform, async |acceptor| acceptor.status(number).await)?;
    let (text, reason) = match status {
        TicketStatus::Absent => ("no ticket with this number was accepted", ExitReason::Refused),
        TicketStatus::Accepted => ("accepted and in force", ExitReason::Done),
        TicketStatus::Applied => ("applied", ExitReason::Done),
    };
    println!("ticket {}: {text}", number.0);
    Ok(reason)
}

/// Runs an operation with a ticket acceptor connected to a platform.
pub(crate) fn with_acceptor<T>(
    platform: SocketAddr,
    operation: impl AsyncFnOnce(TicketAcceptor<PlatformClient>) -> Result<T, Report<ErrorKind>>,
) -> Result<T, Report<ErrorKind>> {
    actix_rt::System::new().block_on(async {
        let client = PlatformClient::open(PlatformSettings::new(platform));
        operation(TicketAcceptor::open(client)).await
    })
}
