//! Tests of the checks by which the soak test finds violated guarantees.

use std::time::Duration;

use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body};
use jackdaw_soak::call_history::{CallHistory, CallKind, CallOutcome, SentCall};
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
    history.add(SentCall { id, kind, body, sent_at: at(10), ended_at: at(11), outcome });
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
