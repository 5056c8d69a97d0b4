//! Requests and their responses on run streams.

use crate::common;
use bytes::Bytes;
use jackdaw_base::{ErrorKind, WorkUnits};
use jackdaw_link::RunReply;

const MEBIBYTE: usize = 1024 * 1024;

fn chunk(bytes: &'static [u8]) -> RunReply {
    RunReply::Chunk { events: 1, bytes: Bytes::from_static(bytes) }
}

#[tokio::test]
async fn response_arrives_complete() {
    let pair = common::linked_pair().await;
    let request = common::run_request(16 * MEBIBYTE);
    let agent = async {
        let mut run = pair.to_router.accept_run().await.expect("run");
        assert_eq!(run.request, request);
        run.writer.send(&RunReply::Head { status: 200, headers: Vec::new() }).await.expect("sent");
        run.writer.send(&chunk(b"tok")).await.expect("sent");
        run.writer.send(&RunReply::End { length: 3, units: WorkUnits(9) }).await.expect("sent");
        pair.to_router.drained().await;
    };
    let router = async {
        let mut reader = pair.to_agent.open_run(&request).await.expect("opened");
        let mut replies = Vec::new();
        while let Some(reply) = reader.next().await.expect("reply") {
            replies.push(reply);
        }
        assert_eq!(replies.len(), 3);
        assert_eq!(replies[1], chunk(b"tok"));
    };
    tokio::join!(agent, router);
}

#[tokio::test]
async fn truncated_response_is_an_error() {
    let pair = common::linked_pair().await;
    let mut reader = pair.to_agent.open_run(&common::run_request(0)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    run.writer.send(&chunk(b"part")).await.expect("sent");
    assert_eq!(reader.next().await.expect("reply"), Some(chunk(b"part")));
    drop(run);
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::Interrupted);
}

#[tokio::test]
async fn wrong_length_is_an_error() {
    let pair = common::linked_pair().await;
    let mut reader = pair.to_agent.open_run(&common::run_request(0)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    run.writer.send(&chunk(b"part")).await.expect("sent");
    run.writer.send(&RunReply::End { length: 5, units: WorkUnits(1) }).await.expect("sent");
    assert!(reader.next().await.is_ok());
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::ProtocolViolation);
    assert_eq!(pair.to_agent.closed().await.kind, ErrorKind::ProtocolViolation);
}

#[tokio::test]
async fn cancellation_reaches_agent() {
    let pair = common::linked_pair().await;
    let reader = pair.to_agent.open_run(&common::run_request(0)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    let cancelled = run.writer.cancelled();
    drop(reader);
    cancelled.await;
    assert_eq!(common::kind_of(run.writer.send(&chunk(b"late")).await), ErrorKind::LinkFailed);
    let mut next = pair.to_agent.open_run(&common::run_request(1)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    let refusal = RunReply::Refused { kind: ErrorKind::Quarantined, retry_after_millis: 5 };
    run.writer.send(&refusal).await.expect("sent");
    assert_eq!(next.next().await.expect("reply"), Some(refusal));
    assert_eq!(next.next().await.expect("end"), None);
}

#[tokio::test]
async fn large_request_does_not_delay_others() {
    let pair = common::linked_pair().await;
    let large = common::run_request(16 * MEBIBYTE);
    let small = common::run_request(2);
    let (first, second) =
        tokio::join!(pair.to_agent.open_run(&large), pair.to_agent.open_run(&small));
    assert!(first.is_ok() && second.is_ok());
    let run = pair.to_router.accept_run().await.expect("run");
    assert_eq!(run.request.body.len(), 2);
    let run = pair.to_router.accept_run().await.expect("run");
    assert_eq!(run.request.body.len(), 16 * MEBIBYTE);
}

#[tokio::test]
async fn oversized_request_is_rejected_by_sender() {
    let pair = common::linked_pair().await;
    let result = pair.to_agent.open_run(&common::run_request(18 * MEBIBYTE)).await;
    assert_eq!(common::kind_of(result), ErrorKind::TooLarge);
    pair.to_agent.probe().await.expect("link is open");
}

/// Closing the endpoint after waiting for `drained` must not truncate a response.
#[tokio::test]
async fn drained_response_is_complete_after_close() {
    let pair = common::linked_pair().await;
    let body = vec![b'y'; 4 * MEBIBYTE];
    let mut reader = pair.to_agent.open_run(&common::run_request(0)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    let agent = async {
        let length = body.len() as u64;
        let part = RunReply::Chunk { events: 1, bytes: Bytes::from(body) };
        run.writer.send(&part).await.expect("sent");
        run.writer.send(&RunReply::End { length, units: WorkUnits(1) }).await.expect("sent");
        pair.to_router.drained().await;
        pair.agent.close().await;
    };
    let router = async {
        let mut bytes = 0;
        while let Some(reply) = reader.next().await.expect("complete response") {
            if let RunReply::Chunk { bytes: part, .. } = reply {
                bytes += part.len();
            }
        }
        assert_eq!(bytes, 4 * MEBIBYTE);
    };
    tokio::join!(agent, router);
}

/// A reply that was sent in part must fail its run only, not close the link as a malformed frame.
#[tokio::test]
async fn dropped_send_fails_only_its_run() {
    let pair = common::linked_pair().await;
    let mut reader = pair.to_agent.open_run(&common::run_request(0)).await.expect("opened");
    let mut run = pair.to_router.accept_run().await.expect("run");
    let large = RunReply::Chunk { events: 1, bytes: vec![b'z'; 16 * MEBIBYTE].into() };
    tokio::select! {
        biased;
        _ = run.writer.send(&large) => panic!("16 MB exceed the flow control window"),
        () = tokio::time::sleep(std::time::Duration::from_millis(50)) => {}
    }
    assert_eq!(common::kind_of(run.writer.send(&chunk(b"next")).await), ErrorKind::LinkFailed);
    drop(run);
    assert_eq!(common::kind_of(reader.next().await), ErrorKind::Interrupted);
    pair.to_agent.probe().await.expect("link is open");
}
