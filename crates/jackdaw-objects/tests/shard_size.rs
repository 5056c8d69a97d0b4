//! The intended number of customers fits in the objects of the platform.

use jackdaw_base::{CustomerRecord, CustomerShare, KeyDigest, TicketNumber};
use jackdaw_objects::layout::{CUSTOMER_SHARDS, CatalogShard, encode, group_by_shard};
use jackdaw_objects::store::OBJECT_LIMIT_BYTES;
use jackdaw_objects::ticket::NAME_LIMIT_BYTES;
use jackdaw_objects::{ChangeTicket, ConfigCatalog};

/// Number of customers that the fleet is designed for.
const CUSTOMERS: usize = 40_000;

fn customer(index: usize) -> CustomerRecord {
    CustomerRecord {
        name: format!("{index:0>NAME_LIMIT_BYTES$}"),
        share: CustomerShare(u32::MAX),
        keys: vec![KeyDigest([255; 32]); 2],
        queue_limit: u32::MAX,
    }
}

#[test]
fn largest_shard() {
    let mut ticket = ChangeTicket::new(TicketNumber(u64::MAX));
    for index in 0..CUSTOMERS {
        ticket.set_customer(customer(index));
    }
    let groups = group_by_shard(ticket.documents());
    assert_eq!(groups.len() as u64, CUSTOMER_SHARDS);
    let mut largest = 0;
    for (key, documents) in groups {
        let mut shard = CatalogShard::default();
        assert!(shard.merge(&documents));
        assert!(!shard.merge(&documents));
        largest = largest.max(encode(&key, &shard).unwrap().len());
    }
    println!("largest shard: {largest} bytes");
    assert!(largest < OBJECT_LIMIT_BYTES / 2, "{largest} bytes");
}

#[test]
fn oversized_ticket() {
    let mut ticket = ChangeTicket::new(TicketNumber(1));
    for index in 0..2000 {
        ticket.set_customer(customer(index));
    }
    let problems = ticket.problems();
    assert_eq!(problems.len(), 1);
    assert!(problems[0].reason.contains("split it"), "{}", problems[0]);
    let mut catalog = ConfigCatalog::new();
    assert_eq!(catalog.merge(ticket.documents()).len(), 2000);
}
