//! Load of each target: the router's own runs in progress and those that other routers report.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation};
use rustc_hash::FxHashMap;

use crate::direct::fleet::peer_report::TargetUsage;
use crate::direct::target_id::TargetId;

/// Time after the last report of a router after which its runs are no longer counted.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Runs in progress at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: u64,
    /// Number of runs before their first event.
    pub queued: u32,
    /// Number of runs after their first event.
    pub running: u32,
    /// Memory reserved for all these runs, in tokens.
    pub memory_tokens: u64,
}

impl TargetLoad {
    /// Returns the number of runs in progress.
    pub fn runs(&self) -> u32 {
        self.queued + self.running
    }

    fn add(&mut self, other: &TargetLoad) {
        self.queued_tokens += other.queued_tokens;
        self.queued += other.queued;
        self.running += other.running;
        self.memory_tokens += other.memory_tokens;
    }

    fn subtract(&mut self, other: &TargetLoad) {
        self.queued_tokens = self.queued_tokens.saturating_sub(other.queued_tokens);
        self.queued = self.queued.saturating_sub(other.queued);
        self.running = self.running.saturating_sub(other.running);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

impl From<&TargetUsage> for TargetLoad {
    fn from(usage: &TargetUsage) -> TargetLoad {
        TargetLoad {
            queued_tokens: u64::from(usage.queued_hundreds) * 100,
            queued: usage.queued,
            running: usage.running,
            memory_tokens: u64::from(usage.memory_thousands) * 1000,
        }
    }
}

/// Load in the last report of another router.
#[derive(Debug, Clone)]
struct PeerLoad {
    sequence: u64,
    received: MonotonicTime,
    targets: Vec<(TargetId, TargetLoad)>,
}

/// Runs in progress at all targets.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: FxHashMap<TargetId, TargetLoad>,
    /// Sums over the other routers, updated with every report.
    others: FxHashMap<TargetId, TargetLoad>,
    peers: FxHashMap<ProcessIncarnation, PeerLoad>,
}

impl LoadTable {
    /// Returns the load that all routers put on a target.
    pub fn load(&self, target: TargetId) -> TargetLoad {
        let mut load = self.own.get(&target).copied().unwrap_or_default();
        if let Some(others) = self.others.get(&target) {
            load.add(others);
        }
        load
    }

    /// Returns the load that this router puts on a target.
    pub fn own_load(&self, target: TargetId) -> TargetLoad {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Adds a run that was sent and has had no event yet.
    pub fn add_queued(&mut self, target: TargetId, prefill_tokens: u64, memory_tokens: u64) {
        let load =
            TargetLoad { queued_tokens: prefill_tokens, queued: 1, running: 0, memory_tokens };
        self.own.entry(target).or_default().add(&load);
    }

    /// Moves a run from queued to running at its first event.
    pub fn start_running(&mut self, target: TargetId, prefill_tokens: u64) {
        let load = self.own.entry(target).or_default();
        load.queued_tokens = load.queued_tokens.saturating_sub(prefill_tokens);
        load.queued = load.queued.saturating_sub(1);
        load.running += 1;
    }

    /// Removes a run that ended after its first event.
    pub fn end_running(&mut self, target: TargetId, memory_tokens: u64) {
        self.subtract_own(
            target,
            &TargetLoad { queued_tokens: 0, queued: 0, running: 1, memory_tokens },
        );
    }

    /// Removes a run that ended before its first event.
    pub fn end_queued(&mut self, target: TargetId, prefill_tokens: u64, memory_tokens: u64) {
        let load =
            TargetLoad { queued_tokens: prefill_tokens, queued: 1, running: 0, memory_tokens };
        self.subtract_own(target, &load);
    }

    /// Returns this router's load for its report, rounded up to hundreds and thousands of tokens.
    pub fn own_usage(&self) -> Vec<TargetUsage> {
        let usages = self.own.iter().map(|(target, load)| TargetUsage {
            target: *target,
            queued_hundreds: load.queued_tokens.div_ceil(100) as u32,
            queued: load.queued,
            running: load.running,
            memory_thousands: load.memory_tokens.div_ceil(1000) as u32,
        });
        usages.collect()
    }

    /// Replaces the load of another router by that of its report; returns whether the report is
    /// newer than the last one.
    pub fn apply_report(
        &mut self,
        now: MonotonicTime,
        incarnation: ProcessIncarnation,
        sequence: u64,
        usages: &[TargetUsage],
    ) -> bool {
        if self.peers.get(&incarnation).is_some_and(|peer| peer.sequence >= sequence) {
            return false;
        }
        self.remove_peer(incarnation);
        let targets: Vec<(TargetId, TargetLoad)> =
            usages.iter().map(|usage| (usage.target, TargetLoad::from(usage))).collect();
        for (target, load) in &targets {
            self.others.entry(*target).or_default().add(load);
        }
        self.peers.insert(incarnation, PeerLoad { sequence, received: now, targets });
        true
    }

    /// Drops the load of routers that no longer report; returns those routers.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<ProcessIncarnation> {
        let is_silent = |peer: &PeerLoad| now.since(peer.received) > REPORT_LIFETIME;
        let silent: Vec<ProcessIncarnation> =
            self.peers.iter().filter(|(_, peer)| is_silent(peer)).map(|(id, _)| *id).collect();
        for incarnation in &silent {
            self.remove_peer(*incarnation);
        }
        silent
    }

    /// Returns the number of other routers that currently report.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the other routers that currently report.
    pub fn peers(&self) -> impl Iterator<Item = ProcessIncarnation> {
        self.peers.keys().copied()
    }

    fn remove_peer(&mut self, incarnation: ProcessIncarnation) {
        let Some(peer) = self.peers.remove(&incarnation) else {
            return;
        };
        for (target, load) in &peer.targets {
            let Some(others) = self.others.get_mut(target) else {
                continue;
            };
            others.subtract(load);
            if *others == TargetLoad::default() {
                self.others.remove(target);
            }
        }
    }

    fn subtract_own(&mut self, target: TargetId, load: &TargetLoad) {
        let Some(own) = self.own.get_mut(&target) else {
            return;
        };
        own.subtract(load);
        if own.runs() == 0 {
            self.own.remove(&target);
        }
    }
}
