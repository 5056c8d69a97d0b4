//! Client of a process's admin interface.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde_json::Value;

use crate::fleet::ADMIN_KEY;
use crate::process::FleetProcess;

/// Timeout of a call, since a frozen process does not answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the admin interface of one process.
pub struct OperatorClient {
    /// Address of the admin interface.
    address: SocketAddr,
    /// HTTP client with the call timeout.
    client: Client,
}

impl OperatorClient {
    /// Creates a client for the admin address of a process.
    pub fn open(process: &FleetProcess) -> OperatorClient {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        OperatorClient { address: process.address("admin"), client }
    }

    /// Returns whether the process reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.ready_status().await == Some(200)
    }

    /// Returns the HTTP status of the readiness route, or `None` without an answer.
    pub async fn ready_status(&self) -> Option<u16> {
        let url = format!("http://{}/ready", self.address);
        let response = self.client.get(url).send().await.ok()?;
        Some(response.status().as_u16())
    }

    /// Returns the status document of a router, or `None` without a successful answer.
    pub async fn status(&self) -> Option<Value> {
        self.read("/status").await
    }

    /// Returns the dump of the process's decision state, or `None` without a successful answer.
    pub async fn dump(&self) -> Option<Value> {
        self.read("/dump").await
    }

    /// Returns the metrics of the process as text, or `None` without a successful answer.
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
