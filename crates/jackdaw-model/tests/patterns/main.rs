//! Patterns of load against the real decision code, each in a module of its name.

mod calm_bursts;
mod hot_customers;
mod shared_parts;
mod sustained_overload;

use std::time::Duration;

use jackdaw_model::load_pattern::assistant_mix;
use jackdaw_model::{FleetShape, LoadPattern, ModelCall, ModelFleet, ModelReport};

const SEEDS: [u64; 3] = [1, 2, 3];

fn draw(rate: f64, customers: Vec<f64>, seed: u64) -> Vec<ModelCall> {
    let length = Duration::from_secs(12);
    LoadPattern { length, rate, mix: assistant_mix(), customers, clump: 3 }.draw(seed)
}

fn play(calls: Vec<ModelCall>, seed: u64) -> ModelReport {
    ModelFleet::play(FleetShape::default(), calls, seed)
}
