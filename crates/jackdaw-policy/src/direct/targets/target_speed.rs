//! Estimate of each target's prefill speed and service time, based on measured response times.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::direct::target_id::TargetId;

/// Initial estimate of the prefill time per token in microseconds; an engine for models of this
/// size processes about a hundred tokens per millisecond.
const INITIAL_TOKEN_MICROS: f64 = 10.0;

/// Bounds of the prefill time per token, in microseconds.
const TOKEN_MICROS_RANGE: (f64, f64) = (1.0, 400.0);

/// Initial estimate of the time from an idle target's receipt of a request to its first event,
/// excluding prefill.
const INITIAL_OVERHEAD: Duration = Duration::from_millis(40);

/// Bounds of that time, in microseconds.
const OVERHEAD_RANGE: (f64, f64) = (1_000.0, 200_000.0);

/// Maximum number of tokens of a run whose time to the first event tells the overhead.
const OVERHEAD_TOKENS: u64 = 1000;

/// Quantile of the overheads of such runs that counts; others also waited for unknown requests.
const OVERHEAD_QUANTILE: f64 = 0.3;

/// Step by which the overhead follows its quantile, as a fraction of itself.
const OVERHEAD_STEP: f64 = 0.02;

/// Minimum number of tokens for which the time to the first event is dominated by prefill.
const SAMPLE_TOKENS: u64 = 1000;

/// Tokens that the mean over all targets counts for in the estimate of one target.
const PRIOR_TOKENS: f64 = 20_000.0;

/// Tokens of samples after which older ones have lost two thirds of their weight.
const SAMPLE_MEMORY_TOKENS: f64 = 100_000.0;

/// As [`SAMPLE_MEMORY_TOKENS`], for the mean over all targets.
const MEAN_MEMORY_TOKENS: f64 = 1_000_000.0;

/// Quantile of the targets' times per token that stands for the slow targets: one that fails is no
/// reason to count all others as fast.
const SLOW_QUANTILE: f64 = 0.85;

/// Time per token below which a target counts as fast, as a fraction of that of the slow targets. Equal
/// targets look more alike than this.
const FAST_FRACTION: f64 = 0.6;

/// Samples after which the slow targets are determined again.
const SLOW_INTERVAL: u64 = 32;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Maximum value of a sample, as a multiple of the current estimate.
const SAMPLE_LIMIT: f64 = 3.0;

/// Initial estimate of the service time of a plain target.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// Decayed sums over samples of prefill.
#[derive(Debug, Clone, Copy, Default)]
struct PrefillSamples {
    micros: f64,
    tokens: f64,
}

impl PrefillSamples {
    fn add(&mut self, micros: f64, tokens: f64, memory: f64) {
        let kept = (-tokens / memory).exp();
        self.micros = self.micros * kept + micros;
        self.tokens = self.tokens * kept + tokens;
    }
}

/// Moving averages of target speeds; targets with few samples tend to the average over all targets.
#[derive(Debug, Clone)]
pub struct TargetSpeed {
    prefills: FxHashMap<TargetId, PrefillSamples>,
    mean_prefill: PrefillSamples,
    overhead_micros: f64,
    /// Time per token of the slow targets; `None` until there are samples.
    slow_token_micros: Option<f64>,
    /// Number of samples so far.
    samples: u64,
    service_micros: FxHashMap<TargetId, f64>,
    mean_service_micros: f64,
}

impl Default for TargetSpeed {
    fn default() -> TargetSpeed {
        TargetSpeed {
            prefills: FxHashMap::default(),
            mean_prefill: PrefillSamples {
                micros: INITIAL_TOKEN_MICROS * PRIOR_TOKENS,
                tokens: PRIOR_TOKENS,
            },
            overhead_micros: INITIAL_OVERHEAD.as_micros() as f64,
            slow_token_micros: None,
            samples: 0,
            service_micros: FxHashMap::default(),
            mean_service_micros: INITIAL_SERVICE_TIME.as_micros() as f64,
        }
    }
}

impl TargetSpeed {
    /// Returns the estimated time for a target to prefill `tokens`.
    pub fn prefill_time(&self, target: TargetId, tokens: u64) -> Duration {
        Duration::from_micros((self.token_micros(target) * tokens as f64) as u64)
    }

    /// Returns whether a target prefills clearly faster than the slow ones among the targets.
    pub fn is_fast(&self, target: TargetId) -> bool {
        self.slow_token_micros.is_some_and(|slow| self.token_micros(target) < FAST_FRACTION * slow)
    }

    /// Determines again how slow the slow targets are, once per [`SLOW_INTERVAL`] samples.
    fn review_slow_targets(&mut self) {
        self.samples += 1;
        if !self.samples.is_multiple_of(SLOW_INTERVAL) {
            return;
        }
        let mut micros: Vec<f64> =
            self.prefills.keys().map(|target| self.token_micros(*target)).collect();
        micros.sort_by(f64::total_cmp);
        let place = (micros.len() as f64 * SLOW_QUANTILE) as usize;
        self.slow_token_micros = micros.get(place).copied();
    }

    fn token_micros(&self, target: TargetId) -> f64 {
        let mean = self.mean_prefill.micros / self.mean_prefill.tokens;
        let (lowest, highest) = TOKEN_MICROS_RANGE;
        let Some(samples) = self.prefills.get(&target) else {
            return mean.clamp(lowest, highest);
        };
        let micros = samples.micros + mean * PRIOR_TOKENS;
        (micros / (samples.tokens + PRIOR_TOKENS)).clamp(lowest, highest)
    }

    /// Returns the time to the first event in addition to prefill.
    pub fn first_event_overhead(&self) -> Duration {
        Duration::from_micros(self.overhead_micros as u64)
    }

    /// Returns the estimated time for a plain target to serve one request.
    pub fn service_time(&self, target: TargetId) -> Duration {
        let micros = self.service_micros.get(&target).unwrap_or(&self.mean_service_micros);
        Duration::from_micros(*micros as u64)
    }

    /// Adds a sample from a run whose first event took `elapsed` while the target had to prefill
    /// `tokens`, including those queued before the run.
    pub fn record_first_event(&mut self, target: TargetId, tokens: u64, elapsed: Duration) {
        let (elapsed, count) = (elapsed.as_micros() as f64, tokens as f64);
        let token_micros = self.token_micros(target);
        if tokens <= OVERHEAD_TOKENS {
            let is_below = elapsed - token_micros * count < self.overhead_micros;
            let direction = OVERHEAD_QUANTILE - f64::from(u8::from(is_below));
            let (lowest, highest) = OVERHEAD_RANGE;
            let moved = self.overhead_micros * (1.0 + OVERHEAD_STEP * direction);
            self.overhead_micros = moved.clamp(lowest, highest);
        }
        if tokens < SAMPLE_TOKENS {
            return;
        }
        let prefill = (elapsed - self.overhead_micros).max(0.0);
        let micros = prefill.min(token_micros * count * SAMPLE_LIMIT);
        self.prefills.entry(target).or_default().add(micros, count, SAMPLE_MEMORY_TOKENS);
        self.mean_prefill.add(micros, count, MEAN_MEMORY_TOKENS);
        self.review_slow_targets();
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
        self.prefills.retain(|target, _| is_known(*target));
        self.service_micros.retain(|target, _| is_known(*target));
    }
}
