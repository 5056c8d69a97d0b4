//! Bounds on the encoded size of what a node holds at the target size.

use jackdaw_base::{CustomerRecord, CustomerShare, KeyDigest};

/// The most bytes of JSON that one customer may take in a platform object.
const CUSTOMER_BYTES: usize = 400;

#[test]
fn customer_record() {
    let record = CustomerRecord {
        name: "x".repeat(40),
        share: CustomerShare(u32::MAX),
        keys: vec![KeyDigest([255; 32])],
        queue_limit: u32::MAX,
    };
    assert!(serde_json::to_vec(&record).unwrap().len() <= CUSTOMER_BYTES);
}
