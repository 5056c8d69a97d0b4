//! Recognition of callers' retries after a refusal by any router.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashMap;

use crate::direct::fleet::peer_report::RefusedRequest;

/// Time after its due time for which a retry is expected.
const RETRY_WINDOW: Duration = Duration::from_secs(6);

/// Fraction of the announced delay after which a retry is accepted as on time.
const EARLY_FRACTION: f64 = 0.9;

/// Maximum number of refused requests that are remembered.
const REFUSAL_LIMIT: usize = 8192;

/// Time for which a refusal is included in reports: one or two reports.
const REPORT_SPAN: Duration = Duration::from_millis(150);

/// Maximum number of refusals in one report.
const REPORT_LIMIT: usize = 64;

/// Refused requests by fingerprint, the digest of customer and content.
#[derive(Debug, Clone, Default)]
pub struct RefusalTracker {
    due: FxHashMap<u64, MonotonicTime>,
    recent: Vec<(u64, MonotonicTime, MonotonicTime)>,
}

impl RefusalTracker {
    /// Records a refusal by this router with the retry delay given to the caller.
    pub fn record_refusal(&mut self, now: MonotonicTime, fingerprint: u64, retry_after: Duration) {
        let due = now.after(retry_after.mul_f64(EARLY_FRACTION));
        self.insert(now, fingerprint, due);
        self.recent.retain(|(_, _, recorded)| now.since(*recorded) < REPORT_SPAN);
        self.recent.push((fingerprint, due, now));
    }

    /// Adds the refusals in another router's report.
    pub fn apply_report(&mut self, now: MonotonicTime, requests: &[RefusedRequest]) {
        for request in requests {
            let due = now.after(Duration::from_millis(u64::from(request.due_ms)));
            self.insert(now, request.fingerprint, due);
        }
    }

    /// Returns whether a request is the retry of a refused one, within the time window in which
    /// the retry is expected.
    pub fn is_caller_retry(&self, now: MonotonicTime, fingerprint: u64) -> bool {
        self.due.get(&fingerprint).is_some_and(|due| now >= *due && now.since(*due) < RETRY_WINDOW)
    }

    /// Returns this router's latest refusals for its report, newest first.
    pub fn recent(&mut self, now: MonotonicTime) -> Vec<RefusedRequest> {
        self.recent.retain(|(_, _, recorded)| now.since(*recorded) < REPORT_SPAN);
        let requests = self.recent.iter().rev().take(REPORT_LIMIT).map(|(fingerprint, due, _)| {
            let due_ms = due.since(now).as_millis() as u32;
            RefusedRequest { fingerprint: *fingerprint, due_ms }
        });
        requests.collect()
    }

    fn insert(&mut self, now: MonotonicTime, fingerprint: u64, due: MonotonicTime) {
        if self.due.len() >= REFUSAL_LIMIT {
            self.due.retain(|_, due| now.since(*due) < RETRY_WINDOW);
        }
        if self.due.len() < REFUSAL_LIMIT {
            self.due.insert(fingerprint, due);
        }
    }
}
