//! Stateful UDP relay, like a NAT or firewall, that can lose its flow table.

use std::cell::Cell;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

/// Buffer size for one datagram in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Relay that forwards the datagrams of the flows that it has not forgotten.
pub struct FlowRelay {
    /// Address to which clients send.
    address: SocketAddr,
    /// Number of calls of `forget_flows`; datagrams of flows from an earlier generation are dropped.
    generation: Rc<Cell<u64>>,
}

impl FlowRelay {
    /// Starts a relay in front of an address.
    ///
    /// # Panics
    ///
    /// Panics if no socket can be bound.
    pub async fn spawn(target: SocketAddr) -> FlowRelay {
        let socket = Rc::new(bind_socket().await);
        let address = socket.local_addr().expect("socket has an address");
        let generation = Rc::new(Cell::new(0));
        actix_rt::spawn(relay_flows(socket, target, Rc::clone(&generation)));
        FlowRelay { address, generation }
    }

    /// Returns the address to which clients must send.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forgets all open flows, so that their datagrams are dropped in both directions.
    pub fn forget_flows(&self) {
        self.generation.set(self.generation.get() + 1);
    }
}

async fn bind_socket() -> UdpSocket {
    UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("socket can be bound")
}

async fn relay_flows(socket: Rc<UdpSocket>, target: SocketAddr, generation: Rc<Cell<u64>>) {
    let mut flows = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, client)) = socket.recv_from(&mut buffer).await {
        let (flow_generation, upstream) = match flows.entry(client) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let upstream = Rc::new(bind_socket().await);
                let flow_generation = generation.get();
                let flow = (flow_generation, Rc::clone(&generation));
                let replies = relay_replies(Rc::clone(&upstream), Rc::clone(&socket), client, flow);
                actix_rt::spawn(replies);
                entry.insert((flow_generation, upstream))
            }
        };
        if *flow_generation == generation.get() {
            // A send error loses the datagram, as on any network.
            let _ = upstream.send_to(&buffer[..length], target).await;
        }
    }
}

async fn relay_replies(
    upstream: Rc<UdpSocket>,
    socket: Rc<UdpSocket>,
    client: SocketAddr,
    (flow_generation, generation): (u64, Rc<Cell<u64>>),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        if flow_generation == generation.get() {
            // A send error loses the datagram, as on any network.
            let _ = socket.send_to(&buffer[..length], client).await;
        }
    }
}
