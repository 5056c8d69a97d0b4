//! Lightweight stand-ins for the platform, model engines and plain services.
//!
//! Each stand-in is an HTTP server on a loopback port with one worker thread. Its handle returns
//! the bound address and counters of the work performed, and closes the server. Tests and the
//! demo compare the responses that callers received with these counters.

pub mod answer;
pub mod args;
pub mod engine;
pub mod platform;
mod port;
pub mod service;

pub use answer::{CRASH_MARKER, expected_answer, prefix_hash, prompt_id};
pub use engine::{EngineSettings, EngineStandin, EngineTally, EngineUsage};
pub use platform::{AnswerFault, PlatformCounts, PlatformFaults, PlatformStandin, StandinSettings};
pub use service::{ServiceSettings, ServiceStandin, ServiceTally, expected_reply};
