//! Passive health checks: detects failing targets from the router's own requests to them.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use rustc_hash::FxHashMap;

use crate::direct::target_id::TargetId;

/// Time for which a target is excluded after its first failed connection; a few connection timeouts
/// of a crashed process that restarts.
const FIRST_EXCLUSION: Duration = Duration::from_millis(250);

/// Longest time for which a target is excluded.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(2);

/// Time for which a target is excluded after it rejected a request.
const FULL_EXCLUSION: Duration = Duration::from_millis(100);

/// Weight of the latest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Time in which the failure rate halves while no outcome is recorded.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Longest pause that a target can ask for; a longer one is shortened to it, so that a malformed
/// value does not exclude the target for good.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// Time after the end of a pause within which the first request decides whether the target accepts
/// requests again. Other requests wait for its outcome at most this long.
const PAUSE_PROBE_TIME: Duration = Duration::from_secs(1);

/// Time without any response from a target with unanswered runs after which it is excluded.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Interval between the probe requests sent to a silent target.
const PROBE_INTERVAL: Duration = Duration::from_millis(1500);

/// How sending a request to a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection could be established.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// The target responded with an error of its own.
    Failed,
    /// A different target responded at the address.
    Replaced,
    /// The target rejected the request without executing it.
    Full,
}

/// Outcomes of the router's requests to one target.
#[derive(Debug, Clone, Copy)]
struct HealthRecord {
    excluded_until: MonotonicTime,
    next_exclusion: Duration,
    failure_rate: f64,
    rate_time: MonotonicTime,
    last_response: MonotonicTime,
    /// Number of runs that wait for their first byte.
    unanswered: u32,
    /// Time from which the current wait for a first byte is counted.
    waiting_since: MonotonicTime,
    last_probe: MonotonicTime,
    pause: TargetPause,
}

/// Pause that a target asked this router for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetPause {
    /// The target accepts requests.
    None,
    /// The target wants no requests until this time, and then a single one as a probe.
    Until(MonotonicTime),
    /// The probe was sent at this time and has no outcome yet.
    Probing(MonotonicTime),
}

impl TargetPause {
    fn allows_requests(self, now: MonotonicTime) -> bool {
        match self {
            TargetPause::None => true,
            TargetPause::Until(end) => now >= end,
            TargetPause::Probing(sent) => now.since(sent) >= PAUSE_PROBE_TIME,
        }
    }
}

impl HealthRecord {
    fn new(now: MonotonicTime) -> HealthRecord {
        HealthRecord {
            excluded_until: MonotonicTime(0),
            next_exclusion: FIRST_EXCLUSION,
            failure_rate: 0.0,
            rate_time: now,
            last_response: now,
            unanswered: 0,
            waiting_since: now,
            last_probe: MonotonicTime(0),
            pause: TargetPause::None,
        }
    }

    fn current_rate(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.rate_time).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(halvings)
    }

    fn record_outcome(&mut self, now: MonotonicTime, is_failure: bool) {
        let rate = self.current_rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = rate + OUTCOME_WEIGHT * (sample - rate);
        self.rate_time = now;
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        let silence = now.since(self.waiting_since.max(self.last_response));
        self.unanswered > 0 && silence > SILENCE_LIMIT
    }
}

/// Health of all targets as observed by this router.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    records: FxHashMap<TargetId, HealthRecord>,
}

impl TargetHealth {
    /// Returns whether a target may receive a request now.
    pub fn is_usable(&self, now: MonotonicTime, target: TargetId) -> bool {
        let Some(record) = self.records.get(&target) else {
            return true;
        };
        if now < record.excluded_until || !record.pause.allows_requests(now) {
            return false;
        }
        !record.is_silent(now) || now.since(record.last_probe) >= PROBE_INTERVAL
    }

    /// Returns whether a request that was placed on a target may still be sent to it: the target has
    /// not asked for a pause in the meantime.
    pub fn accepts_placed(&self, now: MonotonicTime, target: TargetId) -> bool {
        let pause = self.records.get(&target).map(|record| record.pause);
        !matches!(pause, Some(TargetPause::Until(end)) if now < end)
    }

    /// Returns the rest of the pause that a target asked for; `None` if it asked for none.
    pub fn pause_left(&self, now: MonotonicTime, target: TargetId) -> Option<Duration> {
        match self.records.get(&target)?.pause {
            TargetPause::None => None,
            TargetPause::Until(end) => Some(end.since(now)),
            TargetPause::Probing(sent) => Some(PAUSE_PROBE_TIME.saturating_sub(now.since(sent))),
        }
    }

    /// Records that a target rejected a request and asked for a pause; returns the time for which
    /// the target is excluded. A shorter pause does not end a longer one.
    pub fn record_pause(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        pause: Duration,
    ) -> Duration {
        let record = self.entry(now, target);
        let end = now.after(pause.min(LONGEST_PAUSE));
        let end = match record.pause {
            TargetPause::Until(known) => known.max(end),
            TargetPause::None | TargetPause::Probing(_) => end,
        };
        record.pause = TargetPause::Until(end);
        end.since(now)
    }

    /// Records that a target responded to a request without asking for a pause, which ends the
    /// probing after an earlier one.
    pub fn record_acceptance(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        if let TargetPause::Probing(_) = record.pause {
            record.pause = TargetPause::None;
        }
    }

    /// Returns the recent failure rate of requests to a target, from 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime, target: TargetId) -> f64 {
        self.records.get(&target).map_or(0.0, |record| record.current_rate(now))
    }

    /// Records that a run was sent to a target.
    pub fn record_send(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        if record.is_silent(now) {
            record.last_probe = now;
        }
        if record.pause != TargetPause::None {
            record.pause = TargetPause::Probing(now);
        }
        if record.unanswered == 0 {
            record.waiting_since = now;
        }
        record.unanswered += 1;
    }

    /// Records that response bytes were received, which resets the exclusion backoff.
    pub fn record_response(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        record.last_response = now;
        record.next_exclusion = FIRST_EXCLUSION;
    }

    /// Records that a run no longer waits for its first byte.
    pub fn end_wait(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        record.unanswered = record.unanswered.saturating_sub(1);
        record.waiting_since = now;
    }

    /// Records a complete response.
    pub fn record_success(&mut self, now: MonotonicTime, target: TargetId) {
        self.entry(now, target).record_outcome(now, false);
    }

    /// Records a failure; returns whether the target is excluded with increasing backoff.
    pub fn record_failure(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        failure: SendFailure,
    ) -> bool {
        let record = self.entry(now, target);
        match failure {
            SendFailure::Broken | SendFailure::Failed => {
                record.record_outcome(now, true);
                false
            }
            SendFailure::Unreachable | SendFailure::Replaced => {
                record.record_outcome(now, true);
                record.excluded_until = now.after(record.next_exclusion);
                record.next_exclusion = (record.next_exclusion * 2).min(LONGEST_EXCLUSION);
                true
            }
            SendFailure::Full => {
                record.excluded_until = record.excluded_until.max(now.after(FULL_EXCLUSION));
                false
            }
        }
    }

    /// Drops the records of targets for which `is_known` returns false, except during their pauses:
    /// a target whose entry expired may register again.
    pub fn retain(&mut self, now: MonotonicTime, is_known: impl Fn(TargetId) -> bool) {
        let is_paused = |record: &HealthRecord| !record.pause.allows_requests(now);
        self.records.retain(|target, record| is_known(*target) || is_paused(record));
    }

    fn entry(&mut self, now: MonotonicTime, target: TargetId) -> &mut HealthRecord {
        self.records.entry(target).or_insert_with(|| HealthRecord::new(now))
    }
}
