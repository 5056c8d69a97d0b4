//! Replay of recorded decisions through the current code.
//!
//! A trace is a sequence of JSON lines. The first line of a role states the arguments that its
//! state machine was created with; each further line holds an event and the resulting commands. A
//! recording always begins when the process starts, since no line can express a later state.

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, MonotonicTime, ProcessIncarnation, VmId, plain_data};

use crate::agent::{AgentCore, AgentPolicy};
use crate::event::{AgentCommand, AgentEvent, RouterCommand, RouterEvent};
use crate::router::{RouterCore, RouterPolicy};

plain_data! {
    /// One line of a trace.
    #[serde(tag = "line", rename_all = "kebab-case")]
    pub enum TraceLine {
        /// An agent started.
        AgentStart {
            /// Parameters of the state machine.
            policy: AgentPolicy,
            /// VM of the agent.
            vm: VmId,
            /// Incarnation of the agent process.
            incarnation: ProcessIncarnation,
            /// Seed of the random generator.
            seed: u64,
        },
        /// The agent processed an event.
        AgentStep {
            /// Time of the event.
            now: MonotonicTime,
            /// Processed event.
            event: AgentEvent,
            /// Resulting commands.
            commands: Vec<AgentCommand>,
        },
        /// A router started.
        RouterStart {
            /// Parameters of the state machine.
            policy: RouterPolicy,
            /// VM of the router.
            vm: VmId,
            /// Incarnation of the router process.
            incarnation: ProcessIncarnation,
            /// Seed of the random generator.
            seed: u64,
        },
        /// The router processed an event.
        RouterStep {
            /// Time of the event.
            now: MonotonicTime,
            /// Processed event.
            event: RouterEvent,
            /// Resulting commands.
            commands: Vec<RouterCommand>,
        },
    }
}

plain_data! {
    /// A step whose commands differ from those that the trace states.
    pub struct ReplayMismatch {
        /// Line number, counted from one.
        pub line: u64,
        /// Commands that the trace states, as JSON.
        pub stated: String,
        /// Commands that the current code returned, as JSON.
        pub found: String,
    }
}

plain_data! {
    /// Result of a replay.
    #[derive(Default)]
    pub struct ReplayReport {
        /// Number of replayed steps.
        pub steps: u64,
        /// Steps whose commands differ.
        pub mismatches: Vec<ReplayMismatch>,
    }
}

/// Replays a trace and compares the commands of each step with the stated ones; skips blank lines.
///
/// # Errors
///
/// Returns [`ErrorKind::Malformed`] if a line cannot be parsed or a step precedes the start of its
/// role.
pub fn replay<'a>(
    lines: impl IntoIterator<Item = &'a str>,
) -> Result<ReplayReport, Report<ErrorKind>> {
    let mut report = ReplayReport::default();
    let mut agent = None;
    let mut router = None;
    for (index, text) in lines.into_iter().enumerate() {
        if text.trim().is_empty() {
            continue;
        }
        let number = index as u64 + 1;
        let line = serde_json::from_str(text)
            .change_context(ErrorKind::Malformed)
            .attach_with(|| format!("line {number} is not a trace line"))?;
        match line {
            TraceLine::AgentStart { policy, vm, incarnation, seed } => {
                agent = Some(AgentCore::new(policy, vm, incarnation, seed));
            }
            TraceLine::RouterStart { policy, vm, incarnation, seed } => {
                router = Some(RouterCore::new(policy, vm, incarnation, seed));
            }
            TraceLine::AgentStep { now, event, commands } => {
                let core = agent.as_mut().ok_or_else(|| missing_start(number, "agent"))?;
                let mut found = Vec::new();
                core.handle(now, event, &mut found);
                report.compare(number, &commands, &found);
            }
            TraceLine::RouterStep { now, event, commands } => {
                let core = router.as_mut().ok_or_else(|| missing_start(number, "router"))?;
                let mut found = Vec::new();
                core.handle(now, event, &mut found);
                report.compare(number, &commands, &found);
            }
        }
    }
    Ok(report)
}

impl ReplayReport {
    fn compare<T: PartialEq + serde::Serialize>(&mut self, line: u64, stated: &T, found: &T) {
        self.steps += 1;
        if stated == found {
            return;
        }
        let json = |value: &T| serde_json::to_string(value).unwrap_or_default();
        let (stated, found) = (json(stated), json(found));
        self.mismatches.push(ReplayMismatch { line, stated, found });
    }
}

fn missing_start(line: u64, role: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::Malformed)
        .attach(format!("line {line} is a step of a {role} that has not started"))
}
