//! Lookup tables derived from the entries of a target table.

use std::collections::HashMap;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::target_id::TargetId;
use crate::direct::targets::software_version::VersionId;
use crate::direct::targets::target_table::{TargetEntry, TargetState};

/// The properties of a ready target that placement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyTarget {
    /// Identifier of the target.
    pub id: TargetId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Failure domain of the target.
    pub domain: String,
    /// Software version of the target; `None` if it is not known.
    pub version: Option<VersionId>,
}

/// Lookup tables of a target table. Decisions are far more frequent than changes of the entries, so
/// the tables are rebuilt at the first lookup after a change.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetIndex {
    /// Ready targets by service, in the order of their identifiers.
    pub(super) ready: HashMap<String, Rc<[ReadyTarget]>>,
    /// Names of all registered targets.
    pub(super) names: FxHashMap<TargetId, String>,
    /// Software versions of the targets of each service, each once.
    pub(super) versions: Vec<(String, Option<VersionId>)>,
    /// Digest of the entries, without what this router alone knows about them.
    pub(super) digest: u64,
}

impl TargetIndex {
    /// Builds the tables. Targets for which `is_withdrawn` returns true are not ready, whatever their
    /// entries say.
    pub(super) fn build<'a>(
        entries: impl Iterator<Item = &'a TargetEntry>,
        is_withdrawn: impl Fn(&TargetEntry) -> bool,
    ) -> TargetIndex {
        let mut index = TargetIndex::default();
        let mut ready: HashMap<&str, Vec<ReadyTarget>> = HashMap::new();
        for entry in entries {
            let id = entry.id();
            index.names.insert(id, entry.name.clone());
            index.digest ^= entry_digest(entry);
            let version = entry.version_id();
            let mut versions = index.versions.iter();
            if !versions.any(|(service, known)| *service == entry.service && *known == version) {
                index.versions.push((entry.service.clone(), version));
            }
            if entry.state == TargetState::Ready && !is_withdrawn(entry) {
                let target =
                    ReadyTarget { id, slots: entry.slots, domain: entry.domain.clone(), version };
                ready.entry(&entry.service).or_default().push(target);
            }
        }
        for (service, mut targets) in ready {
            targets.sort_by_key(|target| target.id);
            index.ready.insert(service.to_owned(), targets.into());
        }
        index
    }
}

/// Hashes name, revision and state. The rotation makes room for the state without losing the era in
/// the highest bits of the revision.
fn entry_digest(entry: &TargetEntry) -> u64 {
    let seed = entry.revision.packed().rotate_left(1) ^ entry.state as u64;
    xxh3_64_with_seed(entry.name.as_bytes(), seed)
}
