//! Fleet in one process under load, measured from the stand-ins.
//!
//! [`run`] starts a platform stand-in, routers, agents and targets on loopback ports, sends
//! seeded load through the routers and compares what callers received with what the stand-ins
//! really did. Nothing in the report comes from the router's or the agent's own counters but
//! the bytes of the links.

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
