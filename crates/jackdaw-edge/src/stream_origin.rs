//! Binds a request to the software version that began its stream.

use std::time::{Duration, Instant};

use jackdaw_platform::StreamOrigin;
use jackdaw_policy::direct::{
    LookupResult, RefusalReason, RequestKind, StreamBinding, StreamKey, VersionRule,
};

use crate::local_response::LocalResponse;
use crate::request_context::RequestContext;
use crate::stream_exchange::LookupReport;

/// Delay after which a caller may try again if no other router could be asked for its stream; the retry
/// reaches another router.
const ISOLATED_RETRY: Duration = Duration::from_millis(300);

impl RequestContext {
    /// Records that the caller is about to get an event of the last selected target, if it holds none
    /// yet: from then on, the stream goes on only at the software version of that target.
    pub(crate) fn bind_version(&self) {
        let inner = &self.inner;
        if inner.version_rule.get() == VersionRule::Any {
            inner.version_rule.set(VersionRule::begun_at(inner.last_version_id.get()));
        }
        let RequestKind::Stream { resumable: true } = inner.request.route.kind else {
            return;
        };
        if let (VersionRule::Only(version), Some(key)) =
            (inner.version_rule.get(), self.stream_key())
        {
            let elapsed = inner.request.received.elapsed();
            let time_left = inner.request.head.timeout.saturating_sub(elapsed);
            inner.state.publish_binding(StreamBinding::new(key, version, time_left));
        }
    }

    /// Finds out which software version began the stream that the caller goes on with, if it holds
    /// events of one.
    ///
    /// # Errors
    ///
    /// The response to the caller if that is not known.
    pub(crate) async fn resolve_origin(&self) -> Result<(), LocalResponse> {
        let request = &self.inner.request;
        let is_stream = matches!(request.route.kind, RequestKind::Stream { .. });
        if !is_stream || request.head.origin == StreamOrigin::New {
            return Ok(());
        }
        let state = &self.inner.state;
        let started = Instant::now();
        let report = match state.streams() {
            Some(streams) => streams.look_up(state, self.stream_key(), &request.service).await,
            None => LookupReport::ISOLATED,
        };
        let (rule, label) = match report.result {
            LookupResult::Known(version) => (VersionRule::Only(version), "known"),
            LookupResult::Sole(version) => (VersionRule::Only(version), "sole"),
            LookupResult::Unknown { is_isolated: true } => (VersionRule::Unknown, "isolated"),
            LookupResult::Unknown { is_isolated: false } => (VersionRule::Unknown, "unknown"),
        };
        state.metrics.returns.inc();
        state.metrics.lookups.add(&[("result", label)], 1);
        self.log_return(&report, label, started.elapsed());
        self.inner.version_rule.set(rule);
        match report.result {
            LookupResult::Known(_) | LookupResult::Sole(_) => Ok(()),
            LookupResult::Unknown { is_isolated } => {
                let retry_after = if is_isolated { ISOLATED_RETRY } else { Duration::ZERO };
                Err(LocalResponse::refusal(RefusalReason::VersionUnknown, retry_after))
            }
        }
    }

    /// Logs that the caller goes on with a stream, and what is known about it.
    fn log_return(&self, report: &LookupReport, result: &str, elapsed: Duration) {
        let request = &self.inner.request;
        let first_attempt = match &request.head.origin {
            StreamOrigin::Attempt(id) => id.as_str(),
            StreamOrigin::New | StreamOrigin::Unstated => "",
        };
        let version = match report.result {
            LookupResult::Known(version) | LookupResult::Sole(version) => {
                self.inner.state.router().targets.version_name(version)
            }
            LookupResult::Unknown { .. } => None,
        };
        log::info!(
            request:% = request.head.id,
            first_attempt,
            result,
            version = version.unwrap_or_default(),
            asked = report.asked,
            answered = report.answered,
            lookup_ms = elapsed.as_millis() as u64;
            "caller goes on with a stream"
        );
    }

    /// Returns the key of the stream that the request begins or goes on with; `None` if the caller does
    /// not name it.
    fn stream_key(&self) -> Option<StreamKey> {
        let request = &self.inner.request;
        if request.head.origin == StreamOrigin::Unstated {
            return None;
        }
        let customer = request.customer.as_ref().map(|customer| customer.customer);
        Some(StreamKey::new(customer, request.head.first_attempt()))
    }
}
