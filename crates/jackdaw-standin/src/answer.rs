//! Deterministic answers of the engine stand-in, computed from the prompt.
//!
//! A caller that knows the prompt can check an answer byte for byte. Answer lengths follow a
//! Pareto distribution seeded by the prompt's hash, so a router cannot predict the cost of a
//! request.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Text in a prompt that crashes the engine once the request is in the batch and prefilled.
pub const CRASH_MARKER: &str = "[[crash]]";

/// Text at the start of prompts that draw a long answer.
pub const LONG_ANSWER_MARKER: &str = "[[draft]]";

/// Number of leading prompt bytes that form the cached prefix.
pub const PREFIX_BYTES: usize = 256;

/// Minimum length in tokens of ordinary answers: the scale of their Pareto distribution.
const MIN_SHORT_ANSWER: f64 = 6.0;

/// Minimum length in tokens of long answers: the scale of their Pareto distribution.
const MIN_LONG_ANSWER: f64 = 60.0;

/// Shape parameter (tail index) of the Pareto distribution of answer lengths.
const PARETO_SHAPE: f64 = 1.4;

/// Maximum length of an answer in tokens.
const MAX_ANSWER_TOKENS: u32 = 4000;

/// Returns the hash that identifies a prompt in tallies.
pub fn prompt_id(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the hash of the prompt's first [`PREFIX_BYTES`] bytes, the key of the prefix cache.
pub fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt.len().min(PREFIX_BYTES);
    xxh3_64(&prompt.as_bytes()[..end])
}

/// Returns the number of tokens in a prompt, counting four bytes per token and rounding up.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(4) as u32
}

/// Returns the length of the answer in tokens, at most `max_tokens`.
pub fn answer_length(prompt: &str, max_tokens: u32) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(prompt_id(prompt));
    let scale =
        if prompt.starts_with(LONG_ANSWER_MARKER) { MIN_LONG_ANSWER } else { MIN_SHORT_ANSWER };
    let uniform: f64 = rng.random_range(0.0..1.0);
    let length = scale * (1.0 - uniform).powf(-1.0 / PARETO_SHAPE);
    (length as u32).clamp(1, MAX_ANSWER_TOKENS).min(max_tokens)
}

/// Returns the token at `position` of the answer to the prompt identified by `prompt`.
pub fn answer_token(prompt: u64, position: u32) -> String {
    let hash = xxh3_64_with_seed(&position.to_le_bytes(), prompt);
    format!(" {:06x}", hash & 0xff_ffff)
}

/// Returns the tokens of the answer to a prompt, at most `max_tokens`.
pub fn expected_answer(prompt: &str, max_tokens: u32) -> Vec<String> {
    let id = prompt_id(prompt);
    let length = answer_length(prompt, max_tokens);
    let mut tokens = Vec::with_capacity(length as usize);
    for position in 0..length {
        tokens.push(answer_token(id, position));
    }
    tokens
}
