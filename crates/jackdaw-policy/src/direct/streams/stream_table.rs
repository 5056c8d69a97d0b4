//! Software versions of the streams that callers may go on with.
//!
//! A router records which version began a stream before its caller gets the first event, and tells a
//! few other routers ([`stream_holders`](crate::direct::streams::stream_holders)), since the caller may come
//! back to any router after its own is gone.

use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, plain_data};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::targets::software_version::VersionId;

/// Maximum number of streams kept. At 36 streams a second for each router, three copies of each and
/// callers that wait for 15 s, about 1,600 are known to a router.
const CAPACITY: usize = 65_536;

/// Longest time for which a stream is kept, whatever its caller states.
const MAX_LIFETIME: Duration = Duration::from_secs(300);

/// Time added to that for which a caller waits, for delays on the way.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Lower bound of the time after which no caller comes back to a stream that began earlier.
const MIN_RETURN_SPAN: Duration = Duration::from_secs(15);

/// Interval of the removal of expired streams.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

plain_data! {
    copy
    /// Identifies a stream by its customer and the attempt that brought its first event.
    pub struct StreamKey(pub u64);
}

impl StreamKey {
    /// Returns the key of a stream. Customers cannot reach the streams of others, whatever
    /// attempt they name.
    pub fn new(customer: Option<CustomerId>, first_attempt: &str) -> StreamKey {
        let seed = customer.map_or(0, |customer| customer.0);
        StreamKey(xxh3_64_with_seed(first_attempt.as_bytes(), seed))
    }
}

plain_data! {
    copy
    /// Which software version began a stream.
    pub struct StreamBinding {
        /// Key of the stream.
        pub key: StreamKey,
        /// Version of the target that sent its first event.
        pub version: VersionId,
        /// Time for which the caller may come back, in milliseconds.
        pub lifetime_ms: u32,
    }
}

impl StreamBinding {
    /// Creates the binding of a stream whose caller waits for another `time_left`.
    pub fn new(key: StreamKey, version: VersionId, time_left: Duration) -> StreamBinding {
        let lifetime = (time_left + LIFETIME_MARGIN).min(MAX_LIFETIME);
        StreamBinding { key, version, lifetime_ms: lifetime.as_millis() as u32 }
    }

    fn lifetime(&self) -> Duration {
        Duration::from_millis(self.lifetime_ms.into()).min(MAX_LIFETIME)
    }
}

/// A known stream.
#[derive(Debug, Clone, Copy)]
struct KnownStream {
    version: VersionId,
    expires: MonotonicTime,
    /// Whether the platform's store has it.
    is_saved: bool,
}

impl KnownStream {
    fn binding(&self, now: MonotonicTime, key: StreamKey) -> StreamBinding {
        let lifetime_ms = self.expires.since(now).as_millis() as u32;
        StreamBinding { key, version: self.version, lifetime_ms }
    }
}

/// Streams of this router, and those that others told it of.
#[derive(Debug, Default)]
pub struct StreamTable {
    streams: FxHashMap<StreamKey, KnownStream>,
    longest_lifetime: Duration,
    expired_at: MonotonicTime,
}

impl StreamTable {
    /// Records which version began a stream; returns false if the table is full.
    pub fn record(&mut self, now: MonotonicTime, binding: &StreamBinding) -> bool {
        let lifetime = binding.lifetime();
        self.longest_lifetime = self.longest_lifetime.max(lifetime);
        if self.streams.len() >= CAPACITY && !self.streams.contains_key(&binding.key) {
            return false;
        }
        let expires = now.after(lifetime);
        let known = self.streams.get(&binding.key);
        let is_saved =
            known.is_some_and(|known| known.is_saved && known.version == binding.version);
        let stream = KnownStream { version: binding.version, expires, is_saved };
        self.streams.insert(binding.key, stream);
        true
    }

    /// Returns up to `limit` streams that the store does not have.
    pub fn unsaved(&self, now: MonotonicTime, limit: usize) -> Vec<StreamBinding> {
        let unsaved = self.streams.iter().filter(|(_, stream)| !stream.is_saved);
        let unsaved = unsaved.filter(|(_, stream)| now < stream.expires).take(limit);
        unsaved.map(|(key, stream)| stream.binding(now, *key)).collect()
    }

    /// Records that the store has streams.
    pub fn mark_saved(&mut self, bindings: &[StreamBinding]) {
        for binding in bindings {
            if let Some(stream) = self.streams.get_mut(&binding.key) {
                stream.is_saved |= stream.version == binding.version;
            }
        }
    }

    /// Records that the store may have lost all streams.
    pub fn mark_unsaved(&mut self) {
        for stream in self.streams.values_mut() {
            stream.is_saved = false;
        }
    }

    /// Returns the version that began a stream; `None` if it is not known.
    pub fn find(&self, now: MonotonicTime, key: StreamKey) -> Option<VersionId> {
        let stream = self.streams.get(&key).filter(|stream| now < stream.expires)?;
        Some(stream.version)
    }

    /// Records that callers of streams may wait for `timeout`, also those of streams that are not known.
    pub fn record_timeout(&mut self, timeout: Duration) {
        let lifetime = (timeout + LIFETIME_MARGIN).min(MAX_LIFETIME);
        self.longest_lifetime = self.longest_lifetime.max(lifetime);
    }

    /// Returns the streams whose callers may still come back, with the time left for that.
    pub fn bindings(&self, now: MonotonicTime) -> impl Iterator<Item = StreamBinding> {
        let current = self.streams.iter().filter(move |(_, stream)| now < stream.expires);
        current.map(move |(key, stream)| stream.binding(now, *key))
    }

    /// Returns the time after which no caller comes back to a stream that began earlier.
    pub fn return_span(&self) -> Duration {
        self.longest_lifetime.max(MIN_RETURN_SPAN)
    }

    /// Returns the number of streams kept.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is kept.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Drops streams whose callers do not come back any more.
    pub fn expire(&mut self, now: MonotonicTime) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.streams.retain(|_, stream| now < stream.expires);
    }
}
