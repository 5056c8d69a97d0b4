//! Unfinished runs at each target: the router's own and those that the others report.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation};

use crate::direct::peer_report::TargetUsage;
use crate::direct::target_table::TargetId;

/// Time after which a silent router's runs no longer count.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Unfinished runs at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// The prompt tokens that are still to be read.
    pub queued_tokens: u64,
    /// The runs without a first event.
    pub queued: u32,
    /// The runs with a first event.
    pub running: u32,
    /// The memory that all of them need, in tokens.
    pub memory_tokens: u64,
}

impl TargetLoad {
    /// Returns the unfinished runs.
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

/// The last report of another router.
#[derive(Debug, Clone)]
struct PeerLoad {
    sequence: u64,
    heard: MonotonicTime,
    targets: Vec<(TargetId, TargetLoad)>,
}

/// Unfinished runs at all targets.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: HashMap<TargetId, TargetLoad>,
    /// The sums over the other routers, kept up to date with every report.
    others: HashMap<TargetId, TargetLoad>,
    peers: HashMap<ProcessIncarnation, PeerLoad>,
}

impl LoadTable {
    /// Returns the load of a target from all routers.
    pub fn load(&self, target: TargetId) -> TargetLoad {
        let mut load = self.own.get(&target).copied().unwrap_or_default();
        if let Some(others) = self.others.get(&target) {
            load.add(others);
        }
        load
    }

    /// Returns the load of a target from this router.
    pub fn own_load(&self, target: TargetId) -> TargetLoad {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Notes that a run was sent.
    pub fn add_queued(&mut self, target: TargetId, prefill_tokens: u64, memory_tokens: u64) {
        let load =
            TargetLoad { queued_tokens: prefill_tokens, queued: 1, running: 0, memory_tokens };
        self.own.entry(target).or_default().add(&load);
    }

    /// Notes the first event of a run.
    pub fn start_running(&mut self, target: TargetId, prefill_tokens: u64) {
        let load = self.own.entry(target).or_default();
        load.queued_tokens = load.queued_tokens.saturating_sub(prefill_tokens);
        load.queued = load.queued.saturating_sub(1);
        load.running += 1;
    }

    /// Notes the end of a run that had a first event.
    pub fn end_running(&mut self, target: TargetId, memory_tokens: u64) {
        self.take(target, &TargetLoad { queued_tokens: 0, queued: 0, running: 1, memory_tokens });
    }

    /// Notes the end of a run that had no first event.
    pub fn end_queued(&mut self, target: TargetId, prefill_tokens: u64, memory_tokens: u64) {
        let load =
            TargetLoad { queued_tokens: prefill_tokens, queued: 1, running: 0, memory_tokens };
        self.take(target, &load);
    }

    /// Returns the router's own load, for its report.
    pub fn own_usage(&self) -> Vec<TargetUsage> {
        let uses = self.own.iter().map(|(target, load)| TargetUsage {
            target: *target,
            queued_hundreds: load.queued_tokens.div_ceil(100) as u32,
            queued: load.queued,
            running: load.running,
            memory_thousands: load.memory_tokens.div_ceil(1000) as u32,
        });
        uses.collect()
    }

    /// Takes in another router's report; returns whether it is newer than the last.
    pub fn apply_report(
        &mut self,
        now: MonotonicTime,
        incarnation: ProcessIncarnation,
        sequence: u64,
        uses: &[TargetUsage],
    ) -> bool {
        if self.peers.get(&incarnation).is_some_and(|peer| peer.sequence >= sequence) {
            return false;
        }
        self.remove_peer(incarnation);
        let targets: Vec<(TargetId, TargetLoad)> =
            uses.iter().map(|usage| (usage.target, TargetLoad::from(usage))).collect();
        for (target, load) in &targets {
            self.others.entry(*target).or_default().add(load);
        }
        self.peers.insert(incarnation, PeerLoad { sequence, heard: now, targets });
        true
    }

    /// Drops the reports of routers that fell silent; returns those routers.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<ProcessIncarnation> {
        let is_silent = |peer: &PeerLoad| now.since(peer.heard) > REPORT_LIFETIME;
        let silent: Vec<ProcessIncarnation> =
            self.peers.iter().filter(|(_, peer)| is_silent(peer)).map(|(id, _)| *id).collect();
        for incarnation in &silent {
            self.remove_peer(*incarnation);
        }
        silent
    }

    /// Returns the number of other routers that report.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
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

    fn take(&mut self, target: TargetId, load: &TargetLoad) {
        let Some(own) = self.own.get_mut(&target) else {
            return;
        };
        own.subtract(load);
        if own.runs() == 0 {
            self.own.remove(&target);
        }
    }
}
