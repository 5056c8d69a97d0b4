//! Load test of a complete fleet that runs in one process.
//!
//! [`run`] starts a platform stand-in, routers, agents and targets on loopback ports, sends
//! seeded load through the routers, and compares the answers that callers received with the
//! requests that the stand-ins executed. The report is computed from the callers and the
//! stand-ins; the only figure taken from routers and agents is the number of bytes on their links.

pub mod args;
pub mod client;
pub mod cpu;
pub mod fleet;
pub mod latency;
pub mod ledger;
mod load;
pub mod meter;
mod node;
pub mod population;
pub mod report;
mod session;

pub use args::{DemoSettings, execute};
pub use report::DemoReport;
pub use session::run;
