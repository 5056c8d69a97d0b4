//! Tests of the production decision code under load patterns, one module per pattern.

mod calm_bursts;
mod hot_customers;
mod prefill_bursts;
mod shared_parts;
mod sustained_overload;

use std::time::Duration;

use jackdaw_model::load_pattern::assistant_classes;
use jackdaw_model::{FleetProfile, LoadPattern, ModelFleet, ModelReport, ModelRequest};

const SEEDS: [u64; 3] = [1, 2, 3];

fn draw(requests_per_second: f64, customer_weights: Vec<f64>, seed: u64) -> Vec<ModelRequest> {
    let duration = Duration::from_secs(12);
    LoadPattern {
        duration,
        requests_per_second,
        classes: assistant_classes(),
        customer_weights,
        burst_size: 3,
    }
    .draw(seed)
}

fn simulate(requests: Vec<ModelRequest>, seed: u64) -> ModelReport {
    ModelFleet::simulate(FleetProfile::default(), requests, seed)
}
