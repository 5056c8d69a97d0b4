//! Scheduling and routing decisions as pure state machines without I/O, clocks or threads.
//!
//! Each role is a state machine that maps an event and the current time to a list of commands.
//! Daemons, trace replay and seeded random tests drive the same functions. All randomness comes
//! from one generator that the caller seeds, and no parameter is read from global state.
//!
//! A request passes through these stages: [`RouterCore`] queues it and offers it to several
//! agents; [`AgentCore`] grants the offer of the customer that has received the least service;
//! the router starts the run and withdraws the other offers; the agent charges the customer for
//! the work while the run is in progress.

pub mod agent;
pub mod crash_suspects;
pub mod direct;
pub mod estimate;
pub mod event;
pub mod fairness;
pub mod gossip;
pub mod rendezvous;
pub mod replay;
pub mod router;
pub mod subset;

pub use agent::{AgentCore, AgentCustomer, AgentPolicy, AgentSnapshot};
pub use crash_suspects::{CrashSuspects, SuspectStatus};
pub use event::{
    AgentCommand, AgentEvent, ArrivedRequest, RouterCommand, RouterEvent, RunFault, SharePolicy,
};
pub use fairness::{GapMonitor, GapTerms, gap_bound};
pub use gossip::{DIGEST_FANOUT, GOSSIP_FANOUT, pick_peers, relay_routers};
pub use replay::{ReplayMismatch, ReplayReport, TraceLine, replay};
pub use router::{RouterCore, RouterPolicy, RouterSnapshot};
pub use subset::{SubsetNode, SubsetPolicy, choose_subset, linked_agents};
