//! Size and shareable parts of a prompt as declared by the request.

use jackdaw_base::plain_data;
use smallvec::SmallVec;

plain_data! {
    copy
    /// Consecutive part of a prompt that several requests may have in common.
    pub struct PromptPart {
        /// Identifier; equal for equal parts.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u32,
    }
}

/// Declared size and parts of a prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Parts in order; the last one belongs to this request alone.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens: u32,
}

/// Weight of a generated token relative to a prompt token, as in the platform's capacity figure.
const OUTPUT_TOKEN_WEIGHT: u64 = 2;

impl PromptShape {
    /// Returns the part by which requests are grouped on targets: the last shared one, or the only
    /// part of a prompt.
    pub fn shared_part(&self) -> Option<PromptPart> {
        match self.parts.len() {
            0 => None,
            1 => Some(self.parts[0]),
            count => Some(self.parts[count - 2]),
        }
    }

    /// Returns the shared parts, which are all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the total length of the shared parts, in tokens; limited to the highest number, since
    /// callers may state any lengths.
    pub fn shared_tokens(&self) -> u32 {
        let tokens = self.shared_parts().iter().map(|part| part.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the number of prompt tokens that belong to this request alone.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns the tokens charged to the customer. Shared parts are processed once for many
    /// requests and charged to none of them.
    pub fn charged_tokens(&self) -> u64 {
        u64::from(self.own_tokens()) + OUTPUT_TOKEN_WEIGHT * u64::from(self.output_tokens)
    }

    /// Returns the memory reserved for a run, in tokens. Shared parts are stored once for all runs
    /// and not included.
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.own_tokens()) + u64::from(self.output_tokens)
    }
}
