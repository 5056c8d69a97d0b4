//! Replay of the committed traces returns the commands that they state.

use std::fs;
use std::path::Path;

use jackdaw_base::ErrorKind;
use jackdaw_policy::replay;

fn read_trace(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces").join(name);
    fs::read_to_string(path).expect("the trace file is readable")
}

fn assert_replay(name: &str, steps: u64) {
    let report = replay(read_trace(name).lines()).expect("the trace is well-formed");
    assert_eq!(report.mismatches, []);
    assert_eq!(report.steps, steps);
}

#[test]
fn agent_turns() {
    assert_replay("agent-turns.jsonl", 14);
}

#[test]
fn router_outcomes() {
    assert_replay("router-outcomes.jsonl", 18);
}

#[test]
fn account_home() {
    assert_replay("account-home.jsonl", 8);
}

#[test]
fn changed_outcome() {
    let text = read_trace("router-outcomes.jsonl").replace("deadline-unreachable", "interrupted");
    let report = replay(text.lines()).expect("the trace is well-formed");
    assert_eq!(report.mismatches.len(), 1);
}

#[test]
fn unreadable_line() {
    let error = replay(["{\"line\":\"nothing\"}"]).expect_err("the line has an unknown type");
    assert_eq!(*error.current_context(), ErrorKind::Malformed);
}

#[test]
fn step_without_start() {
    let text = read_trace("agent-turns.jsonl");
    let error = replay(text.lines().skip(1)).expect_err("the start line is missing");
    assert_eq!(*error.current_context(), ErrorKind::Malformed);
}
