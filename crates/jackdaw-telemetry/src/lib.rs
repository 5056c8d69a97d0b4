//! Logs as JSON lines, metrics, state dumps and error responses.
//!
//! [`open_log`] installs the logger, [`MetricRegistry`] holds the metrics of a process,
//! [`admin_routes`] serves health, readiness, metrics and state dumps over HTTP, and
//! [`problem_response`] builds HTTP responses for errors.

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
