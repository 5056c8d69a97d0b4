//! Agent: the only way to the target beside it.
//!
//! Stages of a run: a router's link is accepted ([`daemon`]); its offers reach the decision
//! code inside one actor ([`decision_actor`]); a granted request arrives on a run stream and is
//! carried to the target ([`run`]) by the HTTP client ([`target_client`]), charged while the
//! answer streams back.

pub mod daemon;
pub mod decision_actor;
pub mod metrics;
pub mod options;
pub mod run;
pub mod target_client;

pub use daemon::AgentDaemon;
pub use options::AgentOptions;
