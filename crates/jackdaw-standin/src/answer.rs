//! Answers of the engine stand-in as a function of the prompt.
//!
//! A caller that knows the prompt can check an answer byte for byte, while a router cannot
//! tell the cost in advance: lengths follow a Pareto distribution drawn from the prompt's hash.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Text that crashes an engine whose batch takes up a prompt containing it.
pub const CRASH_MARKER: &str = "[[crash]]";

/// Text at the start of prompts that ask for a long draft.
pub const LONG_ANSWER_MARKER: &str = "[[draft]]";

/// Bytes of a prompt that make its prefix.
pub const PREFIX_BYTES: usize = 256;

/// The least tokens of a short answer.
const SHORT_SCALE: f64 = 6.0;

/// The least tokens of a long draft.
const DRAFT_SCALE: f64 = 60.0;

/// The exponent of the length distribution.
const TAIL_EXPONENT: f64 = 1.4;

/// The longest answer in tokens.
const LENGTH_LIMIT: u32 = 4000;

/// Returns the identifier of a prompt in tallies.
pub fn prompt_id(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the hash of the prompt's first [`PREFIX_BYTES`] bytes, by which engines cache.
pub fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    xxh3_64(&prompt.as_bytes()[..end])
}

/// Returns the tokens in a prompt, at four bytes each.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(4) as u32
}

/// Returns the number of tokens that the answer has, at most `max_tokens`.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let mut generator = ChaCha8Rng::seed_from_u64(prompt_id(prompt));
    let scale = if prompt.starts_with(LONG_ANSWER_MARKER) { DRAFT_SCALE } else { SHORT_SCALE };
    let uniform: f64 = generator.random_range(0.0..1.0);
    let length = scale * (1.0 - uniform).powf(-1.0 / TAIL_EXPONENT);
    (length as u32).clamp(1, LENGTH_LIMIT).min(max_tokens)
}

/// Returns one token of the answer to the prompt with identifier `prompt`.
pub fn answer_token(prompt: u64, position: u32) -> String {
    let hash = xxh3_64_with_seed(&position.to_le_bytes(), prompt);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Returns the tokens of the answer, at most `max_tokens`.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> Vec<String> {
    let id = prompt_id(prompt);
    let length = answer_length(prompt, max_tokens);
    let mut tokens = Vec::with_capacity(length as usize);
    for position in 0..length {
        tokens.push(answer_token(id, position));
    }
    tokens
}
