//! Software versions of targets.
//!
//! Targets of several versions may serve one service. What two versions write does not fit together, so
//! a stream goes on only at targets of the version that began it.

use jackdaw_base::plain_data;
use xxhash_rust::xxh3::xxh3_64;

plain_data! {
    copy
    /// Identifies a software version by a hash of its name.
    pub struct VersionId(pub u32);
}

impl VersionId {
    /// Returns the identifier of the version that targets register under this name.
    pub fn from_name(name: &str) -> VersionId {
        VersionId(xxh3_64(name.as_bytes()) as u32)
    }
}

/// The software versions whose targets may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionRule {
    /// Any version; the caller holds no events.
    #[default]
    Any,
    /// Only the version that began the stream.
    Only(VersionId),
    /// None: the caller holds events, but it is not known which version began the stream.
    Unknown,
}

impl VersionRule {
    /// Returns whether a target of this version may serve the request; `None` if its version is not
    /// known.
    pub fn allows(self, version: Option<VersionId>) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(begun) => version == Some(begun),
            VersionRule::Unknown => false,
        }
    }

    /// Returns the rule for a stream whose first event comes from a target of this version.
    pub fn begun_at(version: Option<VersionId>) -> VersionRule {
        version.map_or(VersionRule::Unknown, VersionRule::Only)
    }
}
