//! Control messages between two endpoints.

use crate::common;
use jackdaw_base::{ErrorKind, ProcessIncarnation};
use jackdaw_link::{ControlMessage, MESSAGE_VERSION, ProcessRole};

#[tokio::test]
async fn messages_arrive_in_order() {
    let pair = common::linked_pair().await;
    for number in 0..500 {
        pair.to_agent.send(ControlMessage::Room(number)).expect("queued");
        pair.to_router.send(ControlMessage::DocumentDigest(u64::from(number))).expect("queued");
    }
    for number in 0..500 {
        assert_eq!(pair.to_router.receive().await, Some(ControlMessage::Room(number)));
        let digest = ControlMessage::DocumentDigest(u64::from(number));
        assert_eq!(pair.to_agent.receive().await, Some(digest));
    }
    assert!(pair.to_router.control_bytes().1 >= 500 * 5);
}

#[tokio::test]
async fn peer_greeting_is_returned() {
    let pair = common::linked_pair().await;
    assert_eq!(pair.to_agent.greeting().role, ProcessRole::Agent);
    assert_eq!(pair.to_router.greeting().role, ProcessRole::Router);
    assert_ne!(pair.to_router.greeting().incarnation, ProcessIncarnation(0));
    assert_eq!(pair.to_agent.address(), pair.agent.local_address());
    assert_eq!(pair.to_agent.version(), MESSAGE_VERSION);
}

#[tokio::test]
async fn probe_is_answered() {
    let pair = common::linked_pair().await;
    pair.to_agent.probe().await.expect("answered");
    pair.to_router.probe().await.expect("answered");
}

#[tokio::test]
async fn close_is_seen_by_peer() {
    let pair = common::linked_pair().await;
    pair.router.close().await;
    assert_eq!(pair.to_router.receive().await, None);
    assert!(pair.to_router.accept_run().await.is_none());
    assert!(pair.to_router.closed().await.reason.contains("process ends"));
    assert!(pair.to_router.send(ControlMessage::Leaving).is_err());
}

/// The state of the two ends would diverge if a message were lost and the link stayed open.
#[tokio::test]
async fn full_queue_closes_link() {
    let pair = common::linked_pair().await;
    let limit = common::quick_settings().send_queue_limit;
    let mut queued = 0;
    let failure = loop {
        match pair.to_agent.send(ControlMessage::Leaving) {
            Ok(()) => queued += 1,
            Err(report) => break *report.current_context(),
        }
        assert!(queued <= limit, "the queue is bounded");
    };
    assert_eq!(failure, ErrorKind::LinkFailed);
    let closure = pair.to_router.closed().await;
    assert!(closure.reason.contains("send queue is full"), "{closure:?}");
}
