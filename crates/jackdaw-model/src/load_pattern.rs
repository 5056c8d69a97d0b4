//! Callers' requests drawn from a seed.

use std::time::Duration;

use jackdaw_base::CustomerId;
use jackdaw_policy::direct::{PromptPart, PromptShape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestMix {
    /// The share of this kind among all requests, relative to the others'.
    pub weight: f64,
    /// The tokens of the part that all requests of the kind share.
    pub common_tokens: u32,
    /// The tokens of the part that requests about one subject share.
    pub subject_tokens: u32,
    /// The subjects.
    pub subjects: u64,
    /// The mean of the tokens that only one request has.
    pub own_tokens: f64,
    /// The spread of those, as the deviation of their logarithm.
    pub own_spread: f64,
    /// The tokens of the answer.
    pub output_tokens: u32,
    /// The time to the first event within which an answer is on time.
    pub latency_objective: Duration,
}

/// A stretch of load.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// The length.
    pub length: Duration,
    /// The requests a second of all customers together.
    pub rate: f64,
    /// The kinds of request.
    pub mix: Vec<RequestMix>,
    /// The customers' parts of the rate, relative to each other.
    pub customers: Vec<f64>,
    /// The requests that come together; one for independent arrivals.
    pub clump: u32,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// The time of its arrival, in microseconds.
    pub arrival: u64,
    /// The customer.
    pub customer: CustomerId,
    /// The position of its kind in the pattern.
    pub kind: usize,
    /// The prompt.
    pub prompt: PromptShape,
    /// The tokens of the answer.
    pub output_tokens: u32,
    /// The time to the first event within which it is on time.
    pub latency_objective: Duration,
}

/// The three kinds of request of an assistant: long drafts, questions and tags.
pub fn assistant_mix() -> Vec<RequestMix> {
    vec![
        RequestMix {
            weight: 0.2,
            common_tokens: 512,
            subject_tokens: 4870,
            subjects: 235,
            own_tokens: 6610.0,
            own_spread: 1.0,
            output_tokens: 380,
            latency_objective: Duration::from_millis(800),
        },
        RequestMix {
            weight: 0.34,
            common_tokens: 119,
            subject_tokens: 79,
            subjects: 346,
            own_tokens: 628.0,
            own_spread: 0.8,
            output_tokens: 290,
            latency_objective: Duration::from_millis(500),
        },
        RequestMix {
            weight: 0.46,
            common_tokens: 341,
            subject_tokens: 227,
            subjects: 432,
            own_tokens: 1800.0,
            own_spread: 0.9,
            output_tokens: 25,
            latency_objective: Duration::from_millis(500),
        },
    ]
}

impl LoadPattern {
    /// Draws the requests of the pattern, in order of arrival.
    pub fn draw(&self, seed: u64) -> Vec<ModelCall> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let length = self.length.as_secs_f64();
        let clumps = self.rate / f64::from(self.clump);
        let mut calls = Vec::new();
        let mut time = 0.0;
        loop {
            time += -f64::ln(1.0 - random.random::<f64>()) / clumps;
            if time >= length {
                break;
            }
            for _ in 0..self.clump {
                // The requests of a clump come within some tens of milliseconds.
                let arrival = time + random.random::<f64>() * 0.03;
                calls.push(self.draw_call((arrival * 1e6) as u64, &mut random));
            }
        }
        calls.sort_by_key(|call| call.arrival);
        calls
    }

    fn draw_call(&self, arrival: u64, random: &mut ChaCha8Rng) -> ModelCall {
        let weights: Vec<f64> = self.mix.iter().map(|mix| mix.weight).collect();
        let kind = pick(&weights, random);
        let customer = pick(&self.customers, random);
        let mix = &self.mix[kind];
        let subject = random.random_range(0..mix.subjects);
        let spread = mix.own_spread;
        let normal = draw_normal(random);
        let own = mix.own_tokens * f64::exp(spread * normal - spread * spread / 2.0);
        let own = own.clamp(16.0, 8.0 * mix.own_tokens) as u32;
        let base = (kind as u64 + 1) << 40;
        let parts = smallvec![
            PromptPart { id: base, tokens: mix.common_tokens },
            PromptPart { id: base + 1 + subject, tokens: mix.subject_tokens },
            PromptPart { id: random.random(), tokens: own },
        ];
        let prompt_tokens = mix.common_tokens + mix.subject_tokens + own;
        let prompt = PromptShape { parts, prompt_tokens, output_tokens: mix.output_tokens };
        ModelCall {
            arrival,
            customer: CustomerId(customer as u64),
            kind,
            prompt,
            output_tokens: mix.output_tokens,
            latency_objective: mix.latency_objective,
        }
    }
}

fn pick(weights: &[f64], random: &mut ChaCha8Rng) -> usize {
    let mut point = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}

/// Draws from the standard normal distribution (Box and Muller).
fn draw_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = f64::sqrt(-2.0 * f64::ln(1.0 - random.random::<f64>()));
    radius * f64::cos(std::f64::consts::TAU * random.random::<f64>())
}
