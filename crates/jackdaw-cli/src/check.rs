//! Checks files without applying them.

use std::fs;
use std::path::Path;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use jackdaw_objects::{ChangeTicket, TicketProblem};
use jackdaw_settings::{AgentSettings, RouterSettings};

const TICKET_EXTENSION: &str = "json";
const AGENT_SECTION: &str = "[target]";

/// Checks a file of settings or a change ticket.
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

/// Reads a change ticket; every problem is attached to the report.
pub(crate) fn read_ticket(file: &Path) -> Result<ChangeTicket, Report<ErrorKind>> {
    let text = read_text(file)?;
    ChangeTicket::parse(&text)
        .map_err(|problems| refuse_problems(ErrorKind::TicketInvalid, &problems))
}

/// Returns the report of a ticket's problems.
pub(crate) fn refuse_problems(kind: ErrorKind, problems: &[TicketProblem]) -> Report<ErrorKind> {
    let lines = problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    Report::new(kind).attach(lines)
}

/// Reads a text file and names it where that fails.
pub(crate) fn read_text(file: &Path) -> Result<String, Report<ErrorKind>> {
    fs::read_to_string(file)
        .change_context(ErrorKind::LocalResource)
        .attach_with(|| file.display().to_string())
}
