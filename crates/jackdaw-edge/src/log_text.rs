//! Text of values in log lines.

use std::error::Error;

/// Maximum number of entries of a list in one log line.
const MAX_LOGGED_ENTRIES: usize = 12;

/// Joins names of targets, of which only the first ones are listed.
pub(crate) fn format_names(names: &[String]) -> String {
    let (listed, rest) = names.split_at(names.len().min(MAX_LOGGED_ENTRIES));
    match rest.len() {
        0 => listed.join(" "),
        count => format!("{} and {count} more", listed.join(" ")),
    }
}

/// Joins identifiers of prompt parts, of which only the first ones are listed, in hexadecimal as
/// callers send them.
pub(crate) fn format_parts(parts: impl IntoIterator<Item = u64>) -> String {
    let names: Vec<String> = parts.into_iter().map(|part| format!("{part:x}")).collect();
    format_names(&names)
}

/// Formats an error of the HTTP client with its source, which says what went wrong.
pub(crate) fn format_error(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
