//! Which bodies of requests a router holds in its memory.
//!
//! Bodies of ordinary size may take all of it, larger ones only a part, so that ordinary callers are
//! served beside them. What has no room waits for a moment and is refused then. Callers that stop
//! sending, or send very slowly, give way to others.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Size up to which a body counts as ordinary, in bytes; those of the known deployments have 72 KB at
/// most.
const ORDINARY_BYTES: usize = 128 * 1024;

/// Part of the memory that larger bodies may take.
const LARGE_PART: f64 = 0.75;

/// Time without a byte after which a body gives way to others.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time after which a body gives way to others if it came at less than this rate, in bytes a second,
/// on average: less than any caller that means to be served within seconds.
const SLOW_TIME: Duration = Duration::from_secs(3);
const SLOW_RATE: f64 = 64.0 * 1024.0;

/// Identifies a body in the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Whether a body may be held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoolGrant {
    /// It may.
    Granted,
    /// There is no room now. The bodies named have to be dropped, and leave some.
    Full {
        /// Bodies that give way, oldest first.
        evicted: Vec<BodyId>,
    },
}

/// State of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Reading,
    Complete,
    Evicted,
}

#[derive(Debug)]
struct PooledBody {
    state: BodyState,
    leased_bytes: usize,
    read_bytes: usize,
    opened: MonotonicTime,
    advanced: MonotonicTime,
}

/// The bodies that a router holds.
#[derive(Debug)]
pub struct BodyPool {
    capacity: usize,
    /// By age, oldest first.
    bodies: BTreeMap<BodyId, PooledBody>,
    used_bytes: usize,
    next: u64,
}

impl BodyPool {
    /// Creates an empty pool of so many bytes.
    pub fn new(capacity: usize) -> BodyPool {
        BodyPool { capacity, bodies: BTreeMap::new(), used_bytes: 0, next: 0 }
    }

    /// Sets the number of bytes; bodies that are held already stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the bytes taken.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a body that takes nothing yet.
    pub fn open(&mut self, now: MonotonicTime) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        let body = PooledBody {
            state: BodyState::Reading,
            leased_bytes: 0,
            read_bytes: 0,
            opened: now,
            advanced: now,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Takes as much as is missing to `bytes` for a body.
    pub fn extend(&mut self, now: MonotonicTime, id: BodyId, bytes: usize) -> PoolGrant {
        let Some(body) = self.bodies.get(&id) else {
            return PoolGrant::Full { evicted: Vec::new() };
        };
        let missing = bytes.saturating_sub(body.leased_bytes);
        let lacking = self.lacking_bytes(id, bytes, missing);
        if lacking > 0 {
            return PoolGrant::Full { evicted: self.evict(now, id, lacking) };
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.leased_bytes += missing;
            self.used_bytes += missing;
        }
        PoolGrant::Granted
    }

    /// Records that so many bytes of a body have been read.
    pub fn record_read(&mut self, now: MonotonicTime, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.read_bytes = bytes;
            body.advanced = now;
        }
    }

    /// Records that a body is complete, so that it does not give way any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.state = BodyState::Complete;
        }
    }

    /// Returns whether a body has to be dropped.
    pub fn is_evicted(&self, id: BodyId) -> bool {
        self.bodies.get(&id).is_none_or(|body| body.state == BodyState::Evicted)
    }

    /// Removes a body, and frees what it took.
    pub fn close(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used_bytes -= body.leased_bytes;
        }
    }

    /// Returns how much is missing for a body to grow by `missing` to `bytes`.
    fn lacking_bytes(&self, id: BodyId, bytes: usize, missing: usize) -> usize {
        let lacking = (self.used_bytes + missing).saturating_sub(self.capacity);
        if bytes <= ORDINARY_BYTES {
            return lacking;
        }
        let others = self.bodies.iter().filter(|(other, _)| **other != id);
        let others = others.map(|(_, body)| body.leased_bytes);
        let large: usize = others.filter(|bytes| *bytes > ORDINARY_BYTES).sum();
        if large == 0 {
            // A single body is held whatever its size, or it could never be.
            return 0;
        }
        let limit = (self.capacity as f64 * LARGE_PART) as usize;
        lacking.max((large + bytes).saturating_sub(limit))
    }

    /// Chooses bodies that give way, oldest first, until `needed` bytes are on their way back.
    fn evict(&mut self, now: MonotonicTime, id: BodyId, needed: usize) -> Vec<BodyId> {
        let is_going = |body: &PooledBody| body.state == BodyState::Evicted;
        let going = self.bodies.values().filter(|body| is_going(body));
        let mut freed: usize = going.map(|body| body.leased_bytes).sum();
        let mut evicted = Vec::new();
        for (other, body) in &mut self.bodies {
            if freed >= needed {
                break;
            }
            if *other != id && body.leased_bytes > 0 && body.gives_way(now) {
                body.state = BodyState::Evicted;
                freed += body.leased_bytes;
                evicted.push(*other);
            }
        }
        evicted
    }
}

impl PooledBody {
    fn gives_way(&self, now: MonotonicTime) -> bool {
        if self.state != BodyState::Reading {
            return false;
        }
        let age = now.since(self.opened);
        let is_stalled = now.since(self.advanced) >= STALL_TIME;
        is_stalled || (age >= SLOW_TIME && (self.read_bytes as f64) < SLOW_RATE * age.as_secs_f64())
    }
}
