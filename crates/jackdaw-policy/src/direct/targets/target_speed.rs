//! Estimate of each target's prefill speed and service time, based on measured response times.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::direct::target_id::TargetId;

/// Initial estimate of the prefill time per token in microseconds; an engine for models of this
/// size processes about a hundred tokens per millisecond.
const INITIAL_TOKEN_MICROS: f64 = 10.0;

/// Bounds of the prefill time per token, in microseconds.
const TOKEN_MICROS_RANGE: (f64, f64) = (1.0, 400.0);

/// Time from an idle target's receipt of a request to its first event, excluding prefill.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(40);

/// Minimum number of tokens for which the time to the first event is dominated by prefill.
const SAMPLE_TOKENS: u64 = 3000;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Maximum value of a sample, as a multiple of the current estimate.
const SAMPLE_LIMIT: f64 = 3.0;

/// Initial estimate of the service time of a plain target.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Moving averages of target speeds; targets without samples use the average over all targets.
#[derive(Debug, Clone)]
pub struct TargetSpeed {
    token_micros: FxHashMap<TargetId, f64>,
    mean_token_micros: f64,
    service_micros: FxHashMap<TargetId, f64>,
    mean_service_micros: f64,
}

impl Default for TargetSpeed {
    fn default() -> TargetSpeed {
        TargetSpeed {
            token_micros: FxHashMap::default(),
            mean_token_micros: INITIAL_TOKEN_MICROS,
            service_micros: FxHashMap::default(),
            mean_service_micros: INITIAL_SERVICE_TIME.as_micros() as f64,
        }
    }
}

impl TargetSpeed {
    /// Returns the estimated time for a target to prefill `tokens`.
    pub fn prefill_time(&self, target: TargetId, tokens: u64) -> Duration {
        let micros = self.token_micros.get(&target).unwrap_or(&self.mean_token_micros);
        Duration::from_micros((micros * tokens as f64) as u64)
    }

    /// Returns the time to the first event in addition to prefill.
    pub fn first_event_overhead(&self) -> Duration {
        FIRST_EVENT_OVERHEAD
    }

    /// Returns the estimated time for a plain target to serve one request.
    pub fn service_time(&self, target: TargetId) -> Duration {
        let micros = self.service_micros.get(&target).unwrap_or(&self.mean_service_micros);
        Duration::from_micros(*micros as u64)
    }

    /// Adds a sample from a run whose first event took `elapsed` while the target had to prefill
    /// `tokens`, including those queued before the run. Samples of few tokens are ignored.
    pub fn record_first_event(&mut self, target: TargetId, tokens: u64, elapsed: Duration) {
        if tokens < SAMPLE_TOKENS {
            return;
        }
        let prefill = elapsed.saturating_sub(FIRST_EVENT_OVERHEAD);
        let sample = prefill.as_micros() as f64 / tokens as f64;
        let mean = self.mean_token_micros;
        let estimate = self.token_micros.entry(target).or_insert(mean);
        *estimate = blend(*estimate, sample);
        self.mean_token_micros = blend(mean, sample);
    }

    /// Adds a sample from a plain request to which a target responded within `elapsed`.
    pub fn record_service_time(&mut self, target: TargetId, elapsed: Duration) {
        let sample = elapsed.as_micros() as f64;
        let mean = self.mean_service_micros;
        let estimate = self.service_micros.entry(target).or_insert(mean);
        *estimate += SAMPLE_WEIGHT * (sample.min(*estimate * SAMPLE_LIMIT) - *estimate);
        self.mean_service_micros += SAMPLE_WEIGHT * (sample.min(mean * SAMPLE_LIMIT) - mean);
    }

    /// Drops the estimates of targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.token_micros.retain(|target, _| is_known(*target));
        self.service_micros.retain(|target, _| is_known(*target));
    }
}

fn blend(estimate: f64, sample: f64) -> f64 {
    let (lowest, highest) = TOKEN_MICROS_RANGE;
    let bounded = sample.min(estimate * SAMPLE_LIMIT).clamp(lowest, highest);
    estimate + SAMPLE_WEIGHT * (bounded - estimate)
}
