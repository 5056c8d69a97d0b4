//! Position in the history of the platform's store.

use std::fmt;

use std::time::Duration;

use jackdaw_base::plain_data;

/// Time after the store is reachable again within which live targets have registered again, as
/// specified by the platform.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(1900);

/// Bits of the packed value that hold the revision; the bits above hold the era.
const REVISION_BITS: u32 = 48;

plain_data! {
    copy
    /// Revision of a change, ordered by era first.
    ///
    /// A store that was restored from an older copy starts a new era and assigns revisions again,
    /// so a revision of a newer era is newer whatever its number. Both are packed into one integer:
    /// routers that know no eras then compare and exchange the same values.
    #[derive(Default)]
    pub struct StoreRevision(u64);
}

impl StoreRevision {
    /// Creates the position of a revision in an era; both are limited to the bits they have.
    pub fn new(era: u64, revision: u64) -> StoreRevision {
        let highest = (1 << REVISION_BITS) - 1;
        let era = era.min(u64::MAX >> REVISION_BITS);
        StoreRevision((era << REVISION_BITS) | revision.min(highest))
    }

    /// Returns the era, which is zero for a store that was never restored.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision within the era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }

    /// Returns era and revision as one integer that has the same order.
    pub fn packed(self) -> u64 {
        self.0
    }
}

impl From<u64> for StoreRevision {
    /// Returns a revision of the first era.
    fn from(revision: u64) -> StoreRevision {
        StoreRevision::new(0, revision)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}
