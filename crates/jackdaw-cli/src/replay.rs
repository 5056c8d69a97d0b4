//! Replays recorded traces through the decision code.

use std::path::Path;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;

use crate::check::read_text;
use crate::exit::ExitReason;

/// Maximum number of mismatches printed.
const MAX_PRINTED_MISMATCHES: usize = 10;

/// Replays a trace and prints the steps whose outcome differs from the recorded one.
///
/// # Errors
///
/// `LocalResource` if the file cannot be read, `Malformed` if it is not a valid trace.
pub(crate) fn replay_file(file: &Path) -> Result<ExitReason, Report<ErrorKind>> {
    let text = read_text(file)?;
    let report = jackdaw_policy::replay(text.lines()).attach_with(|| file.display().to_string())?;
    for mismatch in report.mismatches.iter().take(MAX_PRINTED_MISMATCHES) {
        println!("line {}:", mismatch.line);
        println!("  stated {}", mismatch.stated);
        println!("  found  {}", mismatch.found);
    }
    println!("{} steps, {} differ", report.steps, report.mismatches.len());
    match report.mismatches.is_empty() {
        true => Ok(ExitReason::Done),
        false => Ok(ExitReason::Refused),
    }
}
