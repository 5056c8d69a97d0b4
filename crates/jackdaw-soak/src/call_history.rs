//! What callers sent and saw, against what targets ran.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use http::StatusCode;
use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body, echo_events};

/// Begin of the identifiers of requests that are checked by themselves.
pub const CHECK_PREFIX: &str = "check-";

/// Time after an unplanned fault within which connections may still break by it: a silent target
/// or store is noticed within three seconds.
const FAULT_GRACE: Duration = Duration::from_secs(4);

/// The kind of a request, as the sample configuration routes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// It may run more than once.
    Safe,
    /// It may run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that another target may go on with.
    Resumed,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 4] =
        [CallKind::Safe, CallKind::Once, CallKind::Stream, CallKind::Resumed];

    /// Returns the path of a request.
    pub fn path(self) -> &'static str {
        match self {
            CallKind::Safe => "/safe/x",
            CallKind::Once => "/once/x",
            CallKind::Stream => "/stream/x",
            CallKind::Resumed => "/resumed/x",
        }
    }

    fn is_repeatable(self) -> bool {
        matches!(self, CallKind::Safe | CallKind::Resumed)
    }
}

/// How a request ended for its caller.
#[derive(Debug)]
pub enum CallOutcome {
    /// It got an answer.
    Answered(CallerAnswer),
    /// The connection ended without an answer, or within its head.
    Broken,
    /// The caller gave up.
    Abandoned,
}

/// A request that was sent.
#[derive(Debug)]
pub struct SentCall {
    /// The identifier.
    pub id: String,
    /// The kind.
    pub kind: CallKind,
    /// The body.
    pub body: String,
    /// The time at which it was sent, after the start of the load.
    pub sent_at: Duration,
    /// The time of its end.
    pub ended_at: Duration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// All requests of a run.
#[derive(Debug, Default)]
pub struct CallHistory {
    calls: Vec<SentCall>,
}

impl CallHistory {
    /// Adds a request that has ended.
    pub fn add(&mut self, call: SentCall) {
        self.calls.push(call);
    }

    /// Returns the requests so far.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the requests by how they ended: a status, or `cut` and `left`.
    pub fn count_outcomes(&self) -> BTreeMap<String, usize> {
        let mut outcomes = BTreeMap::new();
        for call in &self.calls {
            let outcome = match &call.outcome {
                CallOutcome::Answered(CallerAnswer { body: Some(_), status, .. }) => {
                    status.as_u16().to_string()
                }
                CallOutcome::Answered(_) | CallOutcome::Broken => "cut".to_owned(),
                CallOutcome::Abandoned => "left".to_owned(),
            };
            *outcomes.entry(outcome).or_default() += 1;
        }
        outcomes
    }

    /// Returns the broken promises, given all that targets ran. `allows_cut_connections` tells
    /// whether unplanned faults may have broken connections within a span.
    pub fn violations(
        &self,
        runs: &[ReceivedRequest],
        allows_cut_connections: impl Fn(Duration, Duration, Duration) -> bool,
    ) -> Vec<String> {
        let mut by_id: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for run in runs {
            by_id.entry(run.id()).or_default().push(run);
        }
        let mut violations = Vec::new();
        for call in &self.calls {
            let runs = by_id.remove(call.id.as_str()).unwrap_or_default();
            violations.extend(call.violation(&runs, &allows_cut_connections).map(|what| {
                format!(
                    "{what}: {} {:?} sent at {:?}: {:?}",
                    call.id, call.kind, call.sent_at, call.outcome
                )
            }));
        }
        let unknown = by_id.keys().filter(|id| !id.starts_with(CHECK_PREFIX));
        violations.extend(unknown.map(|id| format!("a target ran {id}, which no caller sent")));
        violations
    }
}

impl SentCall {
    /// Returns the first promise that was broken for this request.
    fn violation(
        &self,
        runs: &[&ReceivedRequest],
        allows_cut_connections: impl Fn(Duration, Duration, Duration) -> bool,
    ) -> Option<&'static str> {
        if runs.len() > 1 && !self.kind.is_repeatable() {
            return Some("ran more than once");
        }
        if runs.iter().any(|run| run.body != self.body || run.path != self.kind.path()) {
            return Some("ran with another path or body");
        }
        let is_cut = match &self.outcome {
            CallOutcome::Answered(answer) if answer.body.is_some() => {
                return self.check_answer(answer, runs);
            }
            CallOutcome::Answered(_) | CallOutcome::Broken => !runs.is_empty(),
            CallOutcome::Abandoned => false,
        };
        let is_calm = !allows_cut_connections(self.sent_at, self.ended_at, FAULT_GRACE);
        (is_cut && is_calm).then_some("ran, and its answer was cut")
    }

    fn check_answer(
        &self,
        answer: &CallerAnswer,
        runs: &[&ReceivedRequest],
    ) -> Option<&'static str> {
        if answer.id() != Some(self.id.as_str()) {
            return Some("answered with another identifier");
        }
        if answer.status_means_not_run() {
            let is_untrue = !runs.is_empty() && !self.kind.is_repeatable();
            return is_untrue.then_some("refused, though it ran");
        }
        match answer.status {
            StatusCode::OK if runs.is_empty() => Some("answered, but no target ran it"),
            StatusCode::OK if !answer.is_signed() => Some("a success without signature"),
            StatusCode::OK => self.check_body(answer.body.as_deref()?),
            status if status.is_client_error() => Some("a proper request was denied"),
            _ => None,
        }
    }

    fn check_body(&self, body: &str) -> Option<&'static str> {
        let expected = match self.kind {
            CallKind::Safe | CallKind::Once => echo_body(&self.id, &self.body),
            CallKind::Stream | CallKind::Resumed => echo_events(&self.id, 0).concat(),
        };
        (body != expected).then_some("a whole answer with another body")
    }
}
