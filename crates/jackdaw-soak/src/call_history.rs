//! History of requests, checked against the requests that targets ran.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use http::StatusCode;
use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body, echo_events};

use crate::target_fleet::VERSIONS;

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

/// Events of a stream that a caller has from earlier attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldEvents {
    /// Attempt that brought the first event.
    pub first_attempt: String,
    /// Number of the last event.
    pub last: u64,
    /// Software version of the target that sent them.
    pub version: String,
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
    /// What the caller already has of the stream that it goes on with; `None` if it begins one.
    pub held: Option<HeldEvents>,
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
            CallOutcome::Answered(answer) => {
                if let Some(violation) = self.check_partial(&answer.partial) {
                    return Some(violation);
                }
                !runs.is_empty()
            }
            CallOutcome::Broken => !runs.is_empty(),
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
        let is_expected = match self.kind {
            CallKind::Safe | CallKind::Once => body == echo_body(&self.id, &self.body),
            CallKind::Stream | CallKind::Resumed => {
                self.possible_streams().iter().any(|stream| body == stream)
            }
        };
        (!is_expected).then_some("complete answer has a wrong body, or events of two versions")
    }

    /// Checks what arrived of a stream that was cut.
    fn check_partial(&self, partial: &str) -> Option<&'static str> {
        let is_stream = matches!(self.kind, CallKind::Stream | CallKind::Resumed);
        let is_expected = self.possible_streams().iter().any(|stream| stream.starts_with(partial));
        (is_stream && !is_expected)
            .then_some("cut stream has wrong events, or some of two versions")
    }

    /// Returns the complete streams that may answer the request: of one version, and of that which sent
    /// what the caller already has.
    fn possible_streams(&self) -> Vec<String> {
        let after = self.held.as_ref().map_or(0, |held| held.last);
        let may_begin =
            |version: &&str| self.held.as_ref().is_none_or(|held| held.version == **version);
        let versions = VERSIONS.iter().filter(|version| may_begin(version));
        versions.map(|version| echo_events(&self.id, after, version).concat()).collect()
    }

    /// Returns what the caller has of a stream after this request, if it was cut and may go on.
    pub fn held_events(&self) -> Option<HeldEvents> {
        let CallOutcome::Answered(CallerAnswer { body: None, partial, .. }) = &self.outcome else {
            return None;
        };
        if self.kind != CallKind::Resumed {
            return None;
        }
        let Some((events, _)) = partial.rsplit_once("\n\n") else {
            return self.held.clone();
        };
        let last = events.rsplit("\n\n").next()?;
        let (number, data) = last.strip_prefix("id: ")?.split_once('\n')?;
        let (_, version) = data.rsplit_once(' ')?;
        let first_attempt = self.held.as_ref().map_or(&self.id, |held| &held.first_attempt);
        Some(HeldEvents {
            first_attempt: first_attempt.clone(),
            last: number.parse().ok()?,
            version: version.to_owned(),
        })
    }
}
