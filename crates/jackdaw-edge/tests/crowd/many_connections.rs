//! More connections with unfinished requests than the router has descriptors.

use bytes::Bytes;

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{CrowdFleet, run_alone};

/// Clients, and the descriptors of the router.
const CLIENTS: usize = 300;
const DESCRIPTORS: usize = 128;

/// Connections over the limit were closed only after their request, which never came.
#[test]
fn unfinished_requests_stay_within_descriptors() {
    run_alone(async {
        let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
        let texts = (0..CLIENTS).map(|client| {
            let head = request_head("/once/x", client, "content-length: 100");
            vec![head, Bytes::from_static(b"not all of it")]
        });
        let crowd = ClientCrowd::connect(fleet.address, texts.collect(), WritePace::Whole);
        crowd.settle().await;
        fleet.check().await;
    });
}
