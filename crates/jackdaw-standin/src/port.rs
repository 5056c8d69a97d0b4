//! A loopback port that stays reserved while nothing listens on it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use error_stack::{Report, ResultExt};
use jackdaw_base::ErrorKind;
use tokio::net::TcpSocket;

/// A port held by a socket that is bound and never listens, so that connections are refused
/// while the server is down and no other process is given the port meanwhile.
pub(crate) struct ReservedPort {
    /// The socket that holds the port.
    _socket: TcpSocket,
    /// The address.
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves `port` on the loopback interface, or a free one if it is zero.
    pub(crate) fn bind(port: u16) -> Result<ReservedPort, Report<ErrorKind>> {
        let wanted = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        let socket = TcpSocket::new_v4().change_context(ErrorKind::LocalResource)?;
        socket.set_reuseaddr(true).change_context(ErrorKind::LocalResource)?;
        socket.bind(wanted).change_context(ErrorKind::LocalResource)?;
        let address = socket.local_addr().change_context(ErrorKind::LocalResource)?;
        Ok(ReservedPort { _socket: socket, address })
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen; dropping the listener leaves the port reserved.
    pub(crate) fn listen(&self) -> Result<TcpListener, Report<ErrorKind>> {
        TcpListener::bind(self.address).change_context(ErrorKind::LocalResource)
    }
}
