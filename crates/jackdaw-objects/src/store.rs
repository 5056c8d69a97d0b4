//! Interface to the platform's object API.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{ErrorKind, VmRecord, plain_data};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Maximum size in bytes of an object that the platform stores.
pub const OBJECT_LIMIT_BYTES: usize = 1_000_000;

plain_data! {
    copy
    /// Revision of the platform at which an object was last written; increases with every write.
    #[derive(Default)]
    pub struct ObjectVersion(pub u64);
}

plain_data! {
    copy
    /// Precondition on the state of an object for a write to take effect.
    pub enum WriteCondition {
        /// The object does not exist.
        Absent,
        /// The object has this version.
        Version(ObjectVersion),
    }
}

plain_data! {
    /// An object as read from the platform.
    pub struct StoredObject {
        /// The version that was read.
        pub version: ObjectVersion,
        /// The content at that version.
        pub value: Bytes,
    }
}

impl StoredObject {
    /// Returns the condition under which a write replaces exactly the state that was read.
    pub fn condition(object: Option<&StoredObject>) -> WriteCondition {
        match object {
            Some(object) => WriteCondition::Version(object.version),
            None => WriteCondition::Absent,
        }
    }
}

plain_data! {
    /// The key of an object with its newest version, as listings and watches return it.
    pub struct ObjectChange {
        /// The key of the object.
        pub key: String,
        /// The newest version, which is the removal if `removed` is set.
        pub version: ObjectVersion,
        /// Whether the object was removed at that version.
        pub removed: bool,
    }
}

plain_data! {
    /// The objects under a prefix at one revision, or those changed since a revision.
    pub struct ObjectListing {
        /// The revision up to which the listing is complete.
        pub revision: ObjectVersion,
        /// The objects, ordered by key.
        pub changes: Vec<ObjectChange>,
    }
}

plain_data! {
    /// The platform's list of VMs.
    pub struct VmListing {
        /// The version of the list; increases with every change.
        pub version: u64,
        /// All VMs that the platform lists, but for entries that cannot be read.
        #[serde(deserialize_with = "read_vms")]
        pub vms: Vec<VmRecord>,
    }
}

/// Reads VMs one by one, so that an entry that cannot be read hides no others.
fn read_vms<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<VmRecord>, D::Error> {
    let entries: Vec<Box<RawValue>> = Vec::deserialize(deserializer)?;
    let vms: Vec<VmRecord> =
        entries.iter().filter_map(|entry| serde_json::from_str(entry.get()).ok()).collect();
    let odd = entries.len() - vms.len();
    if odd > 0 {
        log::warn!(count = odd; "entries of the VM list cannot be read");
    }
    Ok(vms)
}

plain_data! {
    copy
    /// Numbers of calls that a process has made to the platform, by kind, including failed ones.
    #[derive(Default)]
    pub struct CallCounts {
        /// Reads of single objects.
        pub reads: u64,
        /// Writes and removals of objects.
        pub writes: u64,
        /// Listings of a prefix.
        pub lists: u64,
        /// Watches of objects and of the VM list.
        pub watches: u64,
        /// Calls that failed or that the platform refused.
        pub failures: u64,
        /// Total size in bytes of the values sent.
        pub bytes_sent: u64,
        /// Total size in bytes of the bodies received.
        pub bytes_received: u64,
    }
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.lists + self.watches
    }
}

/// The operations of the platform's object API that the fleet uses.
///
/// Clones share one connection, one budget and one set of counters. Every method fails with
/// [`ErrorKind::PlatformUnavailable`] if no response arrives in time, and with
/// [`ErrorKind::BudgetExhausted`] if the budget does not permit the call in time. The futures
/// need not be `Send`.
pub trait ObjectStore: Clone + 'static {
    /// Reads an object; `None` if it does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, Report<ErrorKind>>>;

    /// Writes an object under a condition and returns its new version.
    ///
    /// A lost response is resolved by repeating the conditional write and reading the object
    /// back. Fails with [`ErrorKind::VersionConflict`] if the condition does not hold. After a
    /// lost response this error does not prove that the write never took effect, since another
    /// write may have replaced it: the caller has to look for its own entry in the current
    /// content. After [`ErrorKind::PlatformUnavailable`] the write may still take effect at any
    /// later time, until the object has a version other than the one in the condition.
    fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> impl Future<Output = Result<ObjectVersion, Report<ErrorKind>>>;

    /// Lists the objects whose keys start with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectListing, Report<ErrorKind>>>;

    /// Waits until an object under a prefix changes after a revision and returns the changes;
    /// none if `wait` passes first.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<ObjectListing, Report<ErrorKind>>>;

    /// Waits until the VM list is newer than a version, or `wait` passes, and returns the list.
    fn watch_vms(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<VmListing, Report<ErrorKind>>>;

    /// Returns the numbers of calls made so far.
    fn counts(&self) -> CallCounts;
}
