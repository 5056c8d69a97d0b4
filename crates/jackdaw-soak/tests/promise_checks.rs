//! Tests of the checks by which the soak test finds violated guarantees.

use std::time::{Duration, Instant};

use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body, echo_events};
use jackdaw_soak::call_history::{CallHistory, CallKind, CallOutcome, HeldEvents, SentCall};
use jackdaw_soak::deadly_caller::{DeadlyArrival, find_violation};
use jackdaw_soak::{FaultKind, FaultPlan, PlannedFault, SoakSize};

const BODY: &str = "body";

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn run(id: &str, path: &str) -> ReceivedRequest {
    ReceivedRequest::new(id, path, BODY)
}

fn answer(id: &str, status: u16, body: Option<String>) -> CallOutcome {
    CallOutcome::Answered(CallerAnswer::signed(id, status, body))
}

/// Returns the violations found for one request, its outcome and the requests that targets ran.
fn find_violations(
    kind: CallKind,
    outcome: CallOutcome,
    runs: &[ReceivedRequest],
    allows_cut_connections: bool,
) -> Vec<String> {
    let mut history = CallHistory::default();
    let (id, body) = ("a".to_owned(), BODY.to_owned());
    let (sent_at, ended_at) = (at(10), at(11));
    history.add(SentCall { id, kind, body, held: None, sent_at, ended_at, outcome });
    history.violations(runs, |_, _, _| allows_cut_connections)
}

fn complete_answer() -> CallOutcome {
    answer("a", 200, Some(echo_body("a", BODY)))
}

#[test]
fn run_with_matching_answer_is_accepted() {
    let runs = [run("a", "/once/x")];
    assert!(find_violations(CallKind::Once, complete_answer(), &runs, false).is_empty());
}

#[test]
fn second_run_of_nonrepeatable_request_is_found() {
    let runs = [run("a", "/once/x"), run("a", "/once/x")];
    assert_eq!(find_violations(CallKind::Once, complete_answer(), &runs, true).len(), 1);
    let runs = [run("a", "/safe/x"), run("a", "/safe/x")];
    assert!(find_violations(CallKind::Safe, complete_answer(), &runs, true).is_empty());
}

#[test]
fn refusal_after_run_is_found() {
    let refused = || answer("a", 503, Some(String::new()));
    assert_eq!(find_violations(CallKind::Once, refused(), &[run("a", "/once/x")], true).len(), 1);
    assert!(find_violations(CallKind::Once, refused(), &[], true).is_empty());
}

#[test]
fn wrong_answers_are_found() {
    let runs = [run("a", "/once/x")];
    let wrong = [
        answer("b", 200, Some(echo_body("a", BODY))),
        answer("a", 200, Some(echo_body("b", BODY))),
        answer("a", 200, Some(String::new())),
        answer("a", 404, Some(String::new())),
    ];
    for outcome in wrong {
        assert_eq!(find_violations(CallKind::Once, outcome, &runs, true).len(), 1);
    }
    assert_eq!(find_violations(CallKind::Once, complete_answer(), &[], true).len(), 1);
}

#[test]
fn success_without_signature_is_found() {
    let unsigned = CallerAnswer::unsigned("a", 200, Some(echo_body("a", BODY)));
    let outcome = CallOutcome::Answered(unsigned);
    assert_eq!(find_violations(CallKind::Once, outcome, &[run("a", "/once/x")], true).len(), 1);
}

#[test]
fn changed_or_unknown_requests_are_found() {
    assert_eq!(
        find_violations(CallKind::Once, complete_answer(), &[run("a", "/safe/x")], true).len(),
        1
    );
    let runs = [run("a", "/once/x"), run("b", "/once/x")];
    assert_eq!(find_violations(CallKind::Once, complete_answer(), &runs, true).len(), 1);
}

#[test]
fn cut_answers_need_an_unplanned_fault() {
    let runs = [run("a", "/once/x")];
    assert!(find_violations(CallKind::Once, CallOutcome::Broken, &runs, true).is_empty());
    assert_eq!(find_violations(CallKind::Once, CallOutcome::Broken, &runs, false).len(), 1);
    assert_eq!(find_violations(CallKind::Once, answer("a", 200, None), &runs, false).len(), 1);
    assert!(find_violations(CallKind::Once, CallOutcome::Broken, &[], false).is_empty());
}

