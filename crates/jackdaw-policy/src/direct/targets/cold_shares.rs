//! Division of a cold target's requests among the routers.
//!
//! The bound on what a cold target takes holds for all routers together within every second, so each
//! router's part is settled before it sends. Rendezvous hashing selects a few holders for each target;
//! each may send a whole number of requests within any second, and other routers none. Half of the
//! bound is divided, so that it holds even where two groups of routers that know different members
//! each select holders of their own.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashMap;

use crate::direct::fleet::fleet_roster::FleetRoster;
use crate::direct::target_id::TargetId;

/// Span within which a holder's requests are counted: the second of the bound, and a margin since
/// requests take unequally long to arrive.
const COUNTED_SPAN: Duration = Duration::from_millis(1050);

/// Part of the bound that is divided.
const DIVIDED_PART: f64 = 0.5;

/// Largest number of requests a second that is divided; a service that takes more needs no division.
const MOST_REQUESTS: f64 = 100_000.0;

/// Division of a bound among the members of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdDivision {
    /// Requests a second that all routers together may send to a cold target.
    requests: usize,
    /// Number of routers that may send to it.
    holders: usize,
}

impl ColdDivision {
    /// Divides `bound` requests a second among `members` routers. As many as possible hold a part: with
    /// more holders, more requests find a target that their router may use.
    pub fn new(bound: f64, members: usize) -> ColdDivision {
        let divided = (bound * DIVIDED_PART).clamp(0.0, MOST_REQUESTS) as usize;
        // A bound of one request still lets a single router warm the target up.
        let requests = if bound >= 1.0 { divided.max(1) } else { 0 };
        ColdDivision { requests, holders: requests.min(members.max(1)) }
    }

    /// Returns the number of routers that may send to a cold target.
    pub fn holders(self) -> usize {
        self.holders
    }

    /// Returns the requests that a holder may send within a second, by its place among the holders.
    pub fn part(self, place: usize) -> usize {
        if place >= self.holders {
            return 0;
        }
        self.requests / self.holders + usize::from(place < self.requests % self.holders)
    }
}

/// This router's part of one cold target, and what it was determined from.
#[derive(Debug, Clone, Copy)]
struct HeldPart {
    generation: u64,
    division: ColdDivision,
    /// Requests that this router may send within a second.
    requests: usize,
}

/// This router's parts of the cold targets, and its use of them.
#[derive(Debug, Clone, Default)]
pub struct ColdShares {
    sent: FxHashMap<TargetId, VecDeque<MonotonicTime>>,
    parts: FxHashMap<TargetId, HeldPart>,
}

impl ColdShares {
    /// Determines this router's part of `target`, if it or the members are new. A target whose part was
    /// not determined gets nothing.
    pub fn prepare(&mut self, target: TargetId, roster: &FleetRoster, bound: f64) {
        let (generation, division) = (roster.generation(), ColdDivision::new(bound, roster.len()));
        let known = self.parts.get(&target);
        if known.is_some_and(|part| (part.generation, part.division) == (generation, division)) {
            return;
        }
        let place = roster.place(target.0, division.holders());
        let requests = place.map_or(0, |place| division.part(place));
        self.parts.insert(target, HeldPart { generation, division, requests });
    }

    /// Returns the requests that this router may send to a cold target within a second.
    pub fn part(&self, target: TargetId) -> usize {
        self.parts.get(&target).map_or(0, |part| part.requests)
    }

    /// Returns whether this router may send one more request to a cold target.
    pub fn admits(&self, now: MonotonicTime, target: TargetId) -> bool {
        self.sent_recently(now, target) < self.part(target)
    }

    /// Records that a request is sent to a cold target.
    pub fn record_send(&mut self, now: MonotonicTime, target: TargetId) {
        let sent = self.sent.entry(target).or_default();
        while sent.front().is_some_and(|time| now.since(*time) >= COUNTED_SPAN) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Drops the parts of targets for which `is_cold` returns false.
    pub fn retain(&mut self, is_cold: impl Fn(TargetId) -> bool) {
        self.sent.retain(|target, _| is_cold(*target));
        self.parts.retain(|target, _| is_cold(*target));
    }

    fn sent_recently(&self, now: MonotonicTime, target: TargetId) -> usize {
        let Some(sent) = self.sent.get(&target) else {
            return 0;
        };
        sent.iter().rev().take_while(|time| now.since(**time) < COUNTED_SPAN).count()
    }
}
