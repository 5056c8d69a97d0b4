//! Reserves a loopback port that no socket listens on.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use tokio::net::TcpSocket;

/// A port held by a bound socket that never listens.
///
/// While the server is down, connections are refused and the kernel assigns the port to no other
/// process.
pub(crate) struct ReservedPort {
    /// The bound socket, kept open to hold the port.
    _socket: TcpSocket,
    /// The bound address.
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves `port` on the loopback interface, or any free port if it is zero.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the port cannot be bound.
    pub(crate) fn bind(port: u16) -> Result<ReservedPort, Report<ErrorKind>> {
        let requested = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let socket = TcpSocket::new_v4().change_context(ErrorKind::LocalResource)?;
        socket.set_reuseaddr(true).change_context(ErrorKind::LocalResource)?;
        socket.bind(requested).change_context(ErrorKind::LocalResource)?;
        let address = socket.local_addr().change_context(ErrorKind::LocalResource)?;
        Ok(ReservedPort { _socket: socket, address })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts listening on the port; it stays reserved after the listener is dropped.
    ///
    /// Fails with [`ErrorKind::LocalResource`] if the listener cannot be created.
    pub(crate) fn listen(&self) -> Result<TcpListener, Report<ErrorKind>> {
        TcpListener::bind(self.address).change_context(ErrorKind::LocalResource)
    }
}
