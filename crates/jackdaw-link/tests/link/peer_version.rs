//! Links to peers with an older or newer message version.

use jackdaw_base::ErrorKind;
use jackdaw_link::{ControlMessage, FleetAuthority, MESSAGE_VERSION, ProcessRole};

use crate::common;
use crate::raw_peer::RawPeer;

#[tokio::test]
async fn newer_messages_are_not_sent_to_older_peer() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let router = common::bind(&fleet, "router-1", ProcessRole::Router);
    let mut greeting = common::greeting("agent-1", ProcessRole::Agent);
    greeting.version = MESSAGE_VERSION - 1;
    let agent = common::bind_with_greeting(&fleet, greeting, "agent-1");
    let (to_agent, to_router) = common::link(&router, &agent, "agent-1").await;
    assert_eq!(to_agent.version(), MESSAGE_VERSION - 1);
    assert_eq!(to_router.version(), MESSAGE_VERSION - 1);
    let newer = to_agent.send(ControlMessage::Room(1));
    assert_eq!(common::kind_of(newer), ErrorKind::ProtocolViolation);
    let mut reader = to_agent.open_run(&common::run_request(1)).await.expect("link is open");
    drop(to_router.accept_run().await.expect("run"));
    assert!(reader.next().await.is_err());
}

/// A newer build may append fields to its greeting.
#[tokio::test]
async fn newer_peer_is_accepted() {
    let fleet = FleetAuthority::generate(1).expect("authority");
    let agent = common::bind(&fleet, "agent-1", ProcessRole::Agent);
    let mut greeting = common::greeting("router-1", ProcessRole::Router);
    greeting.version = MESSAGE_VERSION + 7;
    let address = agent.local_address();
    let mut peer = RawPeer::connect(&fleet, &greeting, "router-1", address, "agent-1").await;
    let mut payload = postcard::to_stdvec(&greeting).expect("encoded");
    payload.extend_from_slice(b"fields of the future");
    peer.send_frame(&payload).await;
    let link = agent.accept().await.expect("accepted");
    assert_eq!(link.version(), MESSAGE_VERSION);
    assert_eq!(link.greeting().version, MESSAGE_VERSION + 7);
    peer.send_frame(&postcard::to_stdvec(&ControlMessage::Room(4)).expect("encoded")).await;
    assert_eq!(link.receive().await, Some(ControlMessage::Room(4)));
}
