//! Recorded decisions, run again through the same code.
//!
//! A trace is a sequence of JSON lines. The first one of a role states what the core was made
//! of, each further one an event with the commands that it led to. A recording starts with the
//! process: there is no line for a state in between.

use error_stack::{Report, ResultExt};
use jackdaw_base::{ErrorKind, MonotonicTime, ProcessIncarnation, VmId, plain_data};

use crate::agent::{AgentCore, AgentPolicy};
use crate::event::{AgentCommand, AgentEvent, RouterCommand, RouterEvent};
use crate::router::{RouterCore, RouterPolicy};

plain_data! {
    /// Line of a trace.
    #[serde(tag = "line", rename_all = "kebab-case")]
    pub enum TraceLine {
        /// An agent has started.
        AgentStart {
            /// The parameters.
            policy: AgentPolicy,
            /// The agent's VM.
            vm: VmId,
            /// The agent's incarnation.
            incarnation: ProcessIncarnation,
            /// The seed of its generator.
            seed: u64,
        },
        /// An event at the agent, and its outcome.
        AgentStep {
            /// The time of the event.
            now: MonotonicTime,
            /// The event.
            event: AgentEvent,
            /// The commands that it led to.
            commands: Vec<AgentCommand>,
        },
        /// A router has started.
        RouterStart {
            /// The parameters.
            policy: RouterPolicy,
            /// The router's VM.
            vm: VmId,
            /// The router's incarnation.
            incarnation: ProcessIncarnation,
            /// The seed of its generator.
            seed: u64,
        },
        /// An event at the router, and its outcome.
        RouterStep {
            /// The time of the event.
            now: MonotonicTime,
            /// The event.
            event: RouterEvent,
            /// The commands that it led to.
            commands: Vec<RouterCommand>,
        },
    }
}

plain_data! {
    /// A step whose outcome differs from the stated one.
    pub struct ReplayMismatch {
        /// The line, counted from one.
        pub line: u64,
        /// The commands that the trace states, as JSON.
        pub stated: String,
        /// The commands that the code gave, as JSON.
        pub found: String,
    }
}

plain_data! {
    /// Result of a replay.
    #[derive(Default)]
    pub struct ReplayReport {
        /// The number of steps.
        pub steps: u64,
        /// The steps whose outcome differs.
        pub mismatches: Vec<ReplayMismatch>,
    }
}

/// Runs a trace and compares each outcome with the stated one; blank lines are passed over.
///
/// # Errors
///
/// Returns [`ErrorKind::Malformed`] for a line that cannot be read or a step without a start.
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
            .attach_with(|| format!("line {number} is no line of a trace"))?;
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
