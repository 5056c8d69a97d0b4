//! Links that go silent permanently while new links to the same peer work.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_base::{ErrorKind, VmId, WorkUnits};
use jackdaw_link::{ControlMessage, FleetAuthority, ProcessRole, RunReply};
use tokio::net::UdpSocket;

use crate::common::{self, LIVENESS_INTERVAL};

const DATAGRAM_BYTES: usize = 65_536;

/// UDP relay that can drop its existing flows, like a NAT that loses its mapping table.
struct FlowRelay {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
}

impl FlowRelay {
    async fn spawn(target: SocketAddr) -> FlowRelay {
        let socket = Arc::new(UdpSocket::bind(common::loopback()).await.expect("socket"));
        let address = socket.local_addr().expect("address");
        let generation = Arc::new(AtomicU64::new(0));
        tokio::spawn(relay_flows(socket, target, Arc::clone(&generation)));
        FlowRelay { address, generation }
    }

    /// Drops all further datagrams of the existing flows, in both directions.
    fn drop_flows(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn relay_flows(socket: Arc<UdpSocket>, target: SocketAddr, generation: Arc<AtomicU64>) {
    let mut flows = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, client)) = socket.recv_from(&mut buffer).await {
        let (flow_generation, upstream) = match flows.entry(client) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let upstream = Arc::new(UdpSocket::bind(common::loopback()).await.expect("bound"));
                let flow_generation = generation.load(Ordering::SeqCst);
                let flow = (flow_generation, Arc::clone(&generation));
                let back = relay_back(Arc::clone(&upstream), Arc::clone(&socket), client, flow);
                tokio::spawn(back);
                entry.insert((flow_generation, upstream))
            }
        };
        if *flow_generation == generation.load(Ordering::SeqCst) {
            upstream.send_to(&buffer[..length], target).await.expect("relayed");
        }
    }
}

async fn relay_back(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    (flow_generation, generation): (u64, Arc<AtomicU64>),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        if flow_generation == generation.load(Ordering::SeqCst) {
            socket.send_to(&buffer[..length], client).await.expect("relayed");
        }
    }
}

#[tokio::test]
async fn silent_link_is_closed_and_can_be_reopened() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let relay = FlowRelay::spawn(agent.local_address()).await;
    let expected = VmId::from_name("agent-1");
    let silent = router.dial(relay.address, expected).await.expect("dialled");
    let other_end = agent.accept().await.expect("accepted");
    silent.probe().await.expect("answered");
    let mut reader = silent.open_run(&common::run_request(1)).await.expect("opened");
    let run = other_end.accept_run().await.expect("run");

    relay.drop_flows();
    assert_eq!(silent.closed().await.kind, ErrorKind::LinkFailed);
    assert_eq!(other_end.closed().await.kind, ErrorKind::LinkFailed);
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::Interrupted);
    run.writer.cancelled().await;
    assert!(silent.probe().await.is_err());

    let fresh = router.dial(relay.address, expected).await.expect("dialled again");
    let other_end = agent.accept().await.expect("accepted");
    fresh.send(ControlMessage::Room(2)).expect("queued");
    assert_eq!(other_end.receive().await, Some(ControlMessage::Room(2)));
}

/// A link that waits for a response is probed long before its idle timeout.
#[tokio::test]
async fn waiting_link_is_probed() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind_with_slow_keep_alive(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind_with_slow_keep_alive(&fleet, "agent-1", ProcessRole::Agent);
    let relay = FlowRelay::spawn(agent.local_address()).await;
    let expected = VmId::from_name("agent-1");
    let silent = router.dial(relay.address, expected).await.expect("dialled");
    let other_end = agent.accept().await.expect("accepted");
    let mut reader = silent.open_run(&common::run_request(1)).await.expect("opened");
    let _run = other_end.accept_run().await.expect("run");

    // Checks must continue although everything that was sent has long been acknowledged.
    tokio::time::sleep(5 * LIVENESS_INTERVAL).await;
    relay.drop_flows();
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::Interrupted);
    assert!(silent.closed().await.reason.contains("closed"));
    let fresh = router.dial(relay.address, expected).await.expect("dialled again");
    fresh.probe().await.expect("answered");
}

/// A link whose runs have ended is idle again and sends no probes.
#[tokio::test]
async fn finished_run_leaves_link_idle() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind_with_slow_keep_alive(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind_with_slow_keep_alive(&fleet, "agent-1", ProcessRole::Agent);
    let (to_agent, to_router) = common::link(&router, &agent, "agent-1").await;
    for _ in 0..3 {
        let mut reader = to_agent.open_run(&common::run_request(1)).await.expect("opened");
        let mut run = to_router.accept_run().await.expect("run");
        let end = RunReply::End { length: 0, units: WorkUnits(1) };
        run.writer.send(&end).await.expect("sent");
        assert_eq!(reader.next().await.expect("reply"), Some(end));
    }
    to_router.drained().await;
    tokio::time::sleep(10 * LIVENESS_INTERVAL).await;
    let before = (to_agent.datagrams_sent(), to_router.datagrams_sent());
    tokio::time::sleep(10 * LIVENESS_INTERVAL).await;
    assert_eq!((to_agent.datagrams_sent(), to_router.datagrams_sent()), before);
}

/// Keep-alives alone keep an idle link open.
#[tokio::test]
async fn idle_link_stays_open() {
    let pair = common::linked_pair().await;
    tokio::time::sleep(2 * common::quick_settings().idle_timeout).await;
    pair.to_agent.probe().await.expect("still open");
}
