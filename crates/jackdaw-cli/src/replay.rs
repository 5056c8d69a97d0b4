//! Runs recorded traces through the decision code.

use std::path::Path;

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;

use crate::check::read_text;
use crate::exit::ExitReason;

/// The most differing steps that are shown.
const SHOWN_MISMATCHES: usize = 10;

/// Runs a trace and prints the steps whose outcome differs from the stated one.
///
/// # Errors
///
/// `LocalResource` where the file cannot be read, `Malformed` where it is no trace.
pub(crate) fn replay_file(file: &Path) -> Result<ExitReason, Report<ErrorKind>> {
    let text = read_text(file)?;
    let report = jackdaw_policy::replay(text.lines()).attach_with(|| file.display().to_string())?;
    for mismatch in report.mismatches.iter().take(SHOWN_MISMATCHES) {
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
