//! Command-line entry point of the agent daemon.

use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use jackdaw_agent::{AgentDaemon, AgentOptions};
use jackdaw_base::ErrorKind;
use jackdaw_daemon::{DaemonRole, run_daemon};
use jackdaw_settings::{AgentSettings, LogSettings};
use serde_json::{Value, json};

/// Adapter that runs an agent as a daemon process.
struct AgentRole(AgentDaemon);

fn main() -> ExitCode {
    run_daemon::<AgentRole>()
}

impl DaemonRole for AgentRole {
    type Settings = AgentSettings;

    const PROGRAM: &'static str = "jackdaw-agent";

    fn read_settings(path: &Path) -> Result<AgentSettings, Report<ErrorKind>> {
        AgentSettings::open(path)
    }

    fn log_settings(settings: &AgentSettings) -> (&str, &LogSettings) {
        (&settings.process.name, &settings.log)
    }

    fn spawn(settings: &AgentSettings) -> Result<AgentRole, Report<ErrorKind>> {
        AgentDaemon::spawn(AgentOptions::from_settings(settings)?).map(AgentRole)
    }

    fn addresses(&self) -> Value {
        json!({ "link": self.0.link_address(), "admin": self.0.admin_address() })
    }

    async fn close(self) {
        self.0.close().await;
    }
}
