//! Load patterns and the requests drawn from them.

use std::time::Duration;

use jackdaw_base::CustomerId;
use jackdaw_policy::direct::{PromptPart, PromptShape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;

/// Distribution of the requests of one class.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// Frequency of the class relative to the other classes.
    pub weight: f64,
    /// Tokens of the prompt part shared by all requests of the class.
    pub common_tokens: u32,
    /// Tokens of the prompt part shared by all requests about one subject.
    pub subject_tokens: u32,
    /// Number of subjects, chosen with equal probability.
    pub subjects: u64,
    /// Mean number of prompt tokens that belong to one request alone, log-normally distributed.
    pub own_tokens: f64,
    /// Standard deviation of the logarithm of these tokens.
    pub own_spread: f64,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Maximum time to the first event of an answer that is on time.
    pub latency_objective: Duration,
}

/// Statistics of the requests that arrive over a period.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// Length of the period.
    pub duration: Duration,
    /// Mean number of requests per second, all customers together.
    pub requests_per_second: f64,
    /// Request classes, drawn by their weights.
    pub classes: Vec<RequestClass>,
    /// Relative request rate of each customer.
    pub customer_weights: Vec<f64>,
    /// Number of requests per burst; 1 gives independent arrivals.
    pub burst_size: u32,
}

/// Request drawn from a load pattern.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Time of arrival in microseconds after the start of the simulation.
    pub arrival: u64,
    /// Customer on whose behalf the request is sent.
    pub customer: CustomerId,
    /// Index of the request class in the load pattern.
    pub class: usize,
    /// Size and shareable parts of the prompt.
    pub prompt: PromptShape,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Maximum time to the first event of an answer that is on time.
    pub latency_objective: Duration,
}

/// Returns the three request classes of an assistant: long drafts, questions and tags.
pub fn assistant_classes() -> Vec<RequestClass> {
    vec![
        RequestClass {
            weight: 0.2,
            common_tokens: 512,
            subject_tokens: 4870,
            subjects: 235,
            own_tokens: 6610.0,
            own_spread: 1.0,
            output_tokens: 380,
            latency_objective: Duration::from_millis(800),
        },
        RequestClass {
            weight: 0.34,
            common_tokens: 119,
            subject_tokens: 79,
            subjects: 346,
            own_tokens: 628.0,
            own_spread: 0.8,
            output_tokens: 290,
            latency_objective: Duration::from_millis(500),
        },
        RequestClass {
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
    /// Draws the requests of the pattern, sorted by arrival. Bursts form a Poisson process.
    pub fn draw(&self, seed: u64) -> Vec<ModelRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let duration = self.duration.as_secs_f64();
        let bursts_per_second = self.requests_per_second / f64::from(self.burst_size);
        let mut requests = Vec::new();
        let mut time = 0.0;
        loop {
            time += -f64::ln(1.0 - rng.random::<f64>()) / bursts_per_second;
            if time >= duration {
                break;
            }
            for _ in 0..self.burst_size {
                // The requests of a burst arrive within 30 milliseconds.
                let arrival = time + rng.random::<f64>() * 0.03;
                requests.push(self.draw_request((arrival * 1e6) as u64, &mut rng));
            }
        }
        requests.sort_by_key(|request| request.arrival);
        requests
    }

    fn draw_request(&self, arrival: u64, rng: &mut ChaCha8Rng) -> ModelRequest {
        let weights: Vec<f64> = self.classes.iter().map(|class| class.weight).collect();
        let class_index = pick_weighted(&weights, rng);
        let customer = pick_weighted(&self.customer_weights, rng);
        let class = &self.classes[class_index];
        let subject = rng.random_range(0..class.subjects);
        let spread = class.own_spread;
        let deviation = draw_normal(rng);
        let own = class.own_tokens * f64::exp(spread * deviation - spread * spread / 2.0);
        let own = own.clamp(16.0, 8.0 * class.own_tokens) as u32;
        let first_id = (class_index as u64 + 1) << 40;
        let parts = smallvec![
            PromptPart { id: first_id, tokens: class.common_tokens },
            PromptPart { id: first_id + 1 + subject, tokens: class.subject_tokens },
            PromptPart { id: rng.random(), tokens: own },
        ];
        let prompt_tokens = class.common_tokens + class.subject_tokens + own;
        let prompt = PromptShape { parts, prompt_tokens, output_tokens: class.output_tokens };
        ModelRequest {
            arrival,
            customer: CustomerId(customer as u64),
            class: class_index,
            prompt,
            output_tokens: class.output_tokens,
            latency_objective: class.latency_objective,
        }
    }
}

/// Draws an index with a probability proportional to its weight.
fn pick_weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn draw_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = f64::sqrt(-2.0 * f64::ln(1.0 - rng.random::<f64>()));
    radius * f64::cos(std::f64::consts::TAU * rng.random::<f64>())
}
