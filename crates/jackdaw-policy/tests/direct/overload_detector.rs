//! Detection of an overloaded router, as when all callers of one customer reach a router that has
//! little CPU time.

use std::time::Duration;

use jackdaw_policy::direct::{OverloadDetector, ShedAction};

use crate::common::at;

const PERIOD: Duration = Duration::from_millis(200);

fn detector() -> OverloadDetector {
    OverloadDetector::new(at(0), PERIOD)
}

#[test]
fn punctual_ticks_report_no_lag() {
    let mut detector = detector();
    for number in 1..100 {
        assert_eq!(detector.tick(at(number * 210)), ShedAction::None);
        assert_eq!(detector.lag(at(number * 210 + 230)), Duration::ZERO);
    }
}

#[test]
fn overloaded_router_sheds_after_two_late_ticks() {
    let mut detector = detector();
    assert_eq!(detector.tick(at(700)), ShedAction::None);
    assert!(!detector.is_shedding(at(700)));
    assert_eq!(detector.tick(at(1400)), ShedAction::Start);
    assert!(detector.is_shedding(at(1400)));
    assert_eq!(detector.lag(at(1450)), Duration::from_millis(500));
}

/// A process that was suspended for seconds resumes without shedding, but reports the lag of the
/// requests that waited meanwhile.
#[test]
fn suspended_process_is_late_once() {
    let mut detector = detector();
    detector.tick(at(200));
    assert_eq!(detector.lag(at(5200)), Duration::from_millis(4800));
    assert_eq!(detector.tick(at(5200)), ShedAction::None);
    assert_eq!(detector.tick(at(5400)), ShedAction::None);
    assert!(!detector.is_shedding(at(5400)));
    assert_eq!(detector.lag(at(5450)), Duration::ZERO);
}

/// If the overload returns after each shedding period, the periods grow up to the maximum.
#[test]
fn repeated_overload_is_shed_for_longer() {
    let mut detector = detector();
    let mut now = 0;
    let mut spans = Vec::new();
    for _ in 0..4 {
        while detector.tick(at(now)) != ShedAction::Start {
            now += 500;
        }
        let start = now;
        while detector.is_shedding(at(now)) {
            now += 200;
            detector.tick(at(now));
        }
        spans.push((now - start) / 1000);
    }
    assert_eq!(spans, [20, 40, 60, 60]);
    now += 120_000;
    detector.tick(at(now));
    assert_eq!(detector.tick(at(now + 500)), ShedAction::Start);
    assert!(!detector.is_shedding(at(now + 21_000)));
}

/// Connected callers are moved once per shedding period, as soon as the balancer no longer sends
/// them back to this router.
#[test]
fn callers_move_after_the_balancer_delay() {
    let mut detector = detector();
    detector.tick(at(500));
    assert_eq!(detector.tick(at(1000)), ShedAction::Start);
    assert!(!detector.is_moving_callers(at(2000)));
    let actions: Vec<ShedAction> =
        (1..100).map(|number| detector.tick(at(1000 + number * 200))).collect();
    assert_eq!(actions.iter().filter(|action| **action == ShedAction::MoveCallers).count(), 1);
    assert_eq!(actions[12], ShedAction::MoveCallers);
    assert!(detector.is_moving_callers(at(5000)));
}

/// A router that serves open requests first runs its timers on time, but connections keep waiting
/// to be accepted.
#[test]
fn accept_backlog_makes_a_router_shed() {
    let mut detector = detector();
    let mut actions = Vec::new();
    for number in 1..20 {
        detector.record_accept(at(number * 200 - 100), true);
        actions.push(detector.tick(at(number * 200)));
    }
    let start = actions.iter().position(|action| *action == ShedAction::Start);
    assert!(start.is_some_and(|start| start <= 4), "{start:?}");
}

#[test]
fn interrupted_accept_backlog_does_not_shed() {
    let mut detector = detector();
    for number in 1..50 {
        detector.record_accept(at(number * 200 - 150), true);
        detector.record_accept(at(number * 200 - 50), number % 2 == 0);
        assert_eq!(detector.tick(at(number * 200)), ShedAction::None);
    }
}
