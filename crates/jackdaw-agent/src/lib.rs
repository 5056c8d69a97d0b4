//! Agent: admits requests to the target on its VM and forwards them.
//!
//! All requests to the target pass through its agent. The agent accepts links from routers
//! ([`daemon`]) and passes their offers to the agent state machine, which an actor owns
//! ([`decision_actor`]). A granted request arrives on a run stream and is forwarded to the target
//! ([`run`]) by an HTTP client ([`target_client`]); its cost is charged while the response streams
//! back.

pub mod daemon;
pub mod decision_actor;
pub mod metrics;
pub mod options;
pub mod run;
pub mod target_client;

pub use daemon::AgentDaemon;
pub use options::AgentOptions;
