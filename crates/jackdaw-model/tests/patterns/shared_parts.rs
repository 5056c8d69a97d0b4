//! Long prompts that share most of their tokens with other prompts about the same subject.

use std::collections::HashMap;

use jackdaw_model::ModelRequest;

use crate::{SEEDS, draw, simulate};

/// Returns the total tokens of all distinct shared parts.
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

/// Guards against requests with a common part being spread over the fleet, which prefills the
/// part at each target anew. Up to two targets may cache a part. The few parts shared by a whole
/// class are cached everywhere.
#[test]
fn parts_are_prefilled_at_two_targets_at_most() {
    for seed in SEEDS {
        for rate in [200.0, 420.0] {
            let requests = draw(rate, vec![1.0; 16], seed);
            let limit = 2 * distinct_tokens(&requests);
            let prefilled = simulate(requests, seed).shared_prefill_tokens;
            assert!(
                prefilled <= limit,
                "seed {seed}, {rate}/s: {prefilled} tokens prefilled, limit {limit}"
            );
        }
    }
}
