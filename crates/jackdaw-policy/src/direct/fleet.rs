//! The routers as a fleet: reports and their receivers, size, shared budgets, who watches the
//! store, and this router's own strain.
//!
//! Fed by other routers' reports and by the process itself. Never reads the state of targets,
//! customers or streams beyond the rows of a report.

pub mod contact_list;
pub mod fleet_retry_budget;
pub mod fleet_roster;
pub mod fleet_size;
pub mod overload_detector;
pub mod peer_report;
pub mod report_plan;
pub mod watch_election;
