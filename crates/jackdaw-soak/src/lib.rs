//! Randomized soak of edge routers: real processes before stand-ins, with faults from outside.
//!
//! Stages of a run: [`fault_plan`] draws from a seed what fails and when; [`soak_run`] starts the
//! routers as processes ([`router_process`]), each with a [`fault_proxy`] on every way to it and
//! from it, and brings the faults about; [`soak_load`] calls all the while; [`call_history`]
//! compares what callers saw with what targets ran. After the last fault all routers must serve
//! again with the newest configuration.

pub mod call_history;
pub mod fault_plan;
pub mod fault_proxy;
pub mod router_process;
pub mod soak_load;
pub mod soak_run;
mod target_fleet;

pub use call_history::CallHistory;
pub use fault_plan::{FaultKind, FaultPlan, LinkFault, PlannedFault};
pub use soak_run::{SoakReport, SoakSize, run_soak};
