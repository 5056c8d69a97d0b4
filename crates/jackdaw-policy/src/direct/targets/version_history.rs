//! Software versions that served each service lately.
//!
//! While a service has had a single version for longer than any caller waits, all of its streams were
//! begun by that version, also those of which nothing else is known.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::targets::software_version::VersionId;

/// Longest time between two records of a router that runs: twice that at which it records them at the
/// latest. After a longer one it has missed what was registered meanwhile.
const LONGEST_GAP: Duration = Duration::from_secs(2);

/// When each version of each service was last registered, as far as this router saw.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<String, HashMap<Option<VersionId>, MonotonicTime>>,
    /// Since when targets are known without a gap.
    observed_since: Option<MonotonicTime>,
    /// When versions were last recorded.
    recorded_at: MonotonicTime,
}

impl VersionHistory {
    /// Records that a target of this service and version is registered; `None` if its version is not
    /// known. Must be called at least once a second for each registered target.
    pub fn record(&mut self, now: MonotonicTime, service: &str, version: Option<VersionId>) {
        let has_gap = now.since(self.recorded_at) > LONGEST_GAP;
        self.recorded_at = now;
        if has_gap {
            self.observed_since = None;
        }
        self.observed_since.get_or_insert(now);
        match self.services.get_mut(service) {
            Some(versions) => {
                versions.insert(version, now);
            }
            None => {
                self.services.insert(service.to_owned(), HashMap::from([(version, now)]));
            }
        }
    }

    /// Returns the only version of a service within the last `span`; `None` if there were others, or if
    /// targets have been known for less than that.
    pub fn sole_version(
        &self,
        now: MonotonicTime,
        service: &str,
        span: Duration,
    ) -> Option<VersionId> {
        if now.since(self.observed_since?) < span {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|(_, last)| now.since(**last) <= span);
        match (recent.next(), recent.next()) {
            (Some((version, _)), None) => *version,
            _ => None,
        }
    }

    /// Drops versions that have not been registered within the last `span`.
    pub fn expire(&mut self, now: MonotonicTime, span: Duration) {
        self.services.retain(|_, versions| {
            versions.retain(|_, last| now.since(*last) <= span);
            !versions.is_empty()
        });
    }
}
