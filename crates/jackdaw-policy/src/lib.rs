//! Decisions of the fleet as pure code without I/O, clocks or threads.
//!
//! Each role is a state machine: an event and the present time go in, commands come out.
//! Daemons, recorded traces and seeded random runs drive the same functions. Randomness comes
//! from one generator, seeded by the caller; no parameter is read from a global.
//!
//! Stages of a request: [`RouterCore`] queues it and offers it to a few agents; [`AgentCore`]
//! grants the offer of the customer with the least service; the router starts the run and
//! withdraws the other offers; the agent charges the work while it runs.

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
