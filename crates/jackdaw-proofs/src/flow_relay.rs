//! A device between two processes that can lose track of open connections.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

/// The room for one datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Relay that passes datagrams on for the flows that it has not lost track of.
pub struct FlowRelay {
    /// The address to which clients send.
    address: SocketAddr,
    /// The count of losses so far; a flow of an earlier count is silent.
    era: Rc<Cell<u64>>,
}

impl FlowRelay {
    /// Starts a relay before a target.
    ///
    /// # Panics
    ///
    /// Panics where no socket can be bound.
    pub async fn spawn(target: SocketAddr) -> FlowRelay {
        let socket = Rc::new(bind_socket().await);
        let address = socket.local_addr().expect("socket has an address");
        let era = Rc::new(Cell::new(0));
        actix_rt::spawn(relay_flows(socket, target, Rc::clone(&era)));
        FlowRelay { address, era }
    }

    /// Returns the address to which clients send.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forgets every open flow: its datagrams are dropped from now on, in both directions.
    pub fn forget_flows(&self) {
        self.era.set(self.era.get() + 1);
    }
}

async fn bind_socket() -> UdpSocket {
    UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("socket can be bound")
}

async fn relay_flows(socket: Rc<UdpSocket>, target: SocketAddr, era: Rc<Cell<u64>>) {
    let mut flows = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, client)) = socket.recv_from(&mut buffer).await {
        let (born, upstream) = match flows.entry(client) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let upstream = Rc::new(bind_socket().await);
                let born = era.get();
                let flow = (born, Rc::clone(&era));
                let back = relay_back(Rc::clone(&upstream), Rc::clone(&socket), client, flow);
                actix_rt::spawn(back);
                entry.insert((born, upstream))
            }
        };
        if *born == era.get() {
            // A datagram that cannot be passed on is lost, as on any network.
            let _ = upstream.send_to(&buffer[..length], target).await;
        }
    }
}

async fn relay_back(
    upstream: Rc<UdpSocket>,
    socket: Rc<UdpSocket>,
    client: SocketAddr,
    (born, era): (u64, Rc<Cell<u64>>),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        if born == era.get() {
            // A datagram that cannot be passed on is lost, as on any network.
            let _ = socket.send_to(&buffer[..length], client).await;
        }
    }
}
