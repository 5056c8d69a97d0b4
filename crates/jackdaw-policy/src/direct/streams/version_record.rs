//! Which software versions may have streams that callers can come back to, as the platform's store keeps
//! it.
//!
//! A version is written there before the first request goes to a target of it, so that the record outlasts
//! all routers. It leaves the record once none of its streams can be taken up any more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::direct::targets::software_version::VersionId;

/// Time for which a version stays in the record after no caller can come back to its streams: routers that
/// are cut off may use its targets a little longer.
pub const REMOVAL_MARGIN: Duration = Duration::from_secs(5);

/// Maximum number of services in the record. Entries of other writers may name any number of them.
const MAX_SERVICES: usize = 1024;

/// The versions of all services, as one router knows them or as the store keeps them.
pub type ServiceVersions = BTreeMap<String, BTreeSet<VersionId>>;

/// Record of the versions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// Era of the store in which a router vouched that the record names all versions; `None` if none has.
    pub complete_in: Option<u64>,
    /// The versions of each service.
    pub services: ServiceVersions,
}

/// What a router knows when it plans a record.
#[derive(Debug, Clone, Copy)]
pub struct RecordBasis<'a> {
    /// Current era of the store.
    pub era: u64,
    /// Versions that have been seen, or are about to be used.
    pub seen: &'a ServiceVersions,
    /// Whether there can be no others, in the record or not.
    pub is_complete: bool,
    /// Whether versions that were not seen have no streams any more.
    pub may_remove: bool,
}

impl VersionRecord {
    /// Returns whether the record names a version of a service.
    pub fn contains(&self, service: &str, version: VersionId) -> bool {
        self.services.get(service).is_some_and(|versions| versions.contains(&version))
    }

    /// Returns whether a service has several versions.
    pub fn has_several(&self) -> bool {
        self.services.values().any(|versions| versions.len() > 1)
    }

    /// Returns the record that replaces this one; `None` if this one is right.
    pub fn plan(&self, basis: &RecordBasis<'_>) -> Option<VersionRecord> {
        let mut next = self.clone();
        if basis.may_remove {
            for (service, versions) in &mut next.services {
                let seen = basis.seen.get(service);
                versions.retain(|version| seen.is_some_and(|seen| seen.contains(version)));
            }
            next.services.retain(|_, versions| !versions.is_empty());
        }
        for (service, versions) in basis.seen {
            if next.services.contains_key(service) || next.services.len() < MAX_SERVICES {
                next.services.entry(service.clone()).or_default().extend(versions);
            }
        }
        if basis.is_complete {
            next.complete_in = Some(basis.era);
        }
        (next != *self).then_some(next)
    }
}
