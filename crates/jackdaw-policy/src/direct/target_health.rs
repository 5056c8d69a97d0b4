//! Which targets fail, judged by the router's own sends.

use std::collections::HashMap;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

use crate::direct::target_table::TargetId;

/// Time for which a target is left out after its first failed connection; some connection timeouts
/// of a crashed process that starts again.
const FIRST_EXCLUSION: Duration = Duration::from_millis(250);

/// Longest time for which a target is left out.
const LONGEST_EXCLUSION: Duration = Duration::from_secs(2);

/// Time for which a target that turned a request away gets no others.
const FULL_EXCLUSION: Duration = Duration::from_millis(100);

/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Time in which a share of failures halves while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Silence of a target with unanswered runs after which it gets no others.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// Pause between requests that try a silent target again.
const SILENCE_TRIAL: Duration = Duration::from_millis(1500);

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection was made.
    Unreachable,
    /// The connection broke before the whole answer was there.
    Broken,
    /// The target answered with a failure of its own.
    Failed,
    /// Another target answers at the address.
    Replaced,
    /// The target turned the request away without running it.
    Full,
}

/// What the router has seen of one target.
#[derive(Debug, Clone, Copy)]
struct HealthRecord {
    excluded_until: MonotonicTime,
    next_exclusion: Duration,
    failure_rate: f64,
    changed: MonotonicTime,
    heard: MonotonicTime,
    /// The runs that wait for a first byte, and since when the target owes one.
    unanswered: u32,
    owing_since: MonotonicTime,
    last_trial: MonotonicTime,
}

impl HealthRecord {
    fn new(now: MonotonicTime) -> HealthRecord {
        HealthRecord {
            excluded_until: MonotonicTime(0),
            next_exclusion: FIRST_EXCLUSION,
            failure_rate: 0.0,
            changed: now,
            heard: now,
            unanswered: 0,
            owing_since: now,
            last_trial: MonotonicTime(0),
        }
    }

    fn current_rate(&self, now: MonotonicTime) -> f64 {
        let halvings = now.since(self.changed).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5f64.powf(halvings)
    }

    fn record_outcome(&mut self, now: MonotonicTime, is_failure: bool) {
        let share = self.current_rate(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate = share + OUTCOME_WEIGHT * (sample - share);
        self.changed = now;
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        let owing = now.since(self.owing_since.max(self.heard));
        self.unanswered > 0 && owing > SILENCE_LIMIT
    }
}

/// The router's own experience with targets.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    records: HashMap<TargetId, HealthRecord>,
}

impl TargetHealth {
    /// Returns whether a target may be sent a request now.
    pub fn is_usable(&self, now: MonotonicTime, target: TargetId) -> bool {
        let Some(record) = self.records.get(&target) else {
            return true;
        };
        if now < record.excluded_until {
            return false;
        }
        !record.is_silent(now) || now.since(record.last_trial) >= SILENCE_TRIAL
    }

    /// Returns the share of lately sent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime, target: TargetId) -> f64 {
        self.records.get(&target).map_or(0.0, |record| record.current_rate(now))
    }

    /// Notes a send.
    pub fn record_send(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        if record.is_silent(now) {
            record.last_trial = now;
        }
        if record.unanswered == 0 {
            record.owing_since = now;
        }
        record.unanswered += 1;
    }

    /// Notes that bytes of an answer came.
    pub fn record_response(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        record.heard = now;
        record.next_exclusion = FIRST_EXCLUSION;
    }

    /// Notes that a run no longer waits for its first byte.
    pub fn end_wait(&mut self, now: MonotonicTime, target: TargetId) {
        let record = self.entry(now, target);
        record.unanswered = record.unanswered.saturating_sub(1);
        record.owing_since = now;
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self, now: MonotonicTime, target: TargetId) {
        self.entry(now, target).record_outcome(now, false);
    }

    /// Notes a failed send; returns whether the target is left out for a while.
    pub fn record_failure(
        &mut self,
        now: MonotonicTime,
        target: TargetId,
        fault: SendFailure,
    ) -> bool {
        let record = self.entry(now, target);
        match fault {
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

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetId) -> bool) {
        self.records.retain(|target, _| is_known(*target));
    }

    fn entry(&mut self, now: MonotonicTime, target: TargetId) -> &mut HealthRecord {
        self.records.entry(target).or_insert_with(|| HealthRecord::new(now))
    }
}
