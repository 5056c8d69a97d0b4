//! The state of a catalog depends on the set of merged documents and not on their order.

use std::collections::HashMap;

use jackdaw_base::{
    CustomerId, CustomerRecord, CustomerShare, DocumentBody, DocumentKey, DomainId, KeyDigest,
    VersionedDocument, VmId, VmRecord, VmState,
};
use jackdaw_objects::{ConfigCatalog, VmListing};
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Number of generated cases per property.
const RUNS: u64 = 300;
/// Maximum length of a generated list.
const GENERATED_SIZE: usize = 100;

fn document(key: u8, number: u8) -> VersionedDocument {
    let record = CustomerRecord {
        name: format!("c{key}"),
        share: CustomerShare(u32::from(number) + 1),
        keys: vec![KeyDigest([number % 5; 32])],
        queue_limit: 1,
    };
    let body = (!number.is_multiple_of(4)).then_some(DocumentBody::Customer(record));
    let key = DocumentKey::Customer(CustomerId(u64::from(key % 8)));
    VersionedDocument { number: u64::from(number), key, body }
}

fn vm(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        name: name.to_owned(),
        domain: DomainId(1),
        link_address: ([127, 0, 0, 1], 1).into(),
        service: None,
        state,
    }
}

/// Merges shuffled and duplicated documents in batches, and compares the result with the highest
/// number of each key.
fn order_is_irrelevant(pairs: Vec<(u8, u8)>, seed: u64) -> TestResult {
    let documents: Vec<_> =
        pairs.into_iter().map(|(key, number)| document(key % 8, number)).collect();
    let mut newest: HashMap<DocumentKey, &VersionedDocument> = HashMap::new();
    for document in &documents {
        let known = newest.entry(document.key).or_insert(document);
        if known.number < document.number {
            *known = document;
        }
    }
    let mut in_order = ConfigCatalog::new();
    in_order.merge(documents.clone());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut shuffled = [documents.clone(), documents.clone()].concat();
    shuffled.shuffle(&mut rng);
    let mut reordered = ConfigCatalog::new();
    let mut numbers: HashMap<DocumentKey, u64> = HashMap::new();
    for batch in shuffled.chunks(3) {
        for changed in reordered.merge(batch.to_vec()) {
            let before = numbers.insert(changed.key, changed.number);
            assert!(before < Some(changed.number), "seed {seed}: a document reverted");
        }
    }
    for (key, document) in &newest {
        assert_eq!(reordered.document(*key), Some(*document), "seed {seed}");
    }
    assert_eq!(in_order.digest(), reordered.digest(), "seed {seed}");
    assert_eq!((reordered.len(), reordered.number_conflicts()), (newest.len(), 0), "seed {seed}");
    for digest in 0..5 {
        let digest = KeyDigest([digest; 32]);
        let owners = reordered.key_owners(&digest);
        for id in owners {
            assert!(reordered.customer(*id).unwrap().keys.contains(&digest), "seed {seed}");
        }
        assert_eq!(owners, in_order.key_owners(&digest), "seed {seed}");
    }
    TestResult::passed()
}

#[test]
fn shuffled_documents() {
    let seed = std::env::var("JACKDAW_SEED").map_or(1, |seed| seed.parse().unwrap());
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATED_SIZE, seed))
        .tests(RUNS)
        .quickcheck(order_is_irrelevant as fn(Vec<(u8, u8)>, u64) -> TestResult);
}

#[test]
fn vm_lists() {
    let mut catalog = ConfigCatalog::new();
    let first = VmListing { version: 3, vms: vec![vm("a", VmState::Live), vm("b", VmState::Live)] };
    assert_eq!(catalog.merge_vms(&first).len(), 2);
    let second =
        VmListing { version: 5, vms: vec![vm("a", VmState::Leaving), vm("c", VmState::Live)] };
    let mut keys: Vec<_> = catalog.merge_vms(&second).into_iter().map(|new| new.key).collect();
    keys.sort();
    let mut expected = ["a", "b", "c"].map(|name| DocumentKey::Vm(VmId::from_name(name)));
    expected.sort();
    assert_eq!(keys, expected);
    assert!(catalog.merge_vms(&first).is_empty(), "an older list changed something");
    assert_eq!(catalog.vms().count(), 2);
    assert_eq!(catalog.vm(VmId::from_name("a")).unwrap().state, VmState::Leaving);
}

/// A router that starts late numbers all VMs by a later version of the list. Other catalogs must
/// not treat the same VMs under higher numbers as changes.
#[test]
fn late_reader() {
    let vms = vec![vm("a", VmState::Live), vm("b", VmState::Live)];
    let mut early = ConfigCatalog::new();
    early.merge_vms(&VmListing { version: 3, vms: vms.clone() });
    let mut late = ConfigCatalog::new();
    late.merge_vms(&VmListing { version: 9, vms });
    assert_eq!(early.digest(), late.digest());
    let documents: Vec<_> = late.documents().cloned().collect();
    assert!(early.merge(documents).is_empty(), "an unchanged list counted as a change");
}

/// Exchanging only the buckets with different digests makes two catalogs equal.
#[test]
fn differing_buckets() {
    let mut first = ConfigCatalog::new();
    let mut second = ConfigCatalog::new();
    let documents: Vec<_> = (0..8).map(|key| document(key, 3)).collect();
    first.merge(documents.clone());
    second.merge(documents);
    first.merge(vec![document(1, 7)]);
    second.merge(vec![document(2, 9)]);
    let mut buckets = Vec::new();
    for (index, digest) in first.bucket_digests().iter().enumerate() {
        if second.bucket_digests()[index] != *digest {
            buckets.push(index as u16);
        }
    }
    assert!((1..=2).contains(&buckets.len()), "{buckets:?}");
    let sent = first.bucket_documents(&buckets);
    first.merge(second.bucket_documents(&buckets));
    second.merge(sent);
    assert_eq!(first.digest(), second.digest());
    assert_eq!(first.document(document(2, 0).key), second.document(document(2, 0).key));
}
