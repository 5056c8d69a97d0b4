//! Which bodies of requests are held while callers send more than fits.
//!
//! Pattern: many callers send large bodies at once and stop before the end, beside ordinary callers.

use jackdaw_policy::direct::{BodyId, BodyPool, MemoryPlan, PoolGrant};

use crate::common::at;

const MEGABYTE: usize = 1024 * 1024;

/// Memory for bodies of a router with 96 MB.
const CAPACITY: usize = 16 * MEGABYTE;

/// Length of a large body, and of an ordinary one.
const LARGE: usize = 4 * MEGABYTE;
const ORDINARY: usize = 72 * 1024;

/// Adds a body of a known length that arrives at once; returns it if there is room.
fn hold(pool: &mut BodyPool, millis: u64, bytes: usize) -> Option<BodyId> {
    let id = pool.open(at(millis));
    match pool.extend(at(millis), id, bytes) {
        PoolGrant::Granted => {
            pool.record_read(at(millis), id, bytes);
            Some(id)
        }
        PoolGrant::Full { .. } => {
            pool.close(id);
            None
        }
    }
}

#[test]
fn large_bodies_leave_room_for_ordinary_ones() {
    let mut pool = BodyPool::new(CAPACITY);
    let held = (0..100).filter_map(|_| hold(&mut pool, 0, LARGE)).count();
    assert_eq!(held, 3, "three quarters of the memory");
    let ordinary = (0..1000).filter_map(|_| hold(&mut pool, 0, ORDINARY)).count();
    assert_eq!(ordinary, 4 * MEGABYTE / ORDINARY);
    assert!(pool.used_bytes() <= CAPACITY);
}

/// A body that may be sent must be held by a router that has nothing else to hold.
#[test]
fn single_body_is_held_whatever_its_size() {
    let mut pool = BodyPool::new(CAPACITY);
    assert!(hold(&mut pool, 0, 2 * CAPACITY).is_some());
    assert!(hold(&mut pool, 0, LARGE).is_none());
}

#[test]
fn stalled_bodies_give_way() {
    let mut pool = BodyPool::new(CAPACITY);
    let stalled: Vec<BodyId> = (0..3).filter_map(|_| hold(&mut pool, 0, LARGE)).collect();
    let next = pool.open(at(900));
    let full = PoolGrant::Full { evicted: Vec::new() };
    assert_eq!(pool.extend(at(900), next, LARGE), full, "they came less than a second ago");
    let evicted = PoolGrant::Full { evicted: vec![stalled[0]] };
    assert_eq!(pool.extend(at(1000), next, LARGE), evicted, "only as many as are needed");
    assert_eq!(pool.extend(at(1050), next, LARGE), full, "until it is gone");
    assert!(pool.is_evicted(stalled[0]) && !pool.is_evicted(stalled[1]));
    pool.close(stalled[0]);
    assert_eq!(pool.extend(at(1100), next, LARGE), PoolGrant::Granted);
}

/// Callers that send a piece now and then would otherwise keep their place for as long as they like.
#[test]
fn slow_bodies_give_way() {
    let mut pool = BodyPool::new(CAPACITY);
    let slow: Vec<BodyId> = (0..3).filter_map(|_| hold(&mut pool, 0, LARGE)).collect();
    for step in 0..10 {
        for id in &slow {
            pool.record_read(at(step * 500), *id, 1000 * step as usize);
        }
    }
    let next = pool.open(at(4600));
    assert_eq!(pool.extend(at(4600), next, LARGE), PoolGrant::Full { evicted: vec![slow[0]] });
}

#[test]
fn complete_and_advancing_bodies_stay() {
    let mut pool = BodyPool::new(CAPACITY);
    let held: Vec<BodyId> = (0..3).filter_map(|_| hold(&mut pool, 0, LARGE)).collect();
    pool.complete(held[0]);
    for (millis, bytes) in [(2500, MEGABYTE), (4500, 2 * MEGABYTE)] {
        pool.record_read(at(millis), held[1], bytes);
        pool.record_read(at(millis), held[2], bytes);
    }
    let next = pool.open(at(5000));
    let full = PoolGrant::Full { evicted: Vec::new() };
    assert_eq!(pool.extend(at(5000), next, LARGE), full);
    assert!(held.iter().all(|id| !pool.is_evicted(*id)));
}

#[test]
fn closed_bodies_free_what_they_took() {
    let mut pool = BodyPool::new(CAPACITY);
    for _ in 0..100 {
        let id = hold(&mut pool, 0, LARGE).expect("room");
        pool.close(id);
        pool.close(id);
    }
    assert_eq!(pool.used_bytes(), 0);
}

/// The smallest routers known have 88 MB.
#[test]
fn parts_of_the_memory_do_not_exceed_it() {
    for megabytes in [48, 64, 88, 96, 182, 512] {
        let plan = MemoryPlan::new(megabytes * MEGABYTE);
        let taken = plan.request_bytes + plan.response_bytes + plan.unfinished_requests * 32 * 1024;
        assert!(taken <= megabytes * MEGABYTE - 30 * MEGABYTE, "{megabytes} MB: {taken}");
        assert!(plan.unfinished_requests >= 100, "{megabytes} MB: {}", plan.unfinished_requests);
    }
}
