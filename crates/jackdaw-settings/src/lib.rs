//! INI settings of the router, the agent and the edge router.
//!
//! [`RouterSettings`], [`AgentSettings`] and [`EdgeSettings`] check a whole file and report all
//! errors at once as [`SettingsErrors`], each with file, section, key, found value and allowed
//! values. Unknown and repeated sections and keys are errors.

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
