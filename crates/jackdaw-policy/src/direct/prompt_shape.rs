//! What a request states of its prompt.

use jackdaw_base::plain_data;
use smallvec::SmallVec;

plain_data! {
    copy
    /// A part of a prompt that requests may share.
    pub struct PromptPart {
        /// The identifier.
        pub id: u64,
        /// The length in tokens.
        pub tokens: u32,
    }
}

/// The stated size and parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The parts in order; the last one is the request's own.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub output_tokens: u32,
}

/// Weight of a written token against a read one, as the platform counts the fleet's throughput.
const WRITTEN_TOKEN_WEIGHT: u64 = 2;

impl PromptShape {
    /// Returns the part by which requests are brought together: the last one they share.
    pub fn shared_part(&self) -> Option<PromptPart> {
        match self.parts.len() {
            0 => None,
            1 => Some(self.parts[0]),
            count => Some(self.parts[count - 2]),
        }
    }

    /// Returns the tokens of all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens that only this request has.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the service that the request asks for, in tokens: shared parts are read once for
    /// many requests and charged to none.
    pub fn charged_tokens(&self) -> u64 {
        u64::from(self.own_tokens()) + WRITTEN_TOKEN_WEIGHT * u64::from(self.output_tokens)
    }

    /// Returns the memory that a run needs for itself, in tokens; shared parts lie there once
    /// for all runs.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.own_tokens()) + u64::from(self.output_tokens)
    }
}
