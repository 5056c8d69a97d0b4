//! What callers sent and saw, against what targets ran.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use http::StatusCode;
use jackdaw_platform_standins::{CallerAnswer, ReceivedRequest, echo_body, echo_events};

/// Begin of the identifiers of requests that are checked by themselves.
pub const CHECK_PREFIX: &str = "check-";

/// Time after an unplanned fault within which connections may still break by it: a silent target
/// or store is noticed within three seconds.
const AFTERMATH: Duration = Duration::from_secs(4);

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

    fn may_repeat(self) -> bool {
        matches!(self, CallKind::Safe | CallKind::Resumed)
    }
}

/// How a request ended for its caller.
#[derive(Debug)]
pub enum CallEnd {
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
    pub sent: Duration,
    /// The time of its end.
    pub ended: Duration,
    /// How it ended.
    pub end: CallEnd,
}

/// All requests of a run.
#[derive(Debug, Default)]
pub struct PromiseBook {
    calls: Vec<SentCall>,
}

impl PromiseBook {
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
    pub fn ends(&self) -> BTreeMap<String, usize> {
        let mut ends = BTreeMap::new();
        for call in &self.calls {
            let end = match &call.end {
                CallEnd::Answered(CallerAnswer { body: Some(_), status, .. }) => {
                    status.as_u16().to_string()
                }
                CallEnd::Answered(_) | CallEnd::Broken => "cut".to_owned(),
                CallEnd::Abandoned => "left".to_owned(),
            };
            *ends.entry(end).or_default() += 1;
        }
        ends
    }

    /// Returns the broken promises, given all that targets ran. `is_disturbed` tells whether
    /// unplanned faults may have broken connections within a span.
    pub fn broken(
        &self,
        runs: &[ReceivedRequest],
        is_disturbed: impl Fn(Duration, Duration, Duration) -> bool,
    ) -> Vec<String> {
        let mut by_id: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
        for run in runs {
            by_id.entry(run.id()).or_default().push(run);
        }
        let mut broken = Vec::new();
        for call in &self.calls {
            let runs = by_id.remove(call.id.as_str()).unwrap_or_default();
            broken.extend(call.broken(&runs, &is_disturbed).map(|what| {
                format!(
                    "{what}: {} {:?} sent at {:?}: {:?}",
                    call.id, call.kind, call.sent, call.end
                )
            }));
        }
        let unknown = by_id.keys().filter(|id| !id.starts_with(CHECK_PREFIX));
        broken.extend(unknown.map(|id| format!("a target ran {id}, which no caller sent")));
        broken
    }
}

impl SentCall {
    /// Returns the first promise that was broken for this request.
    fn broken(
        &self,
        runs: &[&ReceivedRequest],
        is_disturbed: impl Fn(Duration, Duration, Duration) -> bool,
    ) -> Option<&'static str> {
        if runs.len() > 1 && !self.kind.may_repeat() {
            return Some("ran more than once");
        }
        if runs.iter().any(|run| run.body != self.body || run.path != self.kind.path()) {
            return Some("ran with another path or body");
        }
        let is_cut = match &self.end {
            CallEnd::Answered(answer) if answer.body.is_some() => {
                return self.wrong_answer(answer, runs);
            }
            CallEnd::Answered(_) | CallEnd::Broken => !runs.is_empty(),
            CallEnd::Abandoned => false,
        };
        let is_calm = !is_disturbed(self.sent, self.ended, AFTERMATH);
        (is_cut && is_calm).then_some("ran, and its answer was cut")
    }

    fn wrong_answer(
        &self,
        answer: &CallerAnswer,
        runs: &[&ReceivedRequest],
    ) -> Option<&'static str> {
        if answer.id() != Some(self.id.as_str()) {
            return Some("answered with another identifier");
        }
        if answer.status_means_not_run() {
            let is_untrue = !runs.is_empty() && !self.kind.may_repeat();
            return is_untrue.then_some("refused, though it ran");
        }
        match answer.status {
            StatusCode::OK if runs.is_empty() => Some("answered, but no target ran it"),
            StatusCode::OK if !answer.is_signed() => Some("a success without signature"),
            StatusCode::OK => self.wrong_body(answer.body.as_deref()?),
            status if status.is_client_error() => Some("a proper request was denied"),
            _ => None,
        }
    }

    fn wrong_body(&self, body: &str) -> Option<&'static str> {
        let expected = match self.kind {
            CallKind::Safe | CallKind::Once => echo_body(&self.id, &self.body),
            CallKind::Stream | CallKind::Resumed => echo_events(&self.id, 0).concat(),
        };
        (body != expected).then_some("a whole answer with another body")
    }
}
