//! Which findings the platform's store holds, so that they outlast all routers.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashSet;

use crate::direct::crashes::crash_ledger::{CrashFinding, CrashLedger};

/// Maximum number of findings in the store; new ones displace cleared ones first, then the oldest.
const STORED_LIMIT: usize = 512;

/// Time for which a new or changed finding may displace stored ones. A finding that is not stored after
/// it was displaced itself.
const DISPLACEMENT_TIME: Duration = Duration::from_secs(10);

impl CrashLedger {
    /// Returns the findings that the store is to hold in place of `stored`; `None` if it need not
    /// change.
    ///
    /// Findings behind refusals are added. Cleared ones stay as such, for routers that have not heard of
    /// it from others. Findings that this router does not know stay as they are, so `stored` must have
    /// been merged before.
    pub fn plan_stored(
        &self,
        now: MonotonicTime,
        stored: &[CrashFinding],
    ) -> Option<Vec<CrashFinding>> {
        let current = stored.iter().map(|finding| self.refresh_stored(finding));
        let mut planned: Vec<CrashFinding> = current.collect();
        let held: FxHashSet<_> = stored.iter().map(|it| (it.cause, it.target)).collect();
        let mut missing = self.binding_findings(now);
        missing.retain(|(_, finding)| !held.contains(&(finding.cause, finding.target)));
        missing.sort_by(|(age, finding), (other_age, other)| {
            other_age.cmp(age).then_with(|| finding.cmp(other))
        });
        for (age, finding) in missing {
            if planned.len() < STORED_LIMIT || age < DISPLACEMENT_TIME {
                planned.push(finding);
            }
        }
        while planned.len() > STORED_LIMIT {
            let least = planned.iter().position(|finding| finding.is_cleared).unwrap_or(0);
            planned.remove(least);
        }
        (planned != stored).then_some(planned)
    }

    /// Returns a stored finding with what this router knows beyond it.
    fn refresh_stored(&self, stored: &CrashFinding) -> CrashFinding {
        let findings = self.causes.get(&stored.cause).map_or(&[][..], |record| &record.findings);
        let known = findings.iter().find(|known| known.target == stored.target);
        known.map_or(*stored, |known| CrashFinding {
            severity: known.severity.max(stored.severity),
            is_cleared: known.is_cleared || stored.is_cleared,
            ..*stored
        })
    }

    /// Returns the findings behind refusals with the time since this router learned them.
    fn binding_findings(&self, now: MonotonicTime) -> Vec<(Duration, CrashFinding)> {
        let refused = self.causes.iter().filter(|(_, record)| record.is_refused());
        let findings = refused.flat_map(|(cause, record)| {
            let binding = record.findings.iter().filter(|known| !known.is_cleared);
            binding.map(|known| (now.since(known.changed), known.to_finding(*cause)))
        });
        findings.collect()
    }
}
