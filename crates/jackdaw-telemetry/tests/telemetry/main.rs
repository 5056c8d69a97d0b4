//! Tests of logs, metrics and the admin interface.

mod admin_routes;
mod log_lines;
mod metric_text;
