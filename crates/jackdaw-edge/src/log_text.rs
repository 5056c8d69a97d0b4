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

/// Joins digests of requests or identifiers of prompt parts, of which only the first ones are listed,
/// in hexadecimal, as callers send the latter.
pub(crate) fn format_digests(digests: impl IntoIterator<Item = u64>) -> String {
    let names: Vec<String> = digests.into_iter().map(|digest| format!("{digest:x}")).collect();
    format_names(&names)
}

/// Formats an error of the HTTP client with its source, which says what went wrong.
pub(crate) fn format_error(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
