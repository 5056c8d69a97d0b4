//! Protocol violations: frames and requests that cannot be decoded.

use jackdaw_base::ErrorKind;
use jackdaw_link::{ControlMessage, FleetAuthority, LinkEndpoint, PeerLink, ProcessRole};

use quickcheck::{Arbitrary, Gen};

use crate::common;
use crate::raw_peer::{RawPeer, frame};

const SEED: u64 = 2026;
const FRAME_BYTES: usize = 40;
const RANDOM_FRAMES: usize = 60;

/// Connects a raw peer that sends the greeting of a router, and returns it with the agent's link.
async fn raw_router(fleet: &FleetAuthority, agent: &LinkEndpoint) -> (RawPeer, PeerLink) {
    let greeting = common::greeting("router-9", ProcessRole::Router);
    let address = agent.local_address();
    let mut peer = RawPeer::connect(fleet, &greeting, "router-9", address, "agent-1").await;
    peer.send_frame(&postcard::to_stdvec(&greeting).expect("encoded")).await;
    let link = agent.accept().await.expect("accepted");
    (peer, link)
}

#[tokio::test]
async fn malformed_control_frame_closes_only_its_link() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let good_router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let (good, _good_end) = common::link(&good_router, &agent, "agent-1").await;
    let trailing = [postcard::to_stdvec(&ControlMessage::Leaving).expect("encoded"), vec![0]];
    let oversized = u32::MAX.to_be_bytes();
    let cases: [Vec<u8>; 5] = [
        frame(&[]),
        frame(&[0xff; 9]),
        frame(&trailing.concat()),
        frame(b"\x00\x01"),
        oversized.to_vec(),
    ];
    for bytes in cases {
        let (mut peer, link) = raw_router(&fleet, &agent).await;
        peer.sender.write_all(&bytes).await.expect("sent");
        assert_eq!(link.closed().await.kind, ErrorKind::ProtocolViolation, "{bytes:?}");
        assert_eq!(link.receive().await, None);
        let closed = peer.connection.closed().await.to_string();
        assert!(closed.contains("message cannot be read"), "{closed}");
        good.probe().await.expect("other link is open");
    }
}

/// A random frame either decodes as a message, after which a probe is answered, or closes its link.
#[tokio::test]
async fn random_frames_close_only_their_link() {
    println!("seed {SEED}");
    let mut generator = Gen::from_size_and_seed(FRAME_BYTES, SEED);
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let good_router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let (good, _good_end) = common::link(&good_router, &agent, "agent-1").await;
    let probe = postcard::to_stdvec(&ControlMessage::Probe(1)).expect("encoded");
    let mut ended = 0;
    for _ in 0..RANDOM_FRAMES {
        let bytes = Vec::<u8>::arbitrary(&mut generator);
        let (mut peer, link) = raw_router(&fleet, &agent).await;
        peer.send_frame(&bytes).await;
        // The write fails if the link is closed already, which is checked below.
        let _ = peer.sender.write_all(&frame(&probe)).await;
        tokio::select! {
            closure = link.closed() => {
                assert_eq!(closure.kind, ErrorKind::ProtocolViolation, "{bytes:?}");
                ended += 1;
            }
            () = probe_reply(&mut peer) => {}
        }
    }
    assert!(ended > 0, "some frames must not decode as a message");
    good.probe().await.expect("other link is open");
}

/// Waits for the frame with the reply to the probe; never returns if the link is closed first.
async fn probe_reply(peer: &mut RawPeer) {
    let reply = postcard::to_stdvec(&ControlMessage::ProbeReply(1)).expect("encoded");
    let mut received = Vec::new();
    let mut buffer = [0; 64];
    while !received.ends_with(&frame(&reply)) {
        match peer.receiver.read(&mut buffer).await {
            Ok(Some(count)) => received.extend_from_slice(&buffer[..count]),
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}

#[tokio::test]
async fn malformed_run_request_closes_only_its_link() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let good_router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let (good, _good_end) = common::link(&good_router, &agent, "agent-1").await;
    let (peer, link) = raw_router(&fleet, &agent).await;
    let (mut sender, _receiver) = peer.connection.open_bi().await.expect("stream");
    sender.write_all(&frame(&[0xff; 3])).await.expect("sent");
    assert_eq!(link.closed().await.kind, ErrorKind::ProtocolViolation);
    assert!(link.accept_run().await.is_none());
    good.probe().await.expect("other link is open");
}

#[tokio::test]
async fn truncated_request_is_never_returned() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let (mut peer, link) = raw_router(&fleet, &agent).await;
    let request = common::run_request(100);
    let encoded = frame(&postcard::to_stdvec(&request).expect("encoded"));
    for length in [0, 2, 4, encoded.len() - 1] {
        let (mut sender, _receiver) = peer.connection.open_bi().await.expect("stream");
        sender.write_all(&encoded[..length]).await.expect("sent");
        sender.finish().expect("finished");
    }
    let (mut sender, _receiver) = peer.connection.open_bi().await.expect("stream");
    sender.write_all(&encoded).await.expect("sent");
    assert_eq!(link.accept_run().await.expect("run").request, request);
    peer.send_frame(&postcard::to_stdvec(&ControlMessage::Probe(1)).expect("encoded")).await;
    let mut reply = [0; 4];
    peer.receiver.read_exact(&mut reply).await.expect("link is open");
}
