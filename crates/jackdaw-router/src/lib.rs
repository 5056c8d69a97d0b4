//! Router: takes callers' requests, has them granted by agents, streams answers back.
//!
//! Stages of a request: the HTTP server reads and bounds it ([`caller_server`],
//! [`call_reader`]); the actor authenticates it and lets the decision code place it
//! ([`decision_actor`]); once an agent has granted it, a task carries it there and streams the
//! answer ([`run`]); failures become problem documents. Links to agents and other
//! routers follow the platform's list of VMs ([`membership`]).

pub mod admin_server;
pub mod call_reader;
pub mod caller_server;
pub mod catalog_watch;
pub mod daemon;
pub mod decision_actor;
pub mod membership;
pub mod metrics;
pub mod options;
pub mod run;

pub use daemon::RouterDaemon;
pub use options::RouterOptions;
