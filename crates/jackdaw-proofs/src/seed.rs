//! Seeds and random pauses derived from them.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seed used if the environment variable is not set.
const DEFAULT_SEED: u64 = 20_261_203;

/// Returns the seed from an environment variable, or a fixed one, and prints it for reproduction.
pub fn seed(variable: &str) -> u64 {
    let text = std::env::var(variable).unwrap_or_default();
    let seed = text.parse().unwrap_or(DEFAULT_SEED);
    println!("{variable}={seed}");
    seed
}

/// Random pauses between faults. Assertions must not depend on their lengths.
pub struct SeededPauses {
    /// Generator of the lengths.
    rng: ChaCha8Rng,
}

impl SeededPauses {
    /// Creates pauses whose lengths are determined by the seed.
    pub fn new(seed: u64) -> SeededPauses {
        SeededPauses { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Sleeps for a random number of milliseconds in a range.
    pub async fn sleep(&mut self, millis: Range<u64>) {
        let millis = self.rng.random_range(millis);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }
}
