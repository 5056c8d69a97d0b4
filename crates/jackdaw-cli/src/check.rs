//! Validates settings files and change tickets without applying them.

use std::fs;
use std::path::Path;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_objects::{ChangeTicket, TicketProblem};
use jackdaw_settings::{AgentSettings, RouterSettings};

const TICKET_EXTENSION: &str = "json";
const AGENT_SECTION: &str = "[target]";

/// Validates a file: a change ticket if its name ends in `.json`, otherwise settings, of an agent
/// if they have a section `[target]` and of a router if not.
pub(crate) fn check_file(file: &Path) -> Result<(), Report<ErrorKind>> {
    if file.extension().is_some_and(|extension| extension == TICKET_EXTENSION) {
        let ticket = read_ticket(file)?;
        println!("{}: ticket {} is allowed", file.display(), ticket.number.0);
        return Ok(());
    }
    let text = read_text(file)?;
    let name = file.display().to_string();
    if text.lines().any(|line| line.trim() == AGENT_SECTION) {
        AgentSettings::parse(&name, &text)?;
        println!("{name}: the settings of an agent are allowed");
    } else {
        RouterSettings::parse(&name, &text)?;
        println!("{name}: the settings of a router are allowed");
    }
    Ok(())
}

/// Reads and validates a change ticket; all its problems are attached to the error report.
pub(crate) fn read_ticket(file: &Path) -> Result<ChangeTicket, Report<ErrorKind>> {
    let text = read_text(file)?;
    ChangeTicket::parse(&text)
        .map_err(|problems| problems_report(ErrorKind::TicketInvalid, &problems))
}

/// Builds an error report that lists the problems of a ticket, one per line.
pub(crate) fn problems_report(kind: ErrorKind, problems: &[TicketProblem]) -> Report<ErrorKind> {
    let lines = problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    Report::new(kind).attach(lines)
}

/// Reads a text file; the error report names the file.
pub(crate) fn read_text(file: &Path) -> Result<String, Report<ErrorKind>> {
    fs::read_to_string(file)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| file.display().to_string())
}
