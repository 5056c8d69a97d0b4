//! An operator of one process of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde_json::Value;

use crate::fleet::ADMIN_KEY;
use crate::process::FleetProcess;

/// The longest time that an operator waits for an answer; a frozen process gives none.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of a process's operators' interface.
pub struct OperatorClient {
    /// The operators' interface.
    address: SocketAddr,
    /// The connections.
    client: Client,
}

impl OperatorClient {
    /// Creates a client for a process.
    pub fn open(process: &FleetProcess) -> OperatorClient {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        OperatorClient { address: process.address("admin"), client }
    }

    /// Returns whether the process says that it takes work.
    pub async fn is_ready(&self) -> bool {
        self.ready_status().await == Some(200)
    }

    /// Returns the HTTP status of the readiness route; `None` where no answer comes.
    pub async fn ready_status(&self) -> Option<u16> {
        let url = format!("http://{}/ready", self.address);
        let response = self.client.get(url).send().await.ok()?;
        Some(response.status().as_u16())
    }

    /// Returns what a router knows of the fleet.
    pub async fn status(&self) -> Option<Value> {
        self.read("/status").await
    }

    /// Returns the state of the process's decisions.
    pub async fn dump(&self) -> Option<Value> {
        self.read("/dump").await
    }

    /// Returns the process's metrics.
    pub async fn metrics(&self) -> Option<String> {
        let bytes = self.read_bytes("/metrics").await?;
        String::from_utf8(bytes).ok()
    }

    async fn read(&self, path: &str) -> Option<Value> {
        serde_json::from_slice(&self.read_bytes(path).await?).ok()
    }

    async fn read_bytes(&self, path: &str) -> Option<Vec<u8>> {
        let url = format!("http://{}{path}", self.address);
        let mut response = self.client.get(url).bearer_auth(ADMIN_KEY).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        Some(response.body().await.ok()?.to_vec())
    }
}
