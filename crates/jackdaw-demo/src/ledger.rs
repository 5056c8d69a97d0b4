//! What callers received, compared with what the targets really did.

use std::collections::BTreeMap;

use jackdaw_base::plain_data;
use jackdaw_standin::{EngineTally, ServiceTally};

use crate::client::CallEnd;

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
struct RecordingFate {
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
    recordings: BTreeMap<String, RecordingFate>,
}

impl CallLedger {
    /// Notes a completion that is sent; its end follows.
    pub fn note_sent(&mut self) {
        self.requests.sent += 1;
    }

    /// Notes how a completion ended.
    pub fn note_completion(&mut self, prompt: u64, end: CallEnd) {
        self.count_end(end);
        if matches!(end, CallEnd::NotRun { .. }) {
            self.not_run_prompts.push(prompt);
        }
    }

    /// Notes how a read ended.
    pub fn note_read(&mut self, end: CallEnd) {
        self.count_end(end);
    }

    /// Notes how one sending of a recording ended.
    pub fn note_recording(&mut self, key: &str, end: CallEnd) {
        self.count_end(end);
        let fate = self.recordings.entry(key.to_owned()).or_default();
        fate.sent += 1;
        match end {
            CallEnd::Answered => fate.answered += 1,
            CallEnd::NotRun { .. } => fate.not_run += 1,
            CallEnd::Unknown | CallEnd::Lost | CallEnd::Crossed | CallEnd::Truncated => {}
        }
    }

    /// Returns the counts of completions and reads, checked against the engines; requests
    /// that never ended count as lost.
    pub fn requests(&self, engines: &[EngineTally]) -> RequestCounts {
        let mut counts = self.requests;
        let ended = counts.answered + counts.not_run + counts.unknown;
        let wrong = counts.lost + counts.crossed + counts.truncated;
        counts.lost += counts.sent.saturating_sub(ended + wrong);
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
        for (key, fate) in &self.recordings {
            let mut runs = 0;
            for service in services {
                runs += service.recordings.get(key).copied().unwrap_or_default();
            }
            counts.sent += 1;
            counts.resent += fate.sent - 1;
            counts.ran += u64::from(runs > 0);
            counts.doubled += u64::from(runs > 1);
            counts.not_run_but_ran += u64::from(runs > 0 && fate.not_run == fate.sent);
            counts.answered_but_not_run += u64::from(runs == 0 && fate.answered > 0);
        }
        counts
    }

    /// Counts an end.
    fn count_end(&mut self, end: CallEnd) {
        let counts = &mut self.requests;
        match end {
            CallEnd::Answered => counts.answered += 1,
            CallEnd::NotRun { .. } => counts.not_run += 1,
            CallEnd::Unknown => counts.unknown += 1,
            CallEnd::Lost => counts.lost += 1,
            CallEnd::Crossed => counts.crossed += 1,
            CallEnd::Truncated => counts.truncated += 1,
        }
    }
}
