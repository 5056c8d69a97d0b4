//! A flooded router: one customer's callers all reach a router with little processor time.

use std::time::Duration;

use jackdaw_policy::direct::{OverloadDetector, ShedAction};

use crate::common::at;

const PERIOD: Duration = Duration::from_millis(200);

fn gauge() -> OverloadDetector {
    OverloadDetector::new(at(0), PERIOD)
}

#[test]
fn ticks_in_time_are_no_lag() {
    let mut gauge = gauge();
    for number in 1..100 {
        assert_eq!(gauge.tick(at(number * 210)), ShedAction::None);
        assert_eq!(gauge.lag(at(number * 210 + 230)), Duration::ZERO);
    }
}

#[test]
fn flooded_router_sheds_after_two_late_ticks() {
    let mut gauge = gauge();
    assert_eq!(gauge.tick(at(700)), ShedAction::None);
    assert!(!gauge.is_shedding(at(700)));
    assert_eq!(gauge.tick(at(1400)), ShedAction::Start);
    assert!(gauge.is_shedding(at(1400)));
    assert_eq!(gauge.lag(at(1450)), Duration::from_millis(500));
}

/// A process that was stopped for seconds works on; what waited meanwhile is old all the same.
#[test]
fn stopped_process_is_late_once() {
    let mut gauge = gauge();
    gauge.tick(at(200));
    assert_eq!(gauge.lag(at(5200)), Duration::from_millis(4800));
    assert_eq!(gauge.tick(at(5200)), ShedAction::None);
    assert_eq!(gauge.tick(at(5400)), ShedAction::None);
    assert!(!gauge.is_shedding(at(5400)));
    assert_eq!(gauge.lag(at(5450)), Duration::ZERO);
}

/// Callers who come back to a weak router find it shedding for longer each time.
#[test]
fn returning_flood_is_shed_for_longer() {
    let mut gauge = gauge();
    let mut now = 0;
    let mut spans = Vec::new();
    for _ in 0..4 {
        while gauge.tick(at(now)) != ShedAction::Start {
            now += 500;
        }
        let start = now;
        while gauge.is_shedding(at(now)) {
            now += 200;
            gauge.tick(at(now));
        }
        spans.push((now - start) / 1000);
    }
    assert_eq!(spans, [20, 40, 60, 60]);
    now += 120_000;
    gauge.tick(at(now));
    assert_eq!(gauge.tick(at(now + 500)), ShedAction::Start);
    assert!(!gauge.is_shedding(at(now + 21_000)));
}

/// Connected callers are moved once, when the balancer no longer sends them back.
#[test]
fn callers_move_after_the_balancer_has_noticed() {
    let mut gauge = gauge();
    gauge.tick(at(500));
    assert_eq!(gauge.tick(at(1000)), ShedAction::Start);
    assert!(!gauge.is_moving_callers(at(2000)));
    let steps: Vec<ShedAction> =
        (1..100).map(|number| gauge.tick(at(1000 + number * 200))).collect();
    assert_eq!(steps.iter().filter(|step| **step == ShedAction::MoveCallers).count(), 1);
    assert_eq!(steps[12], ShedAction::MoveCallers);
    assert!(gauge.is_moving_callers(at(5000)));
}

/// A router that serves what is at hand first keeps pace while connections wait all the while.
#[test]
fn waiting_connections_make_a_router_shed() {
    let mut gauge = gauge();
    let mut steps = Vec::new();
    for number in 1..20 {
        gauge.record_accept(at(number * 200 - 100), true);
        steps.push(gauge.tick(at(number * 200)));
    }
    let start = steps.iter().position(|step| *step == ShedAction::Start);
    assert!(start.is_some_and(|start| start <= 4), "{start:?}");
}

#[test]
fn connections_with_breaks_between_are_no_crowd() {
    let mut gauge = gauge();
    for number in 1..50 {
        gauge.record_accept(at(number * 200 - 150), true);
        gauge.record_accept(at(number * 200 - 50), number % 2 == 0);
        assert_eq!(gauge.tick(at(number * 200)), ShedAction::None);
    }
}
