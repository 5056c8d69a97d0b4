//! Randomized soak test of edge router processes that run against stand-ins with injected faults.
//!
//! [`fault_plan`] draws the faults of a run and their times from a seed. [`soak_run`] starts each
//! router as a process ([`router_process`]), puts a [`fault_proxy`] on its connections from
//! callers, to the store and to the targets, and injects the faults while [`soak_load`] sends
//! requests. [`call_history`] then compares the outcomes that callers saw with the requests that
//! targets ran. In every other run, a [`deadly_caller`] sends a request that crashes targets. After the
//! last fault, all routers must serve again with the newest configuration.

pub mod call_history;
pub mod deadly_caller;
pub mod fault_plan;
pub mod fault_proxy;
pub mod router_process;
pub mod soak_load;
pub mod soak_run;
mod target_fleet;

pub use call_history::CallHistory;
pub use fault_plan::{FaultKind, FaultPlan, LinkFault, PlannedFault};
pub use soak_run::{SoakReport, SoakSize, run_soak};
