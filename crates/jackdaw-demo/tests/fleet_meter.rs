//! Fairness gap and utilisation computed from engine usage.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::CustomerShare;
use jackdaw_demo::meter::FleetMeter;
use jackdaw_standin::EngineUsage;
use jackdaw_standin::engine::UserTally;

/// Returns the usage of an engine with users given by name, tokens and running requests.
fn usage(users: &[(&str, u64, usize)], place_millis: u64) -> EngineUsage {
    let mut map = BTreeMap::new();
    for (name, tokens, running) in users {
        let user = UserTally { requests: 0, tokens: *tokens, running: *running };
        map.insert((*name).to_owned(), user);
    }
    let place_time = Duration::from_millis(place_millis);
    EngineUsage { users: map, place_time, ..EngineUsage::default() }
}

/// Returns three customers with shares of 1, 2 and 1.
fn customers() -> Vec<(String, CustomerShare)> {
    let names = [("a", 1), ("b", 2), ("c", 1)];
    names.iter().map(|(name, share)| ((*name).to_owned(), CustomerShare(*share))).collect()
}

#[test]
fn gap_and_mean_are_divided_by_share() {
    let before = usage(&[("a", 100, 1), ("b", 0, 1)], 0);
    let mut meter = FleetMeter::open(&customers(), 4, &[before]);
    let first = usage(&[("a", 200, 1), ("b", 100, 1)], 100);
    meter.sample(Duration::from_millis(100), &[5, 5, 0], &[first]);
    let last = [usage(&[("a", 500, 1), ("b", 300, 1)], 200), usage(&[("b", 300, 1)], 100)];
    meter.sample(Duration::from_millis(200), &[5, 5, 0], &last);
    let stats = meter.close(&last);
    assert_eq!(stats.fairness_gap_tokens, 100.0);
    assert_eq!(stats.mean_normal_tokens, 350.0);
    assert!(!stats.customers[2].is_backlogged);
}

#[test]
fn utilisation_covers_only_waiting_time() {
    let mut meter = FleetMeter::open(&customers(), 4, &[usage(&[], 0)]);
    // No request waits, so idle places do not lower the utilisation.
    meter.sample(Duration::from_millis(100), &[1, 0, 0], &[usage(&[("a", 0, 1)], 50)]);
    meter.sample(Duration::from_millis(200), &[3, 0, 0], &[usage(&[("a", 0, 1)], 100)]);
    // Requests wait for the next 100 ms, in which three of four places are busy.
    meter.sample(Duration::from_millis(300), &[5, 0, 0], &[usage(&[("a", 0, 3)], 400)]);
    meter.sample(Duration::from_millis(400), &[0, 0, 0], &[usage(&[], 400)]);
    let stats = meter.close(&[usage(&[], 400)]);
    assert_eq!(stats.utilisation_percent, 75.0);
    assert_eq!(stats.waiting_percent, 25.0);
}
