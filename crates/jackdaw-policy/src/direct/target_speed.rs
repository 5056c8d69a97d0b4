//! How fast targets read prompts, learned from the times to first events.

use std::collections::HashMap;
use std::time::Duration;

use crate::direct::target_table::TargetId;

/// Reading time a token before anything was measured, in microseconds; an engine of the model's
/// class reads some hundred tokens a millisecond.
const INITIAL_TOKEN_MICROS: f64 = 10.0;

/// Bounds of the reading time a token, in microseconds.
const TOKEN_MICROS_RANGE: (f64, f64) = (1.0, 400.0);

/// Time from an idle target's receipt of a request to its first event, without reading.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(40);

/// Fewest tokens for which the time to the first event tells the reading time.
const SAMPLE_TOKENS: u64 = 3000;

/// Weight of a new sample against those before.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Longest effect of one sample, as a multiple of the present estimate.
const SAMPLE_LIMIT: f64 = 3.0;

/// Service time of a plain target before anything was measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Learned speeds of targets.
#[derive(Debug, Clone)]
pub struct TargetSpeed {
    token_micros: HashMap<TargetId, f64>,
    mean_token_micros: f64,
    service_micros: HashMap<TargetId, f64>,
    mean_service_micros: f64,
}

impl Default for TargetSpeed {
    fn default() -> TargetSpeed {
        TargetSpeed {
            token_micros: HashMap::new(),
            mean_token_micros: INITIAL_TOKEN_MICROS,
            service_micros: HashMap::new(),
            mean_service_micros: INITIAL_SERVICE_TIME.as_micros() as f64,
        }
    }
}

impl TargetSpeed {
    /// Returns the time in which a target reads a number of tokens.
    pub fn prefill_time(&self, target: TargetId, tokens: u64) -> Duration {
        let micros = self.token_micros.get(&target).unwrap_or(&self.mean_token_micros);
        Duration::from_micros((micros * tokens as f64) as u64)
    }

    /// Returns the time to the first event beyond reading.
    pub fn first_event_overhead(&self) -> Duration {
        FIRST_EVENT_OVERHEAD
    }

    /// Returns the time for which a plain target works on one request.
    pub fn service_time(&self, target: TargetId) -> Duration {
        let micros = self.service_micros.get(&target).unwrap_or(&self.mean_service_micros);
        Duration::from_micros(*micros as u64)
    }

    /// Learns from a run that had `tokens` to be read before its first event, itself included.
    pub fn record_first_event(&mut self, target: TargetId, tokens: u64, elapsed: Duration) {
        if tokens < SAMPLE_TOKENS {
            return;
        }
        let reading = elapsed.saturating_sub(FIRST_EVENT_OVERHEAD);
        let sample = reading.as_micros() as f64 / tokens as f64;
        let mean = self.mean_token_micros;
        let known = self.token_micros.entry(target).or_insert(mean);
        *known = blend(*known, sample);
        self.mean_token_micros = blend(mean, sample);
    }

    /// Learns from a plain request that a target answered.
    pub fn record_service_time(&mut self, target: TargetId, elapsed: Duration) {
        let sample = elapsed.as_micros() as f64;
        let mean = self.mean_service_micros;
        let known = self.service_micros.entry(target).or_insert(mean);
        *known += SAMPLE_WEIGHT * (sample.min(*known * SAMPLE_LIMIT) - *known);
        self.mean_service_micros += SAMPLE_WEIGHT * (sample.min(mean * SAMPLE_LIMIT) - mean);
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.token_micros.retain(|target, _| is_known(*target));
        self.service_micros.retain(|target, _| is_known(*target));
    }
}

fn blend(known: f64, sample: f64) -> f64 {
    let (least, most) = TOKEN_MICROS_RANGE;
    let bounded = sample.min(known * SAMPLE_LIMIT).clamp(least, most);
    known + SAMPLE_WEIGHT * (bounded - known)
}
