//! Many large bodies of legal size at once, most of which stop just short of their end.

use bytes::Bytes;

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{BODY_LIMIT, CrowdFleet, DESCRIPTORS, run_alone};

/// Clients, of which each tenth sends its body to the end.
const CLIENTS: usize = 100;

/// Bytes that the others leave out.
const REST: usize = 16;

fn sent_length(client: usize) -> usize {
    if client % 10 == 9 { BODY_LIMIT } else { BODY_LIMIT - REST }
}

fn plain_texts() -> Vec<Vec<Bytes>> {
    let body = Bytes::from(vec![b'x'; BODY_LIMIT]);
    let texts = (0..CLIENTS).map(|client| {
        let head = request_head("/once/x", client, &format!("content-length: {BODY_LIMIT}"));
        vec![head, body.slice(..sent_length(client))]
    });
    texts.collect()
}

fn chunked_texts() -> Vec<Vec<Bytes>> {
    const CHUNK: usize = 64 * 1024;
    let chunk = Bytes::from(format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK)));
    let texts = (0..CLIENTS).map(|client| {
        let mut text = vec![request_head("/once/x", client, "transfer-encoding: chunked")];
        text.extend((0..BODY_LIMIT / CHUNK).map(|_| chunk.clone()));
        if client % 10 == 9 {
            text.push(Bytes::from_static(b"0\r\n\r\n"));
        }
        text
    });
    texts.collect()
}

async fn check_crowd(texts: Vec<Vec<Bytes>>, pace: WritePace) {
    let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
    let crowd = ClientCrowd::connect(fleet.address, texts, pace);
    crowd.settle().await;
    fleet.check().await;
}

/// The bodies of all requests together had no bound.
#[test]
fn stalled_large_bodies_stay_within_memory() {
    run_alone(check_crowd(plain_texts(), WritePace::Whole));
}

/// The same with bodies that come slowly.
#[test]
fn piecewise_large_bodies_stay_within_memory() {
    run_alone(check_crowd(plain_texts(), WritePace::Pieces(16 * 1024)));
}

/// The same with bodies that do not announce their length.
#[test]
fn stalled_large_chunks_stay_within_memory() {
    run_alone(check_crowd(chunked_texts(), WritePace::Whole));
}
