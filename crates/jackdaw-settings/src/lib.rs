//! INI settings of every process, checked with file, section, key and reason.
//!
//! [`RouterSettings`], [`AgentSettings`] and [`EdgeSettings`] read a whole file and report every fault at once
//! as [`SettingsErrors`]. Unknown and repeated sections and keys are faults.

mod agent;
mod edge;
mod error;
mod reader;
mod router;
mod section;

pub use agent::{AgentSettings, TargetSettings};
pub use edge::EdgeSettings;
pub use error::{SettingsError, SettingsErrors};
pub use router::{CallerTls, RequestSettings, RouterSettings};
pub use section::{
    AdminSettings, KeyFiles, LogOutput, LogSettings, PlatformSettings, ProcessSettings,
};
