//! `replay` of recorded traces.

use std::fs;

use jackdaw_base::{MonotonicTime, ProcessIncarnation, VmId};
use jackdaw_policy::{AgentCore, AgentEvent, AgentPolicy, TraceLine};

use crate::program::{RunResult, run};

/// Returns a trace in which a router joins an agent before the agent drains.
fn trace() -> Vec<TraceLine> {
    let (vm, incarnation, seed) = (VmId::from_name("agent-1"), ProcessIncarnation(7), 5);
    let policy = AgentPolicy::default();
    let mut core = AgentCore::new(policy.clone(), vm, incarnation, seed);
    let mut lines = vec![TraceLine::AgentStart { policy, vm, incarnation, seed }];
    let router = VmId::from_name("router-1");
    let events = [
        AgentEvent::RouterJoined { router },
        AgentEvent::TimerFired,
        AgentEvent::DrainStarted,
        AgentEvent::TimerFired,
    ];
    for (index, event) in events.into_iter().enumerate() {
        let now = MonotonicTime(1_000_000 * (index as u64 + 1));
        let mut commands = Vec::new();
        core.handle(now, event.clone(), &mut commands);
        lines.push(TraceLine::AgentStep { now, event, commands });
    }
    lines
}

/// Writes lines to a trace file and replays it.
fn replay(lines: &[String]) -> RunResult {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("trace.jsonl");
    fs::write(&path, lines.join("\n")).expect("written");
    run(&["replay", &path.display().to_string()])
}

fn encode(lines: &[TraceLine]) -> Vec<String> {
    lines.iter().map(|line| serde_json::to_string(line).expect("encoded")).collect()
}

#[test]
fn matching_trace_succeeds() {
    let result = replay(&encode(&trace()));
    assert_eq!(result.status, 0, "{result:?}");
    assert_eq!(result.output, "4 steps, 0 differ\n");
}

#[test]
fn mismatches_are_printed() {
    let mut lines = trace();
    let mut changed = 0;
    for line in &mut lines {
        if let TraceLine::AgentStep { commands, .. } = line
            && !commands.is_empty()
        {
            commands.clear();
            changed += 1;
        }
    }
    assert!(changed > 0, "the trace has commands");
    let result = replay(&encode(&lines));
    assert_eq!(result.status, 3, "{result:?}");
    assert!(result.output.contains(&format!("4 steps, {changed} differ")), "{result:?}");
    assert!(result.output.contains("stated []"), "{result:?}");
}

#[test]
fn invalid_trace_is_rejected() {
    let mut lines = encode(&trace());
    lines[2].truncate(9);
    let result = replay(&lines);
    assert_eq!(result.status, 3, "{result:?}");
    assert!(result.errors.contains("line 3 is not a trace line"), "{result:?}");
    lines.remove(0);
    assert!(replay(&lines).errors.contains("has not started"));
    assert_eq!(run(&["replay", "no-such-trace"]).status, 1);
}
