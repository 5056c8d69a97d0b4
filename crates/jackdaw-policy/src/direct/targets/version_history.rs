//! Software versions that served each service lately.
//!
//! While a service has had a single version for longer than any caller waits, all of its streams were
//! begun by that version, also those of which nothing else is known. A router that has just started learns
//! from the store which versions there were before.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::streams::version_record::{REMOVAL_MARGIN, ServiceVersions};
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
    /// From when on the versions before that are known as well.
    informed_from: Option<MonotonicTime>,
    /// When versions were last recorded.
    recorded_at: MonotonicTime,
}

impl VersionHistory {
    /// Records that a target of this service and version is registered; `None` if its version is not
    /// known. Must be called at least once a second for each registered target.
    pub fn record(&mut self, now: MonotonicTime, service: &str, version: Option<VersionId>) {
        self.observe(now);
        match self.services.get_mut(service) {
            Some(versions) => {
                versions.insert(version, now);
            }
            None => {
                self.services.insert(service.to_owned(), HashMap::from([(version, now)]));
            }
        }
    }

    /// Notes that the registered targets are known now, if there are any.
    pub fn observe(&mut self, now: MonotonicTime) {
        let has_gap = now.since(self.recorded_at) > LONGEST_GAP;
        self.recorded_at = now;
        if has_gap {
            self.interrupt();
        }
        self.observed_since.get_or_insert(now);
    }

    /// Notes that targets may come and go unseen.
    pub fn interrupt(&mut self) {
        self.observed_since = None;
        self.informed_from = None;
    }

    /// Records the versions that may have streams from before this router observed its targets. They count as
    /// all there are from `trusted_from` on, unless the router knows of others.
    pub fn inform(
        &mut self,
        now: MonotonicTime,
        trusted_from: MonotonicTime,
        versions: &ServiceVersions,
    ) {
        self.observe(now);
        for (service, versions) in versions {
            for version in versions {
                let known = self.services.entry(service.clone()).or_default();
                known.insert(Some(*version), now);
            }
        }
        self.informed_from = Some(trusted_from);
    }

    /// Returns whether all versions of the last `span` are known.
    pub fn is_complete(&self, now: MonotonicTime, span: Duration) -> bool {
        self.has_observed(now, span) || self.informed_from.is_some_and(|time| time <= now)
    }

    /// Returns whether versions from before the observation are needed and not known.
    pub fn lacks_information(&self, now: MonotonicTime, span: Duration) -> bool {
        self.informed_from.is_none() && !self.has_observed(now, span)
    }

    /// Returns whether a version was seen so lately that records still name it.
    pub fn has_seen(&self, service: &str, version: VersionId) -> bool {
        self.services.get(service).is_some_and(|versions| versions.contains_key(&Some(version)))
    }

    /// Returns whether targets have been observed without a gap for `span`.
    pub fn has_observed(&self, now: MonotonicTime, span: Duration) -> bool {
        self.observed_since.is_some_and(|since| now.since(since) >= span)
    }

    /// Returns the only version of a service within the last `span`; `None` if there were others, or if
    /// that is not known.
    pub fn sole_version(
        &self,
        now: MonotonicTime,
        service: &str,
        span: Duration,
    ) -> Option<VersionId> {
        if !self.is_complete(now, span) {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|(_, last)| now.since(**last) <= span);
        match (recent.next(), recent.next()) {
            (Some((version, _)), None) => *version,
            _ => None,
        }
    }

    /// Returns the versions that were seen, or known otherwise, within the last `span`.
    pub fn recent(&self, now: MonotonicTime, span: Duration) -> ServiceVersions {
        let mut recent = ServiceVersions::new();
        for (service, versions) in &self.services {
            let versions = versions.iter().filter(|(_, last)| now.since(**last) <= span);
            let versions = versions.filter_map(|(version, _)| *version);
            recent.entry(service.clone()).or_default().extend(versions);
        }
        recent.retain(|_, versions| !versions.is_empty());
        recent
    }

    /// Drops versions that have not been registered within the last `span` and the time that records keep
    /// them beyond that.
    pub fn expire(&mut self, now: MonotonicTime, span: Duration) {
        self.services.retain(|_, versions| {
            versions.retain(|_, last| now.since(*last) <= span + REMOVAL_MARGIN);
            !versions.is_empty()
        });
    }
}
