//! What callers received, compared with what the targets really did.

use std::collections::BTreeMap;

use jackdaw_base::plain_data;
use jackdaw_standin::{EngineTally, ServiceTally};

use crate::client::CallOutcome;

plain_data! {
    copy
    /// Completions and reads by how they ended for the caller.
    #[derive(Default)]
    pub struct RequestCounts {
        /// The requests sent.
        pub sent: u64,
        /// The whole answers to the own request.
        pub answered: u64,
        /// The requests of which the caller was told that they did not run.
        pub not_run: u64,
        /// The requests of which the caller was told that they may have run.
        pub unknown: u64,
        /// The requests without any answer.
        pub lost: u64,
        /// The answers that belonged to another request.
        pub crossed: u64,
        /// The partial answers that claimed to be whole.
        pub truncated: u64,
        /// The requests that ran though the caller was told that they did not.
        pub not_run_but_ran: u64,
    }
}

plain_data! {
    copy
    /// Recordings by key.
    #[derive(Default)]
    pub struct RecordingCounts {
        /// The recordings, each under a key of its own.
        pub sent: u64,
        /// The times that a recording was sent again through another router.
        pub resent: u64,
        /// The recordings that ran.
        pub ran: u64,
        /// The recordings that ran more than once.
        pub doubled: u64,
        /// The recordings that ran though every answer said that they did not.
        pub not_run_but_ran: u64,
        /// The recordings that did not run though an answer said that they did.
        pub answered_but_not_run: u64,
    }
}

/// How the sendings of one recording ended.
#[derive(Debug, Clone, Copy, Default)]
struct AttemptCounts {
    /// The sendings.
    sent: u64,
    /// The whole answers.
    answered: u64,
    /// The answers that it did not run.
    not_run: u64,
}

/// Account of all calls.
#[derive(Debug, Clone, Default)]
pub struct CallLedger {
    /// The completions and reads.
    requests: RequestCounts,
    /// The identifiers of prompts that did not run, as the callers were told.
    not_run_prompts: Vec<u64>,
    /// The recordings by key.
    recordings: BTreeMap<String, AttemptCounts>,
}

impl CallLedger {
    /// Notes a completion that is sent; its end follows.
    pub fn record_sent(&mut self) {
        self.requests.sent += 1;
    }

    /// Notes how a completion ended.
    pub fn record_completion(&mut self, prompt: u64, outcome: CallOutcome) {
        self.count_outcome(outcome);
        if matches!(outcome, CallOutcome::NotRun { .. }) {
            self.not_run_prompts.push(prompt);
        }
    }

    /// Notes how a read ended.
    pub fn record_read(&mut self, outcome: CallOutcome) {
        self.count_outcome(outcome);
    }

    /// Notes how one sending of a recording ended.
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

    /// Returns the counts of completions and reads, checked against the engines; requests
    /// that never ended count as lost.
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

    /// Returns the counts of recordings, from the services' own counts.
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

    /// Counts an end.
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
