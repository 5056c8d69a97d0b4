//! Speeds of uneven targets, learned from the times to the first events of runs.

use std::time::Duration;

use jackdaw_policy::direct::{TargetId, TargetSpeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prefill times per token in microseconds of a fleet in which a quarter of the targets is half as fast
/// as the others.
const TOKEN_MICROS: [f64; 4] = [18.0, 8.25, 8.25, 8.25];

/// Time to the first event without prefill.
const OVERHEAD_MICROS: f64 = 12_000.0;

/// Records runs of unequal size at all targets in turn, some of which wait for unknown requests.
fn record_runs(speeds: &mut TargetSpeed, count: u64, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for number in 0..count {
        let index = (number % 4) as usize;
        let tokens: u64 = if random.random_bool(0.5) {
            random.random_range(50..900)
        } else {
            random.random_range(1000..20_000)
        };
        let unknown: u64 = if random.random_bool(0.2) { random.random_range(0..5000) } else { 0 };
        let micros = OVERHEAD_MICROS + TOKEN_MICROS[index] * (tokens + unknown) as f64;
        let elapsed = Duration::from_micros(micros as u64);
        speeds.record_first_event(TargetId(index as u64), tokens, elapsed);
    }
}

/// Ten runs at each target, half of them long, tell the slow target from the fast ones.
#[test]
fn slow_targets_are_known_after_ten_runs() {
    let mut fast = 0;
    for seed in 0..20 {
        let mut speeds = TargetSpeed::default();
        record_runs(&mut speeds, 40, seed);
        let time = |target| speeds.prefill_time(TargetId(target), 10_000);
        assert!(time(0) > time(1).mul_f64(1.3), "seed {seed}: {:?}, {:?}", time(0), time(1));
        assert!(!speeds.is_fast(TargetId(0)), "seed {seed}");
        record_runs(&mut speeds, 160, seed);
        fast += (1..4).filter(|target| speeds.is_fast(TargetId(*target))).count();
    }
    // Most of the fast ones count as fast.
    assert!(fast > 20 * 3 / 2, "{fast} of 60");
}

/// Estimates of prefill and overhead are near the truth after some hundred runs.
#[test]
fn estimates_approach_the_truth() {
    let mut speeds = TargetSpeed::default();
    record_runs(&mut speeds, 1000, 1);
    for (index, micros) in TOKEN_MICROS.iter().enumerate() {
        let estimate =
            speeds.prefill_time(TargetId(index as u64), 1000).as_micros() as f64 / 1000.0;
        let error = (estimate - micros).abs() / micros;
        assert!(error < 0.25, "target {index}: {estimate} instead of {micros}");
    }
    let overhead = speeds.first_event_overhead().as_micros() as f64;
    assert!((OVERHEAD_MICROS * 0.7..OVERHEAD_MICROS * 1.5).contains(&overhead), "{overhead}");
}

/// A target that turns slow at noon is noticed within a second or two of its runs.
#[test]
fn target_at_half_speed_is_noticed() {
    let mut speeds = TargetSpeed::default();
    record_runs(&mut speeds, 400, 2);
    let before = speeds.prefill_time(TargetId(2), 10_000);
    for _ in 0..20 {
        let elapsed = Duration::from_micros((OVERHEAD_MICROS + 5000.0 * 16.5) as u64);
        speeds.record_first_event(TargetId(2), 5000, elapsed);
    }
    let after = speeds.prefill_time(TargetId(2), 10_000);
    assert!(after > before.mul_f64(1.4), "{before:?}, {after:?}");
    assert!(!speeds.is_fast(TargetId(2)));
}

/// One run that hangs does not make its target look slow for long.
#[test]
fn single_stall_is_bounded() {
    let mut speeds = TargetSpeed::default();
    record_runs(&mut speeds, 400, 3);
    let before = speeds.prefill_time(TargetId(1), 10_000);
    speeds.record_first_event(TargetId(1), 5000, Duration::from_secs(10));
    let after = speeds.prefill_time(TargetId(1), 10_000);
    assert!(after < before.mul_f64(1.5), "{before:?}, {after:?}");
}

/// Targets of equal speed are not told apart: none of them is fast.
#[test]
fn equal_targets_are_not_fast() {
    let mut speeds = TargetSpeed::default();
    for number in 0..400 {
        let elapsed = Duration::from_micros((OVERHEAD_MICROS + 4000.0 * 9.0) as u64);
        speeds.record_first_event(TargetId(number % 4), 4000, elapsed);
    }
    assert!((0..4).all(|target| !speeds.is_fast(TargetId(target))));
}
