//! Bodies far over the limit, announced or just sent.

use bytes::Bytes;

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{BODY_LIMIT, CrowdFleet, DESCRIPTORS, run_alone};

/// Clients, and how many times the limit each sends if it is let.
const CLIENTS: usize = 150;
const EXCESS: usize = 16;

/// Sends bodies of `length` bytes in `piece`s; returns once none can send more.
async fn check_crowd(framing: &str, piece: Bytes, length: usize) {
    let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
    let texts = (0..CLIENTS).map(|client| {
        let mut text = vec![request_head("/once/x", client, framing)];
        text.extend((0..length / piece.len()).map(|_| piece.clone()));
        text
    });
    let crowd = ClientCrowd::connect(fleet.address, texts.collect(), WritePace::Whole);
    crowd.settle().await;
    fleet.check().await;
}

/// Bodies whose announced length was over the limit were read up to it, and kept while they stalled
/// there.
#[test]
fn announced_excess_stays_within_memory() {
    const PIECE: usize = 32 * 1024;
    let framing = format!("content-length: {}", EXCESS * BODY_LIMIT);
    run_alone(check_crowd(&framing, Bytes::from(vec![b'x'; PIECE]), BODY_LIMIT - PIECE));
}

/// Bodies without an announced length that go far over the limit.
#[test]
fn unannounced_excess_stays_within_memory() {
    const CHUNK: usize = 32 * 1024;
    let chunk = Bytes::from(format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK)));
    run_alone(check_crowd("transfer-encoding: chunked", chunk, EXCESS * BODY_LIMIT));
}
