//! Idempotency keys of recordings, and the objects that hold their claims.

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
    /// Parses a key; fails with [`ErrorKind::KeyRequired`] if it is not a UUID of version 7.
    pub fn parse(text: &str) -> Result<ClaimKey, Report<ErrorKind>> {
        let uuid = Uuid::try_parse(text).change_context(ErrorKind::KeyRequired)?;
        if uuid.get_version() != Some(Version::SortRand) {
            return Err(Report::new(ErrorKind::KeyRequired)
                .attach("the idempotency key is not a UUID of version 7"));
        }
        Ok(ClaimKey(uuid.into_bytes()))
    }

    /// Returns the timestamp in the key, in milliseconds since the Unix epoch.
    pub fn unix_millis(self) -> u64 {
        let mut bytes = [0; 8];
        bytes[2..].copy_from_slice(&self.0[..6]);
        u64::from_be_bytes(bytes)
    }
}

plain_data! {
    copy
    /// How claims are distributed over objects; must be the same in the whole fleet.
    ///
    /// A key alone determines the location of its claim: its hash selects the slot and its
    /// timestamp the bucket. The time buckets follow the event-time buckets of "Netflix
    /// TimeSeries Abstraction"; the objects of a slot form a ring that later buckets reuse.
    #[serde(deny_unknown_fields)]
    pub struct ClaimLayout {
        /// The number of hash slots.
        pub slots: u64,
        /// The length of a time bucket in milliseconds.
        pub bucket_millis: u64,
        /// The number of objects per slot, which its buckets reuse in turn.
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
    /// Where the claim of a key is stored.
    pub struct ClaimLocation {
        /// The hash slot, below [`ClaimLayout::slots`].
        pub slot: u64,
        /// The time bucket, counted from the Unix epoch.
        pub bucket: u64,
    }
}

impl ClaimLayout {
    /// Returns the location of the claim of a key.
    pub fn locate(&self, key: ClaimKey) -> ClaimLocation {
        ClaimLocation {
            slot: xxh3_64(&key.0) % self.slots.max(1),
            bucket: key.unix_millis() / self.bucket_millis.max(1),
        }
    }

    /// Returns the key of the object that holds the claims of a location.
    pub fn object_key(&self, location: ClaimLocation) -> String {
        format!("claims/{:04}/{:05}", location.slot, location.bucket % self.ring.max(1))
    }

    /// Returns the age up to which no later bucket reuses the object of a key.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.bucket_millis.saturating_mul(self.ring.saturating_sub(1)))
    }
}
