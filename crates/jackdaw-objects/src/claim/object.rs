//! Content of a claim object, and how a batch of claims changes it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, ProcessIncarnation, plain_data};

use super::key::ClaimKey;

/// Maximum number of claims in one object; each takes up to 36 bytes.
const ENTRY_LIMIT: usize = 25_000;

plain_data! {
    copy
    /// Identifies one attempt to claim a key.
    pub struct ClaimOwner {
        /// The process that claims.
        pub incarnation: ProcessIncarnation,
        /// A random number that distinguishes the attempt from all others.
        pub nonce: u64,
    }
}

plain_data! {
    copy
    /// A granted claim.
    pub struct ClaimEntry {
        /// The claimed key.
        pub key: ClaimKey,
        /// The attempt that was granted the key.
        pub owner: ClaimOwner,
    }
}

plain_data! {
    /// Claims of one slot and bucket.
    ///
    /// The bucket never decreases. A claim of an older bucket than the object's is refused, so
    /// a claim that was delayed until its object was reused cannot be granted again.
    #[derive(Default)]
    pub struct ClaimObject {
        /// The time bucket of all entries.
        pub bucket: u64,
        /// The granted claims, in the order in which they were granted.
        pub entries: Vec<ClaimEntry>,
    }
}

plain_data! {
    copy
    /// A claim to be decided.
    pub struct ClaimRequest {
        /// The key to claim.
        pub key: ClaimKey,
        /// The time bucket of the key.
        pub bucket: u64,
        /// The attempt that claims it.
        pub owner: ClaimOwner,
    }
}

plain_data! {
    copy
    /// Decision on a claim.
    pub enum ClaimDecision {
        /// The attempt holds the key.
        Granted,
        /// Another attempt holds the key.
        AlreadyClaimed,
        /// A later bucket has reused the object.
        Expired,
        /// The object has no room for another claim.
        Full,
    }
}

impl ClaimDecision {
    /// Returns the error for a claim that was not granted, `None` if it was.
    pub fn error(self) -> Option<ErrorKind> {
        match self {
            ClaimDecision::Granted => None,
            ClaimDecision::AlreadyClaimed => Some(ErrorKind::AlreadyClaimed),
            ClaimDecision::Expired => Some(ErrorKind::KeyExpired),
            ClaimDecision::Full => Some(ErrorKind::ClaimUnavailable),
        }
    }
}

/// Result of applying a batch of claims to an object.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimPlan {
    /// The new content; `None` if nothing needs to be written.
    pub object: Option<ClaimObject>,
    /// The decision on each request in order, valid once the new content is written.
    pub decisions: Vec<ClaimDecision>,
}

impl ClaimObject {
    /// Decides a batch of claims without changing the object.
    ///
    /// `released` are attempts whose process will never run the recording, such as those that
    /// ended without a decision: their entries are removed. If there are any, the object is
    /// written even if it contains none of them, since the new version is what prevents their
    /// writes, which may still be in flight, from taking effect.
    pub fn plan(&self, requests: &[ClaimRequest], released: &HashSet<ClaimOwner>) -> ClaimPlan {
        let newest = requests.iter().map(|request| request.bucket).max().unwrap_or(0);
        let mut next = if newest > self.bucket {
            ClaimObject { bucket: newest, entries: Vec::new() }
        } else {
            self.clone()
        };
        next.entries.retain(|entry| !released.contains(&entry.owner));
        let mut owners: HashMap<ClaimKey, ClaimOwner> =
            next.entries.iter().map(|entry| (entry.key, entry.owner)).collect();
        let mut decisions = Vec::with_capacity(requests.len());
        let mut added = false;
        for request in requests {
            let decision = next.decide(request, &owners);
            if decision == ClaimDecision::Granted && !owners.contains_key(&request.key) {
                owners.insert(request.key, request.owner);
                next.entries.push(ClaimEntry { key: request.key, owner: request.owner });
                added = true;
            }
            decisions.push(decision);
        }
        let object = (added || !released.is_empty()).then_some(next);
        ClaimPlan { object, decisions }
    }

    /// Decides one claim against the current owners of the keys.
    fn decide(
        &self,
        request: &ClaimRequest,
        owners: &HashMap<ClaimKey, ClaimOwner>,
    ) -> ClaimDecision {
        if request.bucket < self.bucket {
            return ClaimDecision::Expired;
        }
        match owners.get(&request.key) {
            Some(owner) if *owner == request.owner => ClaimDecision::Granted,
            Some(_) => ClaimDecision::AlreadyClaimed,
            None if self.entries.len() >= ENTRY_LIMIT => ClaimDecision::Full,
            None => ClaimDecision::Granted,
        }
    }

    /// Encodes the object in the postcard format.
    pub fn encode(&self) -> Result<Bytes, Report<ErrorKind>> {
        let bytes = postcard::to_stdvec(self).change_context(ErrorKind::InvariantViolated)?;
        Ok(Bytes::from(bytes))
    }

    /// Decodes an object; fails with [`ErrorKind::ProtocolViolation`] if it is malformed.
    pub fn decode(bytes: &[u8]) -> Result<ClaimObject, Report<ErrorKind>> {
        postcard::from_bytes(bytes).change_context(ErrorKind::ProtocolViolation)
    }
}
