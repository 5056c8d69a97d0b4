//! Keys of recordings and the objects that hold their claims.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, plain_data};
use uuid::{Uuid, Version};
use xxhash_rust::xxh3::xxh3_64;

plain_data! {
    copy
    /// Idempotency key of a recording: a time-ordered UUID of version 7.
    pub struct ClaimKey(pub [u8; 16]);
}

impl ClaimKey {
    /// Reads a key; fails with [`ErrorKind::KeyRequired`] if it is no UUID of version 7.
    pub fn parse(text: &str) -> Result<ClaimKey, Report<ErrorKind>> {
        let uuid = Uuid::try_parse(text).change_context(ErrorKind::KeyRequired)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(Report::new(ErrorKind::KeyRequired)
                .attach("the idempotency key is not a UUID of version 7"));
        }
        Ok(ClaimKey(uuid.into_bytes()))
    }

    /// Returns the time in the key, in milliseconds since 1970.
    pub fn unix_millis(self) -> u64 {
        let mut bytes = [0; 8];
        bytes[2..].copy_from_slice(&self.0[..6]);
        u64::from_be_bytes(bytes)
    }
}

plain_data! {
    copy
    /// How claims are spread over objects; the same in the whole fleet.
    ///
    /// A claim's place follows from its key alone: the slot from the key's hash, the bucket
    /// from the key's time. Buckets in time follow the event-time buckets of "Netflix
    /// TimeSeries Abstraction"; the objects of a slot form a ring that later buckets reuse.
    #[serde(deny_unknown_fields)]
    pub struct ClaimLayout {
        /// The number of hash slots.
        pub slots: u64,
        /// The milliseconds of one time bucket.
        pub bucket_millis: u64,
        /// The number of objects that a slot reuses for its buckets.
        pub ring: u64,
    }
}

impl Default for ClaimLayout {
    fn default() -> ClaimLayout {
        ClaimLayout { slots: 1, bucket_millis: 1000, ring: 1024 }
    }
}

plain_data! {
    copy
    /// Where the claim of a key stands.
    pub struct ClaimLocation {
        /// The slot.
        pub slot: u64,
        /// The bucket, counted from 1970.
        pub bucket: u64,
    }
}

impl ClaimLayout {
    /// Returns the place of a key.
    pub fn locate(&self, key: ClaimKey) -> ClaimLocation {
        ClaimLocation {
            slot: xxh3_64(&key.0) % self.slots.max(1),
            bucket: key.unix_millis() / self.bucket_millis.max(1),
        }
    }

    /// Returns the key of the object that holds a place.
    pub fn object_key(&self, place: ClaimLocation) -> String {
        format!("claims/{:04}/{:05}", place.slot, place.bucket % self.ring.max(1))
    }

    /// Returns the span of time whose buckets are held at once.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.bucket_millis.saturating_mul(self.ring.saturating_sub(1)))
    }
}
