//! Long prompts beside streams whose events hold many tokens: prefill that follows prefill holds
//! back an event of every stream on the target beyond the pause that counts as on time.

use std::time::Duration;

use jackdaw_model::{EngineProfile, FleetProfile, ModelFleet, ModelReport};

use crate::{SEEDS, draw};

/// Class of the short questions, whose prefill is short and whose streams are long.
const QUESTIONS: usize = 1;

const PAUSE: Duration = Duration::from_millis(400);

/// Reduction of the late answers that makes the limit worth its refusals.
const LATE_FRACTION: f64 = 0.8;

/// Returns a report of engines with few slots and many tokens an event. `pause_objective` is what
/// the routes state.
fn simulate(pause_objective: Option<Duration>, seed: u64) -> ModelReport {
    let engine = EngineProfile {
        slots: 16,
        event_tokens: 14,
        memory_tokens: 538_000,
        ..EngineProfile::default()
    };
    let profile = FleetProfile {
        engines: 24,
        engine,
        event_gap_limit: PAUSE,
        pause_objective,
        tokens_per_second: 900_000,
        ..FleetProfile::default()
    };
    ModelFleet::simulate(profile, draw(400.0, vec![1.0; 16], seed), seed)
}

#[test]
fn prefill_is_spread_where_streams_pause() {
    let (mut late_before, mut late_after) = (0, 0);
    let (mut on_time_before, mut on_time_after) = (0, 0);
    for seed in SEEDS {
        let (before, after) = (simulate(None, seed), simulate(Some(PAUSE), seed));
        late_before += before.all.late;
        late_after += after.all.late;
        on_time_before += before.classes[&QUESTIONS].on_time;
        on_time_after += after.classes[&QUESTIONS].on_time;
        assert!(
            after.all.on_time >= before.all.on_time,
            "seed {seed}: {:?} before, {:?} after",
            before.all,
            after.all
        );
    }
    let limit = LATE_FRACTION * late_before as f64;
    assert!(late_after as f64 <= limit, "{late_before} late before, {late_after} after");
    assert!(on_time_after > on_time_before, "{on_time_before} before, {on_time_after} after");
}
