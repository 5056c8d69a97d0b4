//! Long prompts that share most of their tokens with others about the same subject.

use std::collections::HashMap;

use jackdaw_model::ModelRequest;

use crate::{SEEDS, draw, play};

/// Returns the tokens of all distinct shared parts.
fn distinct_tokens(requests: &[ModelRequest]) -> u64 {
    let mut parts = HashMap::new();
    for request in requests {
        let shared = request.prompt.parts.len() - 1;
        for part in &request.prompt.parts[..shared] {
            parts.insert(part.id, u64::from(part.tokens));
        }
    }
    parts.values().sum()
}

/// Two targets may keep a part, and the few parts that a whole kind shares lie everywhere.
#[test]
fn parts_are_read_at_two_targets_at_most() {
    for seed in SEEDS {
        for rate in [200.0, 420.0] {
            let requests = draw(rate, vec![1.0; 16], seed);
            let most = 2 * distinct_tokens(&requests);
            let read = play(requests, seed).shared_prefill_tokens;
            assert!(read <= most, "seed {seed}, {rate}/s: {read} read of {most} allowed");
        }
    }
}
