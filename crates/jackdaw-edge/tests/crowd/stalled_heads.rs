//! Heads of requests that stop just short of their end.

use bytes::Bytes;

use crate::client_crowd::{ClientCrowd, WritePace};
use crate::support::{CrowdFleet, run_alone};

/// Clients, the descriptors of the router, and the length of an unfinished head in bytes.
const CLIENTS: usize = 3000;
const DESCRIPTORS: usize = 8192;
const HEAD_LENGTH: usize = 16_000;

/// The number of connections was bounded by descriptors only, not by the memory that they take.
#[test]
fn stalled_heads_stay_within_memory() {
    run_alone(async {
        let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
        let filler = "x".repeat(HEAD_LENGTH);
        let head = Bytes::from(format!("POST /once/x HTTP/1.1\r\nx-filler: {filler}\r\n"));
        let texts = (0..CLIENTS).map(|_| vec![head.clone()]).collect();
        let crowd = ClientCrowd::connect(fleet.address, texts, WritePace::Whole);
        crowd.settle().await;
        fleet.check().await;
    });
}
