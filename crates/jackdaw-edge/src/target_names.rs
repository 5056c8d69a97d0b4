//! Names of targets in log lines.

/// Maximum number of target names in one log line.
const MAX_LOGGED_NAMES: usize = 12;

/// Joins names of targets, of which only the first ones are listed.
pub(crate) fn format_names(names: &[String]) -> String {
    let (listed, rest) = names.split_at(names.len().min(MAX_LOGGED_NAMES));
    match rest.len() {
        0 => listed.join(" "),
        count => format!("{} and {count} more", listed.join(" ")),
    }
}
