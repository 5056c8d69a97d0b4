//! A full claim object fits in an object of the platform.

use std::collections::HashSet;

use jackdaw_base::ProcessIncarnation;
use jackdaw_objects::ClaimKey;
use jackdaw_objects::claim::{ClaimDecision, ClaimObject, ClaimOwner, ClaimRequest};
use jackdaw_objects::store::OBJECT_LIMIT_BYTES;

/// Number of claims, more than one object holds.
const CLAIMS: u64 = 30_000;

fn request(index: u64) -> ClaimRequest {
    let mut key = [255; 16];
    key[..8].copy_from_slice(&index.to_le_bytes());
    let owner = ClaimOwner { incarnation: ProcessIncarnation(u64::MAX), nonce: u64::MAX };
    ClaimRequest { key: ClaimKey(key), bucket: u64::MAX, owner }
}

#[test]
fn full_object() {
    let requests: Vec<ClaimRequest> = (0..CLAIMS).map(request).collect();
    let plan = ClaimObject::default().plan(&requests, &HashSet::new());
    let granted = plan.decisions.iter().filter(|verdict| **verdict == ClaimDecision::Granted);
    let full = plan.decisions.iter().filter(|verdict| **verdict == ClaimDecision::Full);
    let (granted, full) = (granted.count(), full.count());
    assert_eq!(granted + full, requests.len());
    assert!(full > 0, "the object has no limit on claims");
    let object = plan.object.unwrap();
    let bytes = object.encode().unwrap();
    println!("{granted} claims, {} bytes", bytes.len());
    assert!(bytes.len() < OBJECT_LIMIT_BYTES);
    assert_eq!(ClaimObject::decode(&bytes).unwrap(), object);
}
