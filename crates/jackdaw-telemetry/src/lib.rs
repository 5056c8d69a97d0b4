//! Logs as JSON lines, metrics and state dumps.
