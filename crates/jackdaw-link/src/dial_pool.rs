//! The socket from which links are opened.
//!
//! All dialled links share one socket, since each socket takes receive buffers of its own.
//! Where something between the two ends has lost track of a link, it drops everything between
//! the same two addresses and ports, so that only a new port gets through: after a silent link
//! or an unanswered dial, the next links are opened from a fresh socket.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use quinn::Endpoint;

use crate::peer::ORDINARY;

/// The sockets from which a process has opened links.
pub(crate) struct DialPool {
    address: IpAddr,
    client: quinn::ClientConfig,
    sockets: Mutex<DialSockets>,
}

#[derive(Default)]
struct DialSockets {
    /// The socket for the next link.
    current: Option<Endpoint>,
    /// The sockets that only links of the past still use.
    retired: Vec<Endpoint>,
}

impl DialPool {
    /// Creates a pool that binds sockets at an IP number.
    pub(crate) fn new(address: IpAddr, client: quinn::ClientConfig) -> DialPool {
        DialPool { address, client, sockets: Mutex::default() }
    }

    /// Returns the socket for the next link.
    pub(crate) fn socket(&self) -> Result<Endpoint, Report<ErrorKind>> {
        let mut sockets = self.lock();
        if let Some(socket) = &sockets.current {
            return Ok(socket.clone());
        }
        let address = SocketAddr::new(self.address, 0);
        let mut socket = Endpoint::client(address).change_context(ErrorKind::LocalResource)?;
        socket.set_default_client_config(self.client.clone());
        sockets.current = Some(socket.clone());
        Ok(socket)
    }

    /// Has further links opened from a fresh socket; links that are open stay.
    pub(crate) fn renew(&self) {
        let mut sockets = self.lock();
        sockets.retired.retain(|socket| socket.open_connections() > 0);
        if let Some(socket) = sockets.current.take() {
            sockets.retired.push(socket);
        }
    }

    /// Ends every link that was opened from here.
    pub(crate) fn shutdown(&self) {
        for socket in self.all() {
            socket.close(ORDINARY, b"process ends");
        }
    }

    /// Waits until the peers know that their links have ended.
    pub(crate) async fn wait_idle(&self) {
        for socket in self.all() {
            socket.wait_idle().await;
        }
    }

    fn all(&self) -> Vec<Endpoint> {
        let sockets = self.lock();
        let mut all = sockets.retired.clone();
        all.extend(sockets.current.clone());
        all
    }

    fn lock(&self) -> MutexGuard<'_, DialSockets> {
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
