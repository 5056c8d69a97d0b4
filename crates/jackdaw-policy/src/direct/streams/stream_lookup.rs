//! Finds out which software version began a stream whose caller comes back.

use std::net::Ipv4Addr;

use jackdaw_base::plain_data;
use smallvec::SmallVec;

use crate::direct::streams::stream_holders::HolderList;
use crate::direct::targets::software_version::VersionId;

plain_data! {
    copy
    /// What one router knows about a stream.
    pub enum StreamFinding {
        /// This version began the stream.
        Version(VersionId),
        /// The stream is not known.
        Unknown {
            /// The only version of the stream's service for longer than any caller waits; `None` if
            /// there were others, or if the router cannot tell.
            sole: Option<VersionId>,
        },
    }
}

/// Result of a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LookupResult {
    /// This router or another one knows that this version began the stream.
    Known(VersionId),
    /// Nobody knows the stream, but its service has had no other version than this.
    Sole(VersionId),
    /// Nobody that could be reached knows which version began the stream.
    Unknown {
        /// Whether another router may know it: none of those asked has answered.
        is_isolated: bool,
    },
}

/// Lookup of one stream at the routers that may keep its version.
#[derive(Debug, Clone)]
pub struct StreamLookup {
    /// What this router knows itself.
    own: StreamFinding,
    /// Routers that were asked and have not answered.
    waiting: HolderList,
    /// Whether this router knows others, even if none of them can be asked.
    knows_others: bool,
    /// Answers of the others.
    findings: SmallVec<[StreamFinding; 4]>,
}

impl StreamLookup {
    /// Creates a lookup at the routers `sources`; `None` if this router knows no other. `own` is what
    /// it knows itself.
    pub fn new(own: StreamFinding, sources: Option<HolderList>) -> StreamLookup {
        let knows_others = sources.is_some();
        let waiting = sources.unwrap_or_default();
        StreamLookup { own, waiting, knows_others, findings: SmallVec::new() }
    }

    /// Returns the routers that have not answered.
    pub fn waiting(&self) -> &[Ipv4Addr] {
        &self.waiting
    }

    /// Records the answer of a router; answers of routers that were not asked are ignored.
    pub fn record(&mut self, source: Ipv4Addr, finding: StreamFinding) {
        let Some(position) = self.waiting.iter().position(|waiting| *waiting == source) else {
            return;
        };
        self.waiting.remove(position);
        self.findings.push(finding);
    }

    /// Returns whether further answers cannot change the result.
    pub fn is_complete(&self) -> bool {
        self.waiting.is_empty() || self.known_version().is_some()
    }

    /// Returns the result from the answers so far. `present` are the versions of the service's targets
    /// that this router knows.
    ///
    /// A single version is concluded only if another router saw no other either: the view of one router
    /// may be old. A router that knows no other has only its own.
    pub fn conclude(&self, present: &[Option<VersionId>]) -> LookupResult {
        if let Some(version) = self.known_version() {
            return LookupResult::Known(version);
        }
        let stated: SmallVec<[VersionId; 4]> = match self.knows_others {
            true => self.findings.iter().copied().filter_map(sole_version).collect(),
            false => sole_version(self.own).into_iter().collect(),
        };
        let unknown =
            LookupResult::Unknown { is_isolated: self.knows_others && self.findings.is_empty() };
        let Some(&sole) = stated.first() else {
            return unknown;
        };
        let is_contradicted = stated.iter().any(|other| *other != sole)
            || present.iter().any(|version| *version != Some(sole));
        match is_contradicted {
            true => unknown,
            false => LookupResult::Sole(sole),
        }
    }

    fn known_version(&self) -> Option<VersionId> {
        let findings = std::iter::once(&self.own).chain(&self.findings);
        let mut known = findings.filter_map(|finding| match finding {
            StreamFinding::Version(version) => Some(*version),
            StreamFinding::Unknown { .. } => None,
        });
        known.next()
    }
}

fn sole_version(finding: StreamFinding) -> Option<VersionId> {
    match finding {
        StreamFinding::Version(_) => None,
        StreamFinding::Unknown { sole } => sole,
    }
}
