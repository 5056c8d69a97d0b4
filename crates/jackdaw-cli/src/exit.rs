//! Exit statuses and what goes to standard error.

use error_stack::Report;
use jackdaw_base::{ErrorKind, report_parts};

/// What the exit status says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The command did what it was asked to do.
    Done,
    /// A file, the platform or a process could not be used; nothing was changed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// The content was refused: settings, ticket, key or trace; nothing was changed.
    Refused,
    /// The platform did not answer in time: a ticket may have been accepted or not.
    Unknown,
}

impl ExitReason {
    /// Returns the exit status.
    pub fn status(self) -> u8 {
        match self {
            ExitReason::Done => 0,
            ExitReason::Failed => 1,
            ExitReason::Usage => 2,
            ExitReason::Refused => 3,
            ExitReason::Unknown => 4,
        }
    }

    /// Returns the reason that a report stands for.
    pub fn of_report(report: &Report<ErrorKind>) -> ExitReason {
        match report.current_context() {
            ErrorKind::SettingsInvalid
            | ErrorKind::TicketInvalid
            | ErrorKind::TicketStale
            | ErrorKind::TicketConflict
            | ErrorKind::Unauthorized
            | ErrorKind::Forbidden
            | ErrorKind::Malformed => ExitReason::Refused,
            _ => ExitReason::Failed,
        }
    }
}

/// Prints a report to standard error.
pub(crate) fn print_report(report: &Report<ErrorKind>) {
    for part in report_parts(report) {
        for line in part.lines() {
            eprintln!("jackdaw: {line}");
        }
    }
}
