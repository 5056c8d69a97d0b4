//! Content of one claim object, and what a batch of claims does to it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, ProcessIncarnation, plain_data};

use super::key::ClaimKey;

/// The most claims that one object holds; each takes up to 36 bytes.
const ENTRY_LIMIT: usize = 25_000;

plain_data! {
    copy
    /// One attempt to claim a key.
    pub struct ClaimOwner {
        /// The claiming process.
        pub incarnation: ProcessIncarnation,
        /// The random number that tells the attempt from all others.
        pub nonce: u64,
    }
}

plain_data! {
    copy
    /// A claim that stands.
    pub struct ClaimEntry {
        /// The key.
        pub key: ClaimKey,
        /// The attempt that won the key.
        pub owner: ClaimOwner,
    }
}

plain_data! {
    /// Claims of one slot and bucket.
    ///
    /// The bucket only rises. A claim of an older bucket than the object's is refused, so a
    /// claim that was delayed beyond the reuse of its object cannot win again.
    #[derive(Default)]
    pub struct ClaimObject {
        /// The bucket.
        pub bucket: u64,
        /// The claims.
        pub entries: Vec<ClaimEntry>,
    }
}

plain_data! {
    copy
    /// A claim that waits for its verdict.
    pub struct ClaimRequest {
        /// The key.
        pub key: ClaimKey,
        /// The bucket of the key.
        pub bucket: u64,
        /// The attempt.
        pub owner: ClaimOwner,
    }
}

plain_data! {
    copy
    /// Decision on a claim.
    pub enum ClaimDecision {
        /// The claim stands.
        Granted,
        /// Another attempt holds the key.
        AlreadyClaimed,
        /// The object holds a later bucket.
        Expired,
        /// The object is full.
        Full,
    }
}

impl ClaimDecision {
    /// Returns the error of a claim that was not granted.
    pub fn error(self) -> Option<ErrorKind> {
        match self {
            ClaimDecision::Granted => None,
            ClaimDecision::AlreadyClaimed => Some(ErrorKind::AlreadyClaimed),
            ClaimDecision::Expired => Some(ErrorKind::KeyExpired),
            ClaimDecision::Full => Some(ErrorKind::ClaimUnavailable),
        }
    }
}

/// What a batch of claims does to an object.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimPlan {
    /// The new content; `None` if nothing has to be written.
    pub object: Option<ClaimObject>,
    /// The verdict on each request, in force once the new content is written.
    pub decisions: Vec<ClaimDecision>,
}

impl ClaimObject {
    /// Plans a batch of claims.
    ///
    /// `released` are attempts that ended without a verdict and whose process will never run
    /// the recording: their entries go. Where there are any, the object is written even if
    /// none of them stands in it, since the new version is what keeps their writes, which may
    /// still be on the way, from taking effect.
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
            let verdict = next.judge(request, &owners);
            if verdict == ClaimDecision::Granted && !owners.contains_key(&request.key) {
                owners.insert(request.key, request.owner);
                next.entries.push(ClaimEntry { key: request.key, owner: request.owner });
                added = true;
            }
            decisions.push(verdict);
        }
        let object = (added || !released.is_empty()).then_some(next);
        ClaimPlan { object, decisions }
    }

    /// Decides on one claim.
    fn judge(
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

    /// Encodes the object.
    pub fn encode(&self) -> Result<Bytes, Report<ErrorKind>> {
        let bytes = postcard::to_stdvec(self).change_context(ErrorKind::InvariantViolated)?;
        Ok(Bytes::from(bytes))
    }

    /// Decodes an object.
    pub fn decode(bytes: &[u8]) -> Result<ClaimObject, Report<ErrorKind>> {
        postcard::from_bytes(bytes).change_context(ErrorKind::ProtocolViolation)
    }
}
