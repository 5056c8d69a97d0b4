//! Which software versions began the streams that callers may go on with.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::direct_router::DirectRouter;
use crate::direct::fleet::watch_election::StoreStatus;
use crate::direct::fleet_config::{FleetConfig, RequestKind};
use crate::direct::streams::stream_lookup::StreamFinding;
use crate::direct::streams::stream_table::{StreamBinding, StreamKey};
use crate::direct::targets::software_version::VersionId;
use crate::direct::targets::target_table::TargetEntry;

impl DirectRouter {
    /// Records for how long callers of streams may wait: the streams that other processes began may be as
    /// long as the routes allow, whatever this one has seen.
    pub(super) fn record_stream_timeouts(&mut self, config: &FleetConfig) {
        for route in &config.routes {
            if matches!(route.kind, RequestKind::Stream { .. }) {
                self.streams.record_timeout(route.timeout);
            }
        }
    }

    /// Records which version began a stream; returns false if too many streams are known.
    pub fn bind_stream(&mut self, now: MonotonicTime, binding: &StreamBinding) -> bool {
        self.streams.record(now, binding)
    }

    /// Returns what this router knows about a stream of a service; `None` stands for a stream that its
    /// caller does not name.
    pub fn find_stream(
        &mut self,
        now: MonotonicTime,
        key: Option<StreamKey>,
        service: &str,
    ) -> StreamFinding {
        if let Some(version) = key.and_then(|key| self.streams.find(now, key)) {
            return StreamFinding::Version(version);
        }
        self.record_versions(now);
        // Without the store, this router may not know of new targets.
        let sole = match self.store_status(now) {
            StoreStatus::Unreachable => None,
            _ => self.versions.sole_version(now, service, self.streams.return_span()),
        };
        let sole = sole.filter(|sole| !self.is_contradicted(service, *sole));
        StreamFinding::Unknown { sole }
    }

    /// Returns the streams that callers may come back to, with their versions.
    pub fn stream_bindings(&self, now: MonotonicTime) -> impl Iterator<Item = StreamBinding> {
        self.streams.bindings(now)
    }

    /// Returns the versions of a service's registered targets, also of those that are withheld: other routers
    /// may use them.
    pub fn present_versions(&self, service: &str) -> Vec<Option<VersionId>> {
        let versions = self.targets.versions().iter();
        let present = versions.filter(|(name, _)| name == service).map(|(_, version)| *version);
        let withheld = self.gate.entries().filter(|entry| entry.service == service);
        present.chain(withheld.map(TargetEntry::version_id)).collect()
    }

    /// Returns the number of streams whose version is known.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    pub(super) fn expire_streams(&mut self, now: MonotonicTime) {
        self.streams.expire(now);
        self.record_versions(now);
        self.versions.expire(now, self.streams.return_span());
    }

    /// Returns streams that the store is to keep and does not: some while the record names several versions
    /// of a service, or is about to.
    pub fn unsaved_streams(&self, now: MonotonicTime, limit: usize) -> Vec<StreamBinding> {
        self.streams.unsaved(now, limit)
    }

    /// Records that the store keeps streams.
    pub fn mark_streams_saved(&mut self, bindings: &[StreamBinding]) {
        self.streams.mark_saved(bindings);
    }

    /// Records that the store was restored from an older copy and may have lost streams.
    pub fn mark_streams_unsaved(&mut self) {
        self.streams.mark_unsaved();
    }

    /// Returns the time after which no caller comes back to a stream that began earlier.
    pub fn return_span(&self) -> Duration {
        self.streams.return_span()
    }

    pub(super) fn record_versions(&mut self, now: MonotonicTime) {
        for (service, version) in self.targets.versions() {
            self.versions.record(now, service, *version);
        }
        for entry in self.gate.entries() {
            self.versions.record(now, &entry.service, entry.version_id());
        }
        match self.store_status(now) {
            StoreStatus::Unreachable => self.versions.interrupt(),
            _ if self.targets.has_listing() => self.versions.observe(now),
            _ => {}
        }
    }
}
