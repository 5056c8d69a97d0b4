//! Registration of a target.

use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::plain_data;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::direct::store_revision::StoreRevision;
use crate::direct::target_id::TargetId;
use crate::direct::targets::software_version::VersionId;

plain_data! {
    copy
    /// State that a target registers for itself.
    pub enum TargetState {
        /// The target accepts requests.
        Ready,
        /// The target completes its open requests and accepts no new ones.
        Draining,
    }
}

plain_data! {
    /// Registration of a target.
    pub struct TargetEntry {
        /// Name with which the target identifies itself in responses.
        pub name: String,
        /// Name of the service that the target provides.
        pub service: String,
        /// Address at which the target accepts connections.
        pub address: SocketAddr,
        /// Failure domain of the target.
        pub domain: String,
        /// Name of the software version that the target runs. Not part of the serialized form that
        /// older builds know; `None` in a copy from one of them.
        #[serde(skip)]
        pub version: Option<String>,
        /// Number of requests that the target runs concurrently.
        pub slots: u32,
        /// State that the target registered.
        pub state: TargetState,
        /// Start time in Unix milliseconds; distinguishes instances with the same name.
        pub started_unix_ms: u64,
        /// How much longer the target stays cold, as of the time at which it wrote the entry; `None` if
        /// it does not state that. Not part of the serialized form that older builds know.
        #[serde(skip)]
        pub cold_left: Option<Duration>,
        /// Revision that the store assigned to the entry.
        pub revision: StoreRevision,
    }
}

impl TargetEntry {
    /// Returns the identifier of this instance of the target.
    pub fn id(&self) -> TargetId {
        // Half of the hash suffices to distinguish the targets of a fleet and keeps reports short.
        TargetId(xxh3_64_with_seed(self.name.as_bytes(), self.started_unix_ms) >> 32)
    }

    /// Returns the identifier of the target's software version; `None` if it is not known.
    pub fn version_id(&self) -> Option<VersionId> {
        self.version.as_deref().map(VersionId::from_name)
    }

    /// Returns whether a copy of this entry tells more: a later revision, or the version that an older
    /// build's copy lacked.
    pub(super) fn is_superseded_by(&self, copy: &TargetEntry) -> bool {
        let adds_version = self.version.is_none() && copy.version.is_some();
        copy.revision > self.revision || (copy.revision == self.revision && adds_version)
    }
}
