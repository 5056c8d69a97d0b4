//! Exit statuses and error output.

use error_stack::Report;
use jackdaw_base::{ErrorKind, report_parts};

/// Reason for exiting, which determines the exit status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// The command succeeded.
    Done,
    /// A file, the platform or a process could not be used; nothing was changed.
    Failed,
    /// The command line is invalid.
    Usage,
    /// Settings, a ticket, a key or a trace were rejected; nothing was changed.
    Refused,
    /// The platform did not respond in time, so whether the ticket was accepted is unknown.
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

    /// Classifies an error report as [`ExitReason::Refused`] or [`ExitReason::Failed`].
    pub fn from_report(report: &Report<ErrorKind>) -> ExitReason {
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

/// Prints an error report to standard error, each line prefixed with the program name.
pub(crate) fn print_report(report: &Report<ErrorKind>) {
    for part in report_parts(report) {
        for line in part.lines() {
            eprintln!("jackdaw: {line}");
        }
    }
}
