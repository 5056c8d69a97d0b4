//! Prompt tokens that targets have prefilled within the last moments, counted over all routers.
//!
//! Prefill delays every stream that runs beside it. A target whose queue is empty may just have
//! worked through a long one, and more prefill right after it would hold back the same events of its
//! streams.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, plain_data};
use rustc_hash::FxHashMap;

use crate::direct::target_id::TargetId;

/// Time for which prefill counts after its end. Together with the time in the queue this covers the
/// longest pauses that deployments allow between two events.
const WINDOW: Duration = Duration::from_millis(250);

plain_data! {
    copy
    /// Prompt tokens that one router's requests had prefilled at a target within the window.
    pub struct PrefillUsage {
        /// Target that prefilled the tokens.
        pub target: TargetId,
        /// Number of tokens, in hundreds.
        pub tokens_hundreds: u32,
    }
}

/// Tokens prefilled within the window, by target.
#[derive(Debug, Clone, Default)]
pub struct PrefillWindow {
    /// This router's own prefills, oldest first.
    recent: VecDeque<(MonotonicTime, TargetId, u64)>,
    own: FxHashMap<TargetId, u64>,
    /// Sums over the other routers, updated with every report.
    others: FxHashMap<TargetId, u64>,
    peers: FxHashMap<ProcessIncarnation, Vec<PrefillUsage>>,
}

impl PrefillWindow {
    /// Records that a target has prefilled tokens for a request of this router.
    pub fn record(&mut self, now: MonotonicTime, target: TargetId, tokens: u64) {
        self.expire(now);
        self.recent.push_back((now, target, tokens));
        *self.own.entry(target).or_default() += tokens;
    }

    /// Returns the tokens that a target has prefilled within the window.
    pub fn tokens(&self, target: TargetId) -> u64 {
        let own = self.own.get(&target).copied().unwrap_or(0);
        own + self.others.get(&target).copied().unwrap_or(0)
    }

    /// Drops this router's own prefills that are older than the window.
    pub fn expire(&mut self, now: MonotonicTime) {
        while self.recent.front().is_some_and(|(time, _, _)| now.since(*time) >= WINDOW) {
            let Some((_, target, tokens)) = self.recent.pop_front() else {
                return;
            };
            subtract(&mut self.own, target, tokens);
        }
    }

    /// Returns this router's own counts for its report.
    pub fn own_usage(&mut self, now: MonotonicTime) -> Vec<PrefillUsage> {
        self.expire(now);
        let usages = self.own.iter().map(|(target, tokens)| PrefillUsage {
            target: *target,
            tokens_hundreds: tokens.div_ceil(100) as u32,
        });
        usages.collect()
    }

    /// Replaces the counts of another router by those of its latest report.
    pub fn apply_report(&mut self, incarnation: ProcessIncarnation, usages: &[PrefillUsage]) {
        self.remove_peer(incarnation);
        for usage in usages {
            *self.others.entry(usage.target).or_default() += usage_tokens(usage);
        }
        if !usages.is_empty() {
            self.peers.insert(incarnation, usages.to_vec());
        }
    }

    /// Drops the counts of a router that no longer reports.
    pub fn remove_peer(&mut self, incarnation: ProcessIncarnation) {
        for usage in self.peers.remove(&incarnation).unwrap_or_default() {
            subtract(&mut self.others, usage.target, usage_tokens(&usage));
        }
    }
}

fn usage_tokens(usage: &PrefillUsage) -> u64 {
    u64::from(usage.tokens_hundreds) * 100
}

fn subtract(sums: &mut FxHashMap<TargetId, u64>, target: TargetId, tokens: u64) {
    if let Some(sum) = sums.get_mut(&target) {
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            sums.remove(&target);
        }
    }
}
