//! Failing targets receive fewer requests, or none for a limited time.

use jackdaw_policy::direct::{SendFailure, TargetHealth, TargetId};

use crate::common::at;

const TARGET: TargetId = TargetId(3);

#[test]
fn unreachable_target_is_excluded_for_longer_each_time() {
    let mut health = TargetHealth::default();
    let mut spans = Vec::new();
    let mut time = 1000;
    for _ in 0..6 {
        health.record_failure(at(time), TARGET, SendFailure::Unreachable);
        let start = time;
        while !health.is_usable(at(time), TARGET) {
            time += 10;
        }
        spans.push(time - start);
    }
    assert!(spans.windows(2).all(|pair| pair[0] <= pair[1]), "{spans:?}");
    assert!(spans[0] < 500 && *spans.last().expect("six") <= 2010, "{spans:?}");
}

#[test]
fn failure_rate_decays_without_outcomes() {
    let mut health = TargetHealth::default();
    for time in 0..20 {
        health.record_failure(at(time), TARGET, SendFailure::Failed);
    }
    assert!(health.failure_rate(at(20), TARGET) > 0.8);
    assert!(health.failure_rate(at(20_000), TARGET) < 0.05);
    assert!(health.is_usable(at(20), TARGET), "a failing target is avoided, not excluded");
}

#[test]
fn silent_target_gets_probes_only() {
    let mut health = TargetHealth::default();
    health.record_send(at(0), TARGET);
    assert!(health.is_usable(at(500), TARGET));
    assert!(
        !health.is_usable(at(1400), TARGET) || !health.is_usable(at(1401), TARGET) || {
            // The first check after the silence may allow the probe itself.
            health.record_send(at(1402), TARGET);
            !health.is_usable(at(1500), TARGET)
        }
    );
    health.record_response(at(1600), TARGET);
    assert!(health.is_usable(at(1601), TARGET));
}

#[test]
fn long_response_is_not_silence() {
    let mut health = TargetHealth::default();
    health.record_send(at(0), TARGET);
    health.record_response(at(100), TARGET);
    health.end_wait(at(100), TARGET);
    assert!(health.is_usable(at(60_000), TARGET), "no run waits for its first byte");
}
