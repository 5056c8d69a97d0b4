//! Router: accepts requests of callers, obtains grants from agents and streams responses back.
//!
//! The HTTP server receives a request, limits the size of its body and parses it
//! ([`caller_server`], [`request_parser`]). The actor authenticates it and passes it to the router
//! state machine, which offers it to agents ([`decision_actor`]). Once an agent grants an offer, a
//! task sends the request to this agent and streams the response to the caller ([`run`]). Failures
//! are returned as problem documents. Links to agents and other routers are opened according to
//! the platform's list of VMs ([`membership`]).

pub mod admin_server;
pub mod caller_server;
pub mod catalog_watch;
pub mod daemon;
pub mod decision_actor;
pub mod membership;
pub mod metrics;
pub mod options;
pub mod request_parser;
pub mod run;

pub use daemon::RouterDaemon;
pub use options::RouterOptions;
