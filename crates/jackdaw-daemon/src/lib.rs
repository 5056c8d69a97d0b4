//! Process setup and shutdown that all daemons share.
//!
//! A daemon parses its command line ([`args`]), builds its identity, platform client and admin
//! interface from its settings ([`startup`]) and runs its role until it receives a termination
//! signal ([`run_daemon`]).

pub mod admin_server;
pub mod args;
pub mod runner;
pub mod startup;

pub use admin_server::AdminServer;
pub use runner::{DaemonRole, run_daemon};
pub use startup::{AdminOptions, open_identity, platform_client_settings};
