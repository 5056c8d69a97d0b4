//! Small stand-ins for the platform, model engines and plain services.

pub mod platform;

pub use platform::{AnswerFault, PlatformCounts, PlatformFaults, PlatformStandin, StandinSettings};
