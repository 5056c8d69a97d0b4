//! Queue of the requests of one customer that wait at a router for one service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{MonotonicTime, RequestClass, RequestId, VmId};

/// Weight of a new sample in the moving average of the interval between starts, in percent.
const SAMPLE_WEIGHT_PERCENT: u64 = 10;
/// Number of starts after which the measured rate is used for predictions.
const MIN_STARTS: u32 = 8;

/// Waiting requests of one lane, either short or long ones.
#[derive(Debug, Clone, Default)]
pub struct RequestLane {
    /// Requests for which no agent holds an offer, oldest first.
    pub unoffered: BTreeSet<RequestId>,
    /// Requests for which at least one agent holds an offer, oldest first.
    pub offered: BTreeSet<RequestId>,
    /// Number of offers that each agent holds; agents without offers have no entry.
    pub offer_counts: BTreeMap<VmId, u32>,
}

impl RequestLane {
    /// Counts an offer sent to an agent.
    pub fn add_offer(&mut self, agent: VmId) {
        *self.offer_counts.entry(agent).or_insert(0) += 1;
    }

    /// Removes one offer from an agent's count.
    pub fn remove_offer(&mut self, agent: VmId) {
        let Some(held) = self.offer_counts.get_mut(&agent) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.offer_counts.remove(&agent);
        }
    }

    /// Returns the number of offers from this lane that an agent holds.
    pub fn offers_at(&self, agent: VmId) -> u32 {
        self.offer_counts.get(&agent).copied().unwrap_or(0)
    }

    /// Returns the number of waiting requests in this lane.
    pub fn len(&self) -> usize {
        self.unoffered.len() + self.offered.len()
    }

    /// Returns whether no request is waiting in this lane.
    pub fn is_empty(&self) -> bool {
        self.unoffered.is_empty() && self.offered.is_empty()
    }
}

/// Waiting requests of one customer for one service, and the rate at which they start.
#[derive(Debug, Clone, Default)]
pub struct CustomerQueue {
    /// Lanes of short and long requests, so that neither blocks the other.
    pub lanes: [RequestLane; 2],
    start_interval: Duration,
    last_start: Option<MonotonicTime>,
    starts: u32,
}

impl CustomerQueue {
    /// Returns the index in `lanes` for a request class.
    pub fn lane_index(class: RequestClass) -> usize {
        match class {
            RequestClass::Short | RequestClass::Read | RequestClass::Recording => 0,
            RequestClass::Long => 1,
        }
    }

    /// Returns the number of waiting requests in both lanes.
    pub fn waiting(&self) -> usize {
        self.lanes[0].len() + self.lanes[1].len()
    }

    /// Updates the measured rate when a request starts to run.
    pub fn record_start(&mut self, now: MonotonicTime) {
        if let Some(last) = self.last_start {
            let interval = now.since(last).as_micros() as u64;
            let mean = self.start_interval.as_micros() as u64;
            let weight = SAMPLE_WEIGHT_PERCENT.max(100 / u64::from(self.starts.max(1)));
            let average = (mean * (100 - weight) + interval * weight) / 100;
            self.start_interval = Duration::from_micros(average);
        }
        self.last_start = Some(now);
        self.starts = self.starts.saturating_add(1);
    }

    /// Estimates the wait of a request at the end of the queue, or returns `None` until enough
    /// starts have been measured.
    pub fn expected_wait(&self, now: MonotonicTime) -> Option<Duration> {
        if self.starts < MIN_STARTS {
            return None;
        }
        // The time since the last start reveals a stall before the next start is measured.
        let since_last = self.last_start.map_or(Duration::ZERO, |last| now.since(last));
        let interval = self.start_interval.max(since_last);
        Some(interval.saturating_mul(self.waiting() as u32))
    }
}
