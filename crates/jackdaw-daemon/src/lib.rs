//! What every daemon does around its role.
//!
//! Stages: the command line is read ([`args`]), settings give identity, platform and operators'
//! interface ([`parts`]), and [`run_daemon`] runs the role until a signal ends it.

pub mod admin_server;
pub mod args;
pub mod parts;
pub mod runner;

pub use admin_server::AdminServer;
pub use parts::{AdminOptions, open_identity, platform_settings};
pub use runner::{DaemonRole, run_daemon};
