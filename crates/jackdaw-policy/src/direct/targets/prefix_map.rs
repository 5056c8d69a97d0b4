//! Estimate of the shared prompt parts that each target has cached.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashMap;

use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_id::TargetId;

/// Time after its last use for which a part is assumed to be cached.
const PART_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of parts remembered per target.
const PART_LIMIT: usize = 4096;

/// Prompt parts that this router has sent to each target.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    targets: FxHashMap<TargetId, FxHashMap<u64, MonotonicTime>>,
}

impl PrefixMap {
    /// Records that a prompt was sent to a target, which then caches its parts.
    pub fn record_send(&mut self, now: MonotonicTime, target: TargetId, prompt: &PromptShape) {
        let parts = self.targets.entry(target).or_default();
        if parts.len() >= PART_LIMIT {
            parts.retain(|_, used| now.since(*used) < PART_LIFETIME);
        }
        if parts.len() >= PART_LIMIT {
            parts.clear();
        }
        for part in &prompt.parts {
            parts.insert(part.id, now);
        }
    }

    /// Returns the number of shared tokens that a target would have to prefill.
    ///
    /// A part counts as cached only if all parts before it are. The home target is assumed to have
    /// all shared parts cached, since other routers send the same parts to it.
    pub fn missing_tokens(
        &self,
        now: MonotonicTime,
        target: TargetId,
        prompt: &PromptShape,
        is_home: bool,
    ) -> u64 {
        let shared = prompt.parts.len().saturating_sub(1);
        if is_home {
            return 0;
        }
        let known = self.targets.get(&target);
        let is_cached = |id: u64| {
            let used = known.and_then(|parts| parts.get(&id));
            used.is_some_and(|used| now.since(*used) < PART_LIFETIME)
        };
        let mut parts = prompt.parts[..shared].iter().skip_while(|part| is_cached(part.id));
        let first_missing = parts.next().map_or(0, |part| u64::from(part.tokens));
        first_missing + parts.map(|part| u64::from(part.tokens)).sum::<u64>()
    }

    /// Drops the entries of targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.targets.retain(|target, _| is_known(*target));
    }
}
