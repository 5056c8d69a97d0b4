//! Which targets are believed to keep which shared parts of prompts.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_table::TargetId;

/// Time after its last use for which a part is believed to be kept.
const PART_LIFETIME: Duration = Duration::from_secs(30);

/// Parts that are remembered of one target.
const PART_LIMIT: usize = 4096;

/// Parts that this router has sent to each target.
#[derive(Debug, Clone, Default)]
pub struct PrefixMap {
    targets: HashMap<TargetId, HashMap<u64, MonotonicTime>>,
}

impl PrefixMap {
    /// Notes that a target reads the shared parts of a prompt.
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

    /// Returns the shared tokens that a target would have to read.
    ///
    /// A part counts as kept only where all parts before it are. Other routers send the same
    /// parts to their home target too, so that one is believed to keep them.
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
        let is_kept = |id: u64| {
            let used = known.and_then(|parts| parts.get(&id));
            used.is_some_and(|used| now.since(*used) < PART_LIFETIME)
        };
        let mut parts = prompt.parts[..shared].iter().skip_while(|part| is_kept(part.id));
        let first_missing = parts.next().map_or(0, |part| u64::from(part.tokens));
        first_missing + parts.map(|part| u64::from(part.tokens)).sum::<u64>()
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.targets.retain(|target, _| is_known(*target));
    }
}
