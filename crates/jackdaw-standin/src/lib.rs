//! Small stand-ins for the platform, model engines and plain services.
//!
//! Each stand-in is an HTTP server on a loopback port with one worker thread. Its handle gives
//! the address, a tally of what it really did, and a `close`. Tests and the demo compare what
//! callers received with these tallies.

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
