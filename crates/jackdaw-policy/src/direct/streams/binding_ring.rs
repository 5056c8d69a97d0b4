//! The objects of the store in which a failure domain keeps versions of streams, written in turn.

use std::collections::BTreeMap;
use std::time::Duration;

/// Objects of a failure domain.
const RING_OBJECTS: u32 = 96;

/// Objects that may be written too soon: those skipped after conflicts, and the one being written.
const SPARE_OBJECTS: u32 = 8;

/// Shortest time between two writes. What began since the last write is lost if all routers end; a fleet with
/// four failure domains makes 16 calls a second, of the 400 that the smallest known store takes.
const MIN_WRITE_PERIOD: Duration = Duration::from_millis(250);

/// Which object is written next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BindingRing {
    /// Revision of each object that exists.
    revisions: BTreeMap<u32, u64>,
    /// Number of the latest write.
    sequence: u64,
}

/// The next write of a ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RingWrite {
    /// Number of the object.
    pub number: u32,
    /// Number of the write.
    pub sequence: u64,
    /// Revision of the object that is replaced; `None` if there is none.
    pub replaced: Option<u64>,
}

impl BindingRing {
    /// Creates a ring from the objects that exist: number, latest write and revision of each.
    pub fn new(objects: impl Iterator<Item = (u32, u64, Option<u64>)>) -> BindingRing {
        let mut ring = BindingRing::default();
        for (number, sequence, revision) in objects {
            ring.sequence = ring.sequence.max(sequence);
            ring.revisions.extend(revision.map(|revision| (number, revision)));
        }
        ring
    }

    /// Returns the next write.
    pub fn next_write(&self) -> RingWrite {
        let sequence = self.sequence.wrapping_add(1);
        let number = (sequence % u64::from(RING_OBJECTS)) as u32;
        RingWrite { number, sequence, replaced: self.revisions.get(&number).copied() }
    }

    /// Records that an object was written, by this router or by another one, and goes on to the next. Its
    /// revision is `None` if it is not known.
    pub fn record_write(&mut self, write: RingWrite, revision: Option<u64>) {
        self.sequence = write.sequence;
        match revision {
            Some(revision) => self.revisions.insert(write.number, revision),
            None => self.revisions.remove(&write.number),
        };
    }

    /// Records that an object does not exist any more.
    pub fn record_missing(&mut self, write: RingWrite) {
        self.revisions.remove(&write.number);
    }

    /// Returns the time between two writes with which no stream is replaced that callers may come back
    /// to, for `span` after it began.
    pub fn write_period(span: Duration) -> Duration {
        MIN_WRITE_PERIOD.max(span / (RING_OBJECTS - SPARE_OBJECTS))
    }
}
