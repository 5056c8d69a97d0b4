//! Command-line entry point of the router daemon.

use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_daemon::{DaemonRole, run_daemon};
use jackdaw_router::{RouterDaemon, RouterOptions};
use jackdaw_settings::{LogSettings, RouterSettings};
use serde_json::{Value, json};

/// Adapter that runs a router as a daemon process.
struct RouterRole(RouterDaemon);

fn main() -> ExitCode {
    run_daemon::<RouterRole>()
}

impl DaemonRole for RouterRole {
    type Settings = RouterSettings;

    const PROGRAM: &'static str = "jackdaw-router";

    fn read_settings(path: &Path) -> Result<RouterSettings, Report<ErrorKind>> {
        RouterSettings::open(path)
    }

    fn log_settings(settings: &RouterSettings) -> (&str, &LogSettings) {
        (&settings.process.name, &settings.log)
    }

    fn spawn(settings: &RouterSettings) -> Result<RouterRole, Report<ErrorKind>> {
        RouterDaemon::spawn(RouterOptions::from_settings(settings)?).map(RouterRole)
    }

    fn addresses(&self) -> Value {
        json!({
            "callers": self.0.caller_address(),
            "link": self.0.link_address(),
            "admin": self.0.admin_address(),
        })
    }

    async fn close(self) {
        self.0.close().await;
    }
}
