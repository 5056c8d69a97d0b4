//! Committed traces give the outcomes that they state.

use std::fs;
use std::path::Path;

use jackdaw_base::ErrorKind;
use jackdaw_policy::replay;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(name);
    fs::read_to_string(path).expect("the trace is committed")
}

fn assert_stated(name: &str, steps: u64) {
    let report = replay(read(name).lines()).expect("the trace can be read");
    assert_eq!(report.mismatches, []);
    assert_eq!(report.steps, steps);
}

#[test]
fn agent_turns() {
    assert_stated("agent-turns.jsonl", 14);
}

#[test]
fn router_outcomes() {
    assert_stated("router-outcomes.jsonl", 18);
}

#[test]
fn account_home() {
    assert_stated("account-home.jsonl", 8);
}

#[test]
fn changed_outcome() {
    let text = read("router-outcomes.jsonl").replace("deadline-unreachable", "interrupted");
    let report = replay(text.lines()).expect("the trace can be read");
    assert_eq!(report.mismatches.len(), 1);
}

#[test]
fn unreadable_line() {
    let error = replay(["{\"line\":\"nothing\"}"]).expect_err("no such line");
    assert_eq!(*error.current_context(), ErrorKind::Malformed);
}

#[test]
fn step_without_start() {
    let text = read("agent-turns.jsonl");
    let error = replay(text.lines().skip(1)).expect_err("no start");
    assert_eq!(*error.current_context(), ErrorKind::Malformed);
}
