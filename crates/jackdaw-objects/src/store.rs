//! The port through which the fleet uses the platform's object API.

use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use jackdaw_base::{ErrorKind, VmRecord, plain_data};

/// The most bytes that the platform keeps in one object.
pub const OBJECT_LIMIT_BYTES: usize = 1_000_000;

plain_data! {
    copy
    /// Revision of the platform at which an object was last written; rises with every write.
    #[derive(Default)]
    pub struct ObjectVersion(pub u64);
}

plain_data! {
    copy
    /// State that an object must have for a write to take effect.
    pub enum WriteCondition {
        /// The object does not exist.
        Absent,
        /// The object carries this version.
        Version(ObjectVersion),
    }
}

plain_data! {
    /// An object as it was read.
    pub struct StoredObject {
        /// The version.
        pub version: ObjectVersion,
        /// The value.
        pub value: Bytes,
    }
}

impl StoredObject {
    /// Returns the condition under which a write replaces exactly this state.
    pub fn condition(object: Option<&StoredObject>) -> WriteCondition {
        match object {
            Some(object) => WriteCondition::Version(object.version),
            None => WriteCondition::Absent,
        }
    }
}

plain_data! {
    /// An object's key with its newest version.
    pub struct ObjectChange {
        /// The key.
        pub key: String,
        /// The version.
        pub version: ObjectVersion,
        /// Whether the object was removed at that version.
        pub removed: bool,
    }
}

plain_data! {
    /// Objects under a prefix at one revision.
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
        /// The version of the list; rises with every change.
        pub version: u64,
        /// The VMs.
        pub vms: Vec<VmRecord>,
    }
}

plain_data! {
    copy
    /// Calls that a process has made to the platform, per kind; failed ones included.
    #[derive(Default)]
    pub struct CallCounts {
        /// The reads of one object.
        pub reads: u64,
        /// The writes and removals.
        pub writes: u64,
        /// The listings.
        pub lists: u64,
        /// The watches, of objects and of the VM list.
        pub watches: u64,
        /// The calls that failed or were refused by the platform.
        pub failures: u64,
        /// The bytes of all values sent.
        pub bytes_sent: u64,
        /// The bytes of all values received.
        pub bytes_received: u64,
    }
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.lists + self.watches
    }
}

/// The platform's object API as the fleet needs it.
///
/// Clones share one connection, one budget and one set of counters. Every method fails with
/// [`ErrorKind::PlatformUnavailable`] if no answer came in time, and with
/// [`ErrorKind::BudgetExhausted`] if the process may not make the call now. The futures need
/// not be `Send`.
pub trait ObjectStore: Clone + 'static {
    /// Reads an object; `None` if there is none.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredObject>, Report<ErrorKind>>>;

    /// Writes an object under a condition and returns its new version.
    ///
    /// Lost answers are resolved by repeating the conditional write and reading back. Fails
    /// with [`ErrorKind::VersionConflict`] if the condition does not hold. After a lost answer
    /// that does not prove that the write never took effect, since another write may have
    /// replaced it: the writer looks for its own mark in what stands there now. After
    /// [`ErrorKind::PlatformUnavailable`] the write may still take effect at any later time,
    /// until the object carries another version than the condition names.
    fn write(
        &self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
    ) -> impl Future<Output = Result<ObjectVersion, Report<ErrorKind>>>;

    /// Lists the objects whose keys start with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<ObjectListing, Report<ErrorKind>>>;

    /// Waits until an object under the prefix changes after a revision, or the wait is over;
    /// returns the changes.
    fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<ObjectListing, Report<ErrorKind>>>;

    /// Waits until the VM list is newer than a version, or the wait is over; returns the list.
    fn watch_vms(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<VmListing, Report<ErrorKind>>>;

    /// Returns the calls made so far.
    fn counts(&self) -> CallCounts;
}
