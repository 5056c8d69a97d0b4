//! Outcomes that callers observed, checked against the requests that the targets executed.

use std::collections::BTreeMap;

use jackdaw_base::plain_data;
use jackdaw_standin::{EngineTally, ServiceTally};

use crate::client::CallOutcome;

plain_data! {
    copy
    /// Number of calls by the outcome that the caller observed.
    #[derive(Default)]
    pub struct RequestCounts {
        /// The number of requests sent.
        pub sent: u64,
        /// The number of complete and correct answers.
        pub answered: u64,
        /// The number of requests that were answered "not run".
        pub not_run: u64,
        /// The number of requests whose execution is unknown to the caller.
        pub unknown: u64,
        /// The number of requests that were never answered.
        pub lost: u64,
        /// The number of answers that belong to another request.
        pub crossed: u64,
        /// The number of partial answers that nothing marked as incomplete.
        pub truncated: u64,
        /// The number of requests that ran although they were answered "not run".
        pub not_run_but_ran: u64,
    }
}

plain_data! {
    copy
    /// Number of recordings by their execution. A recording is a write with an idempotency key; all
    /// attempts to send it have the same key and count as one recording.
    #[derive(Default)]
    pub struct RecordingCounts {
        /// The number of recordings, each with a unique idempotency key.
        pub sent: u64,
        /// The number of times that a recording was resent through another router.
        pub resent: u64,
        /// The number of recordings that ran.
        pub ran: u64,
        /// The number of recordings that ran more than once.
        pub doubled: u64,
        /// The number of recordings that ran although every attempt was answered "not run".
        pub not_run_but_ran: u64,
        /// The number of recordings that did not run although an attempt was answered.
        pub answered_but_not_run: u64,
    }
}

/// Outcomes of the attempts to send one recording.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptCounts {
    /// The number of attempts.
    sent: u64,
    /// The number of complete and correct answers.
    answered: u64,
    /// The number of attempts that were answered "not run".
    not_run: u64,
}

/// Record of all calls and their outcomes.
#[derive(Debug, Clone, Default)]
pub struct CallLedger {
    /// Completions, reads and attempts of recordings.
    requests: RequestCounts,
    /// Identifiers of the prompts whose completions were answered "not run".
    not_run_prompts: Vec<u64>,
    /// Recordings by idempotency key.
    recordings: BTreeMap<String, AttemptCounts>,
}

impl CallLedger {
    /// Counts a call that is being sent; its outcome is recorded later.
    pub fn record_sent(&mut self) {
        self.requests.sent += 1;
    }

    /// Records the outcome of the completion of the prompt with the identifier `prompt`.
    pub fn record_completion(&mut self, prompt: u64, outcome: CallOutcome) {
        self.count_outcome(outcome);
        if matches!(outcome, CallOutcome::NotRun { .. }) {
            self.not_run_prompts.push(prompt);
        }
    }

    /// Records the outcome of a read.
    pub fn record_read(&mut self, outcome: CallOutcome) {
        self.count_outcome(outcome);
    }

    /// Records the outcome of one attempt to send the recording with the idempotency key `key`.
    pub fn record_recording_attempt(&mut self, key: &str, outcome: CallOutcome) {
        self.count_outcome(outcome);
        let attempts = self.recordings.entry(key.to_owned()).or_default();
        attempts.sent += 1;
        match outcome {
            CallOutcome::Answered => attempts.answered += 1,
            CallOutcome::NotRun { .. } => attempts.not_run += 1,
            CallOutcome::Unknown
            | CallOutcome::Lost
            | CallOutcome::Crossed
            | CallOutcome::Truncated => {}
        }
    }

    /// Returns the counts of all calls, with "not run" answers to completions checked against the
    /// prompts that the engines received. Calls without a recorded outcome count as lost.
    pub fn requests(&self, engines: &[EngineTally]) -> RequestCounts {
        let mut counts = self.requests;
        let ended = counts.answered + counts.not_run + counts.unknown;
        let incorrect = counts.lost + counts.crossed + counts.truncated;
        counts.lost += counts.sent.saturating_sub(ended + incorrect);
        for prompt in &self.not_run_prompts {
            if engines.iter().any(|engine| engine.prompts.contains_key(prompt)) {
                counts.not_run_but_ran += 1;
            }
        }
        counts
    }

    /// Returns the counts of recordings, based on the executions that the services counted.
    pub fn recordings(&self, services: &[ServiceTally]) -> RecordingCounts {
        let mut counts = RecordingCounts::default();
        for (key, attempts) in &self.recordings {
            let mut runs = 0;
            for service in services {
                runs += service.recordings.get(key).copied().unwrap_or_default();
            }
            counts.sent += 1;
            counts.resent += attempts.sent - 1;
            counts.ran += u64::from(runs > 0);
            counts.doubled += u64::from(runs > 1);
            counts.not_run_but_ran += u64::from(runs > 0 && attempts.not_run == attempts.sent);
            counts.answered_but_not_run += u64::from(runs == 0 && attempts.answered > 0);
        }
        counts
    }

    /// Adds an outcome to the counts of all calls.
    fn count_outcome(&mut self, outcome: CallOutcome) {
        let counts = &mut self.requests;
        match outcome {
            CallOutcome::Answered => counts.answered += 1,
            CallOutcome::NotRun { .. } => counts.not_run += 1,
            CallOutcome::Unknown => counts.unknown += 1,
            CallOutcome::Lost => counts.lost += 1,
            CallOutcome::Crossed => counts.crossed += 1,
            CallOutcome::Truncated => counts.truncated += 1,
        }
    }
}
