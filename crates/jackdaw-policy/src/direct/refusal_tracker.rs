//! Requests that were refused and told when to come back, by any router.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::peer_report::RefusedRequest;

/// Time after its due time for which a request is expected back.
const RETURN_SPAN: Duration = Duration::from_secs(6);

/// Part of the told time after which a request counts as back in time.
const EARLY_PART: f64 = 0.9;

/// Requests that are remembered at the most.
const RETURN_LIMIT: usize = 8192;

/// Time for which a refusal is told to the other routers: one report or two.
const REPORT_SPAN: Duration = Duration::from_millis(150);

/// Refusals that one report carries at the most.
const REPORT_LIMIT: usize = 64;

/// Refused requests by the digest of customer and content.
#[derive(Debug, Clone, Default)]
pub struct RefusalTracker {
    due: HashMap<u64, MonotonicTime>,
    recent: Vec<(u64, MonotonicTime, MonotonicTime)>,
}

impl RefusalTracker {
    /// Notes a refusal by this router.
    pub fn record_refusal(&mut self, now: MonotonicTime, fingerprint: u64, after: Duration) {
        let due = now.after(after.mul_f64(EARLY_PART));
        self.insert(now, fingerprint, due);
        self.recent.retain(|(_, _, noted)| now.since(*noted) < REPORT_SPAN);
        self.recent.push((fingerprint, due, now));
    }

    /// Takes in refusals by another router.
    pub fn apply_report(&mut self, now: MonotonicTime, calls: &[RefusedRequest]) {
        for call in calls {
            let due = now.after(Duration::from_millis(u64::from(call.due_ms)));
            self.insert(now, call.fingerprint, due);
        }
    }

    /// Returns whether a request comes back no earlier than it was told.
    pub fn is_caller_retry(&self, now: MonotonicTime, fingerprint: u64) -> bool {
        self.due.get(&fingerprint).is_some_and(|due| now >= *due && now.since(*due) < RETURN_SPAN)
    }

    /// Returns the newest refusals, for a report.
    pub fn recent(&mut self, now: MonotonicTime) -> Vec<RefusedRequest> {
        self.recent.retain(|(_, _, noted)| now.since(*noted) < REPORT_SPAN);
        let calls = self.recent.iter().rev().take(REPORT_LIMIT).map(|(fingerprint, due, _)| {
            let due_ms = due.since(now).as_millis() as u32;
            RefusedRequest { fingerprint: *fingerprint, due_ms }
        });
        calls.collect()
    }

    fn insert(&mut self, now: MonotonicTime, fingerprint: u64, due: MonotonicTime) {
        if self.due.len() >= RETURN_LIMIT {
            self.due.retain(|_, due| now.since(*due) < RETURN_SPAN);
        }
        if self.due.len() < RETURN_LIMIT {
            self.due.insert(fingerprint, due);
        }
    }
}
