//! What every daemon does around its role.
//!
//! Stages: the command line is read ([`args`]), settings give identity, platform and operators'
//! interface ([`startup`]), and [`run_daemon`] runs the role until a signal ends it.

pub mod admin_server;
pub mod args;
pub mod runner;
pub mod startup;

pub use admin_server::AdminServer;
pub use runner::{DaemonRole, run_daemon};
pub use startup::{AdminOptions, open_identity, platform_client_settings};
