//! What a request may crash targets by.

use std::fmt;

use jackdaw_base::plain_data;

plain_data! {
    copy
    /// Property of a request that may crash targets.
    pub enum CrashCause {
        /// The whole request, identified by its digest.
        Request(u64),
        /// A shared part of its prompt, identified as the caller declares it.
        Part(u64),
    }
}

impl CrashCause {
    /// Returns whether the cause is a part of prompts, not a whole request.
    pub fn is_part(self) -> bool {
        matches!(self, CrashCause::Part(_))
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashCause::Request(digest) => write!(f, "request {digest:x}"),
            CrashCause::Part(id) => write!(f, "part {id:x}"),
        }
    }
}
