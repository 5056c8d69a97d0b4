//! Prefix cache of limited capacity and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::plain_data;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// Maximum number of cache events kept for readers.
const EVENT_LIMIT: usize = 4096;

plain_data! {
    copy
    /// How the cache changed for a prefix.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheChange {
        /// The prefix was added to the cache.
        Stored,
        /// The prefix was evicted.
        Evicted,
    }
}

plain_data! {
    copy
    /// Event of the prefix cache. A gap in the sequence numbers means that events were lost.
    pub struct CacheEvent {
        /// The sequence number, counting lost events as well.
        pub sequence: u64,
        /// The change.
        pub change: CacheChange,
        /// The hash of the prefix.
        pub prefix: u64,
    }
}

/// LRU cache of prefix hashes.
pub(super) struct PrefixCache {
    /// The cached prefixes, from least to most recently used.
    prefixes: VecDeque<u64>,
    /// The maximum number of prefixes.
    capacity: usize,
    /// The published events with their times.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The sequence number of the last event, lost or not.
    sequence: u64,
    /// The percentage of events that are lost.
    loss_percent: u32,
    /// Decides which events are lost.
    rng: ChaCha8Rng,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(super) fn new(capacity: usize, loss_percent: u32, seed: u64) -> PrefixCache {
        PrefixCache {
            prefixes: VecDeque::new(),
            capacity,
            events: VecDeque::new(),
            sequence: 0,
            loss_percent,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Marks a prefix as most recently used, adding it if needed; returns whether it was cached.
    pub(super) fn touch(&mut self, prefix: u64, now: Instant) -> bool {
        let found = self.prefixes.iter().position(|&cached| cached == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.prefixes.push_back(prefix);
        self.publish(CacheChange::Stored, prefix, now);
        while self.prefixes.len() > self.capacity {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.publish(CacheChange::Evicted, evicted, now);
            }
        }
        false
    }

    /// Returns whether a prefix is cached.
    pub(super) fn contains(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the events with a sequence number above `after` that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let mut visible = Vec::new();
        for (time, event) in &self.events {
            if event.sequence > after && now.duration_since(*time) >= lag {
                visible.push(*event);
            }
        }
        visible
    }

    /// Drops all prefixes and events, as a crash does.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Publishes an event, or loses it with probability `loss_percent`.
    fn publish(&mut self, change: CacheChange, prefix: u64, now: Instant) {
        self.sequence += 1;
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        self.events.push_back((now, CacheEvent { sequence: self.sequence, change, prefix }));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
