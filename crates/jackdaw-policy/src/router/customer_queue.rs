//! Requests of one customer that wait at a router for one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{MonotonicTime, RequestClass, RequestId, VmId};

/// Weight of the newest sample in the running mean of the time between two starts, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 10;
/// Starts after which the observed rate counts.
const MIN_STARTS: u32 = 8;

/// Requests of one kind.
#[derive(Debug, Clone, Default)]
pub struct RequestLane {
    /// The requests that no agent holds an offer of, oldest first.
    pub unoffered: BTreeSet<RequestId>,
    /// The requests that some agent holds an offer of, oldest first.
    pub offered: BTreeSet<RequestId>,
    /// The number of offers that each agent holds.
    pub offer_counts: BTreeMap<VmId, u32>,
}

impl RequestLane {
    /// Notes an offer at an agent.
    pub fn add_offer(&mut self, agent: VmId) {
        *self.offer_counts.entry(agent).or_insert(0) += 1;
    }

    /// Notes that an agent no longer holds an offer.
    pub fn remove_offer(&mut self, agent: VmId) {
        let Some(held) = self.offer_counts.get_mut(&agent) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.offer_counts.remove(&agent);
        }
    }

    /// Returns the number of offers that an agent holds.
    pub fn offers_at(&self, agent: VmId) -> u32 {
        self.offer_counts.get(&agent).copied().unwrap_or(0)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.unoffered.len() + self.offered.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.unoffered.is_empty() && self.offered.is_empty()
    }
}

/// Requests of one customer for one service, and the rate at which they start.
#[derive(Debug, Clone, Default)]
pub struct CustomerQueue {
    /// Short and long requests, which never wait for each other.
    pub lanes: [RequestLane; 2],
    start_interval: Duration,
    last_start: Option<MonotonicTime>,
    starts: u32,
}

impl CustomerQueue {
    /// Returns the lane for a kind of work.
    pub fn lane_index(class: RequestClass) -> usize {
        match class {
            RequestClass::Short | RequestClass::Read | RequestClass::Recording => 0,
            RequestClass::Long => 1,
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lanes[0].len() + self.lanes[1].len()
    }

    /// Notes that a request starts to run.
    pub fn record_start(&mut self, now: MonotonicTime) {
        if let Some(last) = self.last_start {
            let gap = now.since(last).as_micros() as u64;
            let mean = self.start_interval.as_micros() as u64;
            let weight = SAMPLE_WEIGHT_PERCENT.max(100 / u64::from(self.starts.max(1)));
            let mixed = (mean * (100 - weight) + gap * weight) / 100;
            self.start_interval = Duration::from_micros(mixed);
        }
        self.last_start = Some(now);
        self.starts = self.starts.saturating_add(1);
    }

    /// Predicts how long a request waits that comes after all others; `None` if the rate is
    /// not known.
    pub fn expected_wait(&self, now: MonotonicTime) -> Option<Duration> {
        if self.starts < MIN_STARTS {
            return None;
        }
        // A stall shows before the next start does.
        let stalled = self.last_start.map_or(Duration::ZERO, |last| now.since(last));
        let gap = self.start_interval.max(stalled);
        Some(gap.saturating_mul(self.waiting() as u32))
    }
}
