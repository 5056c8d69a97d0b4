//! Logs, metrics and the operators' interface.

mod admin_routes;
mod log_lines;
mod metric_text;
