//! Logs as JSON lines, metrics and state dumps.
//!
//! [`open_log`] starts the log, [`MetricRegistry`] holds a process's metrics and
//! [`admin_routes`] serves health, readiness, metrics and state dumps over HTTP.

mod admin;
mod log_buffer;
mod log_line;
mod metric;
mod problem;

pub use admin::{AdminKey, AdminState, DumpSource, Readiness, SharedReadiness, admin_routes};
pub use jackdaw_settings::{LogOutput, LogSettings};
pub use log_buffer::LogBuffer;
pub use log_line::{log_dispatch, open_log};
pub use metric::{CounterFamily, GaugeFamily, HistogramFamily, MetricRegistry};
pub use problem::{PROBLEM_TYPE, problem_response, problem_text, retry_response};
