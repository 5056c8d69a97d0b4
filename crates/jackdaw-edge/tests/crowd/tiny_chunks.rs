//! Chunked bodies in very small chunks, which cost a multiple of their length while they are kept apart.

use bytes::Bytes;

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{CrowdFleet, DESCRIPTORS, run_alone};

/// Clients, and the chunks of one byte that each sends.
const CLIENTS: usize = 24;
const CHUNKS: usize = 100_000;

/// Each byte of a body was kept with the buffer that it arrived in.
#[test]
fn tiny_chunks_stay_within_memory() {
    run_alone(async {
        let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
        let chunks = Bytes::from("1\r\nx\r\n".repeat(CHUNKS));
        let texts = (0..CLIENTS).map(|client| {
            vec![request_head("/once/x", client, "transfer-encoding: chunked"), chunks.clone()]
        });
        let crowd = ClientCrowd::connect(fleet.address, texts.collect(), WritePace::Whole);
        crowd.settle().await;
        fleet.check().await;
    });
}
