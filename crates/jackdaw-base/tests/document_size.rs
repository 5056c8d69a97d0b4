//! Bound on the encoded size of the records that a node holds for the planned number of customers.

use jackdaw_base::{CustomerRecord, CustomerShare, KeyDigest};

/// Maximum size of the JSON of one customer in a platform object, in bytes.
const CUSTOMER_BYTES: usize = 400;

#[test]
fn customer_record_is_within_size_bound() {
    let record = CustomerRecord {
        name: "x".repeat(40),
        share: CustomerShare(u32::MAX),
        keys: vec![KeyDigest([255; 32])],
        queue_limit: u32::MAX,
    };
    assert!(serde_json::to_vec(&record).unwrap().len() <= CUSTOMER_BYTES);
}
