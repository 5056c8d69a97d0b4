//! History of requests, checked against the requests that targets ran.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use http::StatusCode;
use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body, echo_events};

/// Prefix of the identifiers of the final checks' requests, which are not part of the history.
pub const CHECK_PREFIX: &str = "check-";

/// Time after an unplanned fault during which it may still cut connections: routers detect a silent
/// target or store within three seconds.
const FAULT_GRACE: Duration = Duration::from_secs(4);

/// Kind of a request by the route of the sample configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Request that may run more than once.
    Safe,
    /// Request that may run at most once.
    Once,
    /// Streaming request that may run at most once.
    Stream,
    /// Streaming request that another target may resume.
    Resumed,
}

impl CallKind {
    /// All kinds of requests.
    pub const ALL: [CallKind; 4] =
        [CallKind::Safe, CallKind::Once, CallKind::Stream, CallKind::Resumed];

    /// Returns the path that the sample configuration routes as this kind.
    pub fn path(self) -> &'static str {
        match self {
            CallKind::Safe => "/safe/x",
            CallKind::Once => "/once/x",
            CallKind::Stream => "/stream/x",
            CallKind::Resumed => "/resumed/x",
        }
    }

    fn is_idempotent(self) -> bool {
        matches!(self, CallKind::Safe | CallKind::Resumed)
    }
}

/// Outcome of a request as seen by its caller.
#[derive(Debug)]
pub enum CallOutcome {
    /// An answer arrived; its body is `None` if it was cut.
    Answered(CallerAnswer),
    /// The connection ended before the head of an answer was complete.
    Broken,
    /// The caller timed out.
    Abandoned,
}

/// Request with its outcome.
#[derive(Debug)]
pub struct SentCall {
    /// Identifier of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Body of the request.
    pub body: String,
    /// Time of sending, relative to the start of the load.
    pub sent_at: Duration,
    /// Time of the outcome, relative to the start of the load.
    pub ended_at: Duration,
    /// Outcome as seen by the caller.
    pub outcome: CallOutcome,
}

/// Completed requests of a run.
#[derive(Debug, Default)]
pub struct CallHistory {
    calls: Vec<SentCall>,
}

impl CallHistory {
    /// Appends a completed request.
    pub fn add(&mut self, call: SentCall) {
        self.calls.push(call);
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the history contains no requests.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Counts the requests by outcome: the status of a complete answer, `cut` for an answer that is
    /// missing or incomplete, or `left` for a caller that timed out.
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

    /// Returns a description of each violated guarantee, given all requests that targets ran.
    /// `allows_cut_connections` gets the start and end of a request and a grace time, and returns
    /// whether an unplanned fault may have cut its connection.
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
            violations.extend(call.violation(&runs, &allows_cut_connections).map(|violation| {
                format!(
                    "{violation}: {} {:?} sent at {:?}: {:?}",
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
    /// Returns the first guarantee that was violated for this request.
    fn violation(
        &self,
        runs: &[&ReceivedRequest],
        allows_cut_connections: impl Fn(Duration, Duration, Duration) -> bool,
    ) -> Option<&'static str> {
        if runs.len() > 1 && !self.kind.is_idempotent() {
            return Some("ran more than once");
        }
        if runs.iter().any(|run| run.body != self.body || run.path != self.kind.path()) {
            return Some("ran with a different path or body");
        }
        let is_cut = match &self.outcome {
            CallOutcome::Answered(answer) if answer.body.is_some() => {
                return self.check_answer(answer, runs);
            }
            CallOutcome::Answered(_) | CallOutcome::Broken => !runs.is_empty(),
            CallOutcome::Abandoned => false,
        };
        let is_unexcused = !allows_cut_connections(self.sent_at, self.ended_at, FAULT_GRACE);
        (is_cut && is_unexcused).then_some("ran, but its answer was cut without an unplanned fault")
    }

    /// Returns the first violation in an answer with a complete body.
    fn check_answer(
        &self,
        answer: &CallerAnswer,
        runs: &[&ReceivedRequest],
    ) -> Option<&'static str> {
        if answer.id() != Some(self.id.as_str()) {
            return Some("answered with the identifier of another request");
        }
        if answer.status_means_not_run() {
            let is_untrue = !runs.is_empty() && !self.kind.is_idempotent();
            return is_untrue.then_some("refused, although it ran");
        }
        match answer.status {
            StatusCode::OK if runs.is_empty() => Some("answered, but no target ran it"),
            StatusCode::OK if !answer.is_signed() => Some("successful answer is not signed"),
            StatusCode::OK => self.check_body(answer.body.as_deref()?),
            status if status.is_client_error() => Some("valid request was rejected"),
            _ => None,
        }
    }

    fn check_body(&self, body: &str) -> Option<&'static str> {
        let expected = match self.kind {
            CallKind::Safe | CallKind::Once => echo_body(&self.id, &self.body),
            CallKind::Stream | CallKind::Resumed => echo_events(&self.id, 0).concat(),
        };
        (body != expected).then_some("complete answer has a wrong body")
    }
}
