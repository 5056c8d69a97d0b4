//! Sockets from which links are opened.
//!
//! All links that the process opens share one socket, because each socket allocates receive buffers
//! of its own. A middlebox that has lost the state of a connection drops all datagrams between the
//! same pair of addresses and ports, so that only a new port gets through. Therefore further links
//! are opened from a new socket after a link has gone silent or an attempt to open one has timed
//! out.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard, PoisonError};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use quinn::Endpoint;

use crate::peer::CLOSE_NORMAL;

/// Sockets from which a process opens links.
pub(crate) struct DialPool {
    address: IpAddr,
    client: quinn::ClientConfig,
    sockets: Mutex<DialSockets>,
}

#[derive(Default)]
struct DialSockets {
    /// Socket of the next link; bound on first use.
    current: Option<Endpoint>,
    /// Sockets that are used only by links that were opened earlier.
    retired: Vec<Endpoint>,
}

impl DialPool {
    /// Creates a pool whose sockets are bound to the given IP address.
    pub(crate) fn new(address: IpAddr, client: quinn::ClientConfig) -> DialPool {
        DialPool { address, client, sockets: Mutex::default() }
    }

    /// Returns the socket of the next link and binds it if there is none.
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

    /// Retires the current socket, so that further links use a new one; open links stay open.
    pub(crate) fn rotate(&self) {
        let mut sockets = self.lock();
        sockets.retired.retain(|socket| socket.open_connections() > 0);
        if let Some(socket) = sockets.current.take() {
            sockets.retired.push(socket);
        }
    }

    /// Closes every link that was opened from the sockets of the pool.
    pub(crate) fn shutdown(&self) {
        for socket in self.all() {
            socket.close(CLOSE_NORMAL, b"process ends");
        }
    }

    /// Waits until the peers have been informed that their links are closed.
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
