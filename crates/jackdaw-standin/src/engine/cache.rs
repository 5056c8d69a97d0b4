//! Prefix cache with limited memory, and the events it publishes.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::plain_data;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

/// The most cache events that are kept for readers.
const EVENT_LIMIT: usize = 4096;

plain_data! {
    copy
    /// What happened to a prefix.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheChange {
        /// It was taken into the cache.
        Stored,
        /// It was evicted.
        Evicted,
    }
}

plain_data! {
    copy
    /// Event of the prefix cache; sequence numbers have gaps where events were lost.
    pub struct CacheEvent {
        /// The position among all events.
        pub sequence: u64,
        /// The change.
        pub change: CacheChange,
        /// The hash of the prefix.
        pub prefix: u64,
    }
}

/// Cache of prefix hashes, least recently used first.
pub(super) struct PrefixCache {
    /// The prefixes, the most recently used at the back.
    prefixes: VecDeque<u64>,
    /// The most prefixes.
    limit: usize,
    /// The events with the time they happened.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The sequence number of the last event.
    sequence: u64,
    /// The events in a hundred that are lost.
    gaps: u32,
    /// The source of the gaps.
    generator: ChaCha8Rng,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(super) fn new(limit: usize, gaps: u32, seed: u64) -> PrefixCache {
        PrefixCache {
            prefixes: VecDeque::new(),
            limit,
            events: VecDeque::new(),
            sequence: 0,
            gaps,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Uses a prefix and returns whether it was cached.
    pub(super) fn touch(&mut self, prefix: u64, now: Instant) -> bool {
        let found = self.prefixes.iter().position(|&cached| cached == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
            self.prefixes.push_back(prefix);
            return true;
        }
        self.prefixes.push_back(prefix);
        self.publish(CacheChange::Stored, prefix, now);
        while self.prefixes.len() > self.limit {
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

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> Vec<CacheEvent> {
        let mut visible = Vec::new();
        for (time, event) in &self.events {
            if event.sequence > after && now.duration_since(*time) >= lag {
                visible.push(*event);
            }
        }
        visible
    }

    /// Forgets all prefixes, as a crash does.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Adds an event or loses it.
    fn publish(&mut self, change: CacheChange, prefix: u64, now: Instant) {
        self.sequence += 1;
        if self.generator.random_range(0..100) < self.gaps {
            return;
        }
        self.events.push_back((now, CacheEvent { sequence: self.sequence, change, prefix }));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