#[test]
fn plans_are_determined_by_seed() {
    let size = SoakSize { routers: 4, targets: 4, callers: 1, fault_window: at(8) };
    let plan = |seed| format!("{:?}", FaultPlan::draw(seed, &size).faults);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

#[test]
fn planned_faults_excuse_no_cut() {
    let fault =
        |kind| FaultPlan { faults: vec![PlannedFault { kind, start: at(5), duration: at(2) }] };
    assert!(fault(FaultKind::RouterKilled(0)).allows_cut_connections(at(6), at(7), at(0)));
    assert!(fault(FaultKind::RouterKilled(0)).allows_cut_connections(at(9), at(10), at(3)));
    assert!(!fault(FaultKind::RouterKilled(0)).allows_cut_connections(at(9), at(10), at(1)));
    assert!(!fault(FaultKind::RouterTerminated(0)).allows_cut_connections(at(6), at(7), at(0)));
}

/// Returns the violations of a stream that arrived as these events; `held` is what the caller had before.
fn stream_violations(events: &[String], is_complete: bool, held: Option<HeldEvents>) -> usize {
    let text = events.concat();
    let mut answer = CallerAnswer::signed("a", 200, is_complete.then(|| text.clone()));
    if !is_complete {
        answer.partial = text;
    }
    let mut history = CallHistory::default();
    let (id, body, outcome) = ("a".to_owned(), BODY.to_owned(), CallOutcome::Answered(answer));
    let (kind, sent_at, ended_at) = (CallKind::Resumed, at(10), at(11));
    history.add(SentCall { id, kind, body, held, sent_at, ended_at, outcome });
    history.violations(&[run("a", "/resumed/x")], |_, _, _| true).len()
}

/// Events of two software versions in one stream, in one answer or over two attempts.
#[test]
fn streams_of_two_versions_are_found() {
    let (first, second) = (echo_events("a", 0, "v1"), echo_events("a", 0, "v2"));
    let mixed = [&first[..2], &second[2..]].concat();
    assert_eq!(stream_violations(&first, true, None), 0);
    assert_eq!(stream_violations(&first[..3], false, None), 0);
    assert_eq!(stream_violations(&mixed, true, None), 1);
    assert_eq!(stream_violations(&mixed[..3], false, None), 1);
    let held = |version: &str| {
        let (first_attempt, version) = ("b".to_owned(), version.to_owned());
        Some(HeldEvents { first_attempt, last: 2, version })
    };
    assert_eq!(stream_violations(&first[2..], true, held("v1")), 0);
    assert_eq!(stream_violations(&first[2..], true, held("v2")), 1);
    assert_eq!(stream_violations(&first, true, held("v1")), 1, "events that the caller has");
}

#[test]
fn cut_streams_say_what_their_callers_have() {
    let cut = |partial: &str, held: Option<HeldEvents>| {
        let mut answer = CallerAnswer::signed("a", 200, None);
        answer.partial = partial.to_owned();
        let (id, body, outcome) = ("a".to_owned(), BODY.to_owned(), CallOutcome::Answered(answer));
        let (kind, sent_at, ended_at) = (CallKind::Resumed, at(10), at(11));
        SentCall { id, kind, body, held, sent_at, ended_at, outcome }.held_events()
    };
    let events = echo_events("a", 0, "v2").concat();
    let held = cut(&events[..events.len() - 3], None).expect("events");
    assert_eq!((held.first_attempt.as_str(), held.last, held.version.as_str()), ("a", 5, "v2"));
    assert_eq!(cut("id: 1\nda", None), None);
    let earlier = HeldEvents { first_attempt: "b".to_owned(), last: 2, version: "v1".to_owned() };
    assert_eq!(cut("", Some(earlier.clone())), Some(earlier));
}

/// A request that had crashed three targets may reach further ones in three attempts only.
#[test]
fn deadly_request_that_is_sent_on_is_found() {
    let origin = Instant::now();
    let arrive =
        |second: u64, id: &str| DeadlyArrival { id: id.to_owned(), time: origin + at(second) };
    let mut arrivals = vec![arrive(0, "a"), arrive(0, "b"), arrive(1, "c"), arrive(3, "d")];
    arrivals.extend([arrive(5, "e"), arrive(5, "e"), arrive(6, "f"), arrive(7, "g")]);
    assert_eq!(find_violation(&arrivals), None, "three attempts after 4 s");
    arrivals.push(arrive(8, "h"));
    assert!(find_violation(&arrivals).is_some(), "four attempts after 4 s");
}
