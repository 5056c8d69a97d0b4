//! Seeds and the random choices made from them.

use std::ops::Range;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The seed where the environment gives none.
const DEFAULT_SEED: u64 = 20_261_203;

/// Returns the seed that an environment variable gives, or a fixed one, and prints it.
pub fn seed(variable: &str) -> u64 {
    let text = std::env::var(variable).unwrap_or_default();
    let seed = text.parse().unwrap_or(DEFAULT_SEED);
    println!("{variable}={seed}");
    seed
}

/// Pauses of random length between faults; no verdict depends on how long they last.
pub struct SeededPauses {
    /// The source of the lengths.
    rng: ChaCha8Rng,
}

impl SeededPauses {
    /// Creates the pauses of a seed.
    pub fn new(seed: u64) -> SeededPauses {
        SeededPauses { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Pauses for a random number of milliseconds.
    pub async fn sleep(&mut self, millis: Range<u64>) {
        let millis = self.rng.random_range(millis);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }
}
