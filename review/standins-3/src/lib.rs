//! Shared parts of the cases: router processes, engines, clients and the record of what they saw.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod record;
