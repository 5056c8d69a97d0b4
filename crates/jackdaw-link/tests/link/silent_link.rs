//! Links that go silent for good while new ones work.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jackdaw_base::{ErrorKind, VmId, WorkUnits};
use jackdaw_link::{ControlMessage, FleetAuthority, ProcessRole, RunReply};
use tokio::net::UdpSocket;

use crate::common::{self, WATCH_INTERVAL};

const DATAGRAM_BYTES: usize = 65_536;

/// Passes datagrams on for flows that it has not lost track of.
struct FlowRelay {
    address: SocketAddr,
    era: Arc<AtomicU64>,
}

impl FlowRelay {
    async fn spawn(target: SocketAddr) -> FlowRelay {
        let socket = Arc::new(UdpSocket::bind(common::loopback()).await.expect("socket"));
        let address = socket.local_addr().expect("address");
        let era = Arc::new(AtomicU64::new(0));
        tokio::spawn(relay_flows(socket, target, Arc::clone(&era)));
        FlowRelay { address, era }
    }

    /// Forgets every flow: their datagrams are dropped from now on, in both directions.
    fn forget_flows(&self) {
        self.era.fetch_add(1, Ordering::SeqCst);
    }
}

async fn relay_flows(socket: Arc<UdpSocket>, target: SocketAddr, era: Arc<AtomicU64>) {
    let mut flows = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, client)) = socket.recv_from(&mut buffer).await {
        let (born, upstream) = match flows.entry(client) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let upstream = Arc::new(UdpSocket::bind(common::loopback()).await.expect("bound"));
                let born = era.load(Ordering::SeqCst);
                let flow = (born, Arc::clone(&era));
                let back = relay_back(Arc::clone(&upstream), Arc::clone(&socket), client, flow);
                tokio::spawn(back);
                entry.insert((born, upstream))
            }
        };
        if *born == era.load(Ordering::SeqCst) {
            upstream.send_to(&buffer[..length], target).await.expect("relayed");
        }
    }
}

async fn relay_back(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    (born, era): (u64, Arc<AtomicU64>),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        if born == era.load(Ordering::SeqCst) {
            socket.send_to(&buffer[..length], client).await.expect("relayed");
        }
    }
}

#[tokio::test]
async fn silence_is_found_and_cured() {
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

    relay.forget_flows();
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

/// A link that waits for an answer is probed long before it would count as idle.
#[tokio::test]
async fn waiting_link_is_probed() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind_watched(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind_watched(&fleet, "agent-1", ProcessRole::Agent);
    let relay = FlowRelay::spawn(agent.local_address()).await;
    let expected = VmId::from_name("agent-1");
    let silent = router.dial(relay.address, expected).await.expect("dialled");
    let other_end = agent.accept().await.expect("accepted");
    let mut reader = silent.open_run(&common::run_request(1)).await.expect("opened");
    let _run = other_end.accept_run().await.expect("run");

    // The watch must still be on when everything that was sent has long been acknowledged.
    tokio::time::sleep(5 * WATCH_INTERVAL).await;
    relay.forget_flows();
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::Interrupted);
    assert!(silent.closed().await.reason.contains("closed"));
    let fresh = router.dial(relay.address, expected).await.expect("dialled again");
    fresh.probe().await.expect("answered");
}

/// Once its runs have ended, a link is idle again and sends nothing for the watch.
#[tokio::test]
async fn finished_run_leaves_link_idle() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind_watched(&fleet, "router-1", ProcessRole::Router);
    let agent = common::bind_watched(&fleet, "agent-1", ProcessRole::Agent);
    let (to_agent, to_router) = common::link(&router, &agent, "agent-1").await;
    for _ in 0..3 {
        let mut reader = to_agent.open_run(&common::run_request(1)).await.expect("opened");
        let mut run = to_router.accept_run().await.expect("run");
        let end = RunReply::End { length: 0, units: WorkUnits(1) };
        run.writer.send(&end).await.expect("sent");
        assert_eq!(reader.next().await.expect("reply"), Some(end));
    }
    to_router.drained().await;
    tokio::time::sleep(10 * WATCH_INTERVAL).await;
    let before = (to_agent.datagrams_sent(), to_router.datagrams_sent());
    tokio::time::sleep(10 * WATCH_INTERVAL).await;
    assert_eq!((to_agent.datagrams_sent(), to_router.datagrams_sent()), before);
}

/// An idle link stays open by keep-alives alone.
#[tokio::test]
async fn idle_link_stays_open() {
    let pair = common::linked_pair().await;
    tokio::time::sleep(2 * common::quick_settings().idle_timeout).await;
    pair.to_agent.probe().await.expect("still open");
}
