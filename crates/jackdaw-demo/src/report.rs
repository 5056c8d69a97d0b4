//! Report of the demo and its output as JSON or as a table.

use std::fmt::Write;

use jackdaw_base::plain_data;
use jackdaw_policy::SharePolicy;

use crate::latency::AddedLatency;
use crate::ledger::{RecordingCounts, RequestCounts};
use crate::meter::CustomerStats;

plain_data! {
    /// Results of one run of the demo.
    pub struct DemoReport {
        /// The seed of the load.
        pub seed: u64,
        /// The policy by which agents selected among offers.
        pub policy: SharePolicy,
        /// The length of the measured window in seconds.
        pub window_seconds: f64,
        /// The counts of completions, reads and attempts of recordings by outcome.
        pub requests: RequestCounts,
        /// The counts of recordings, grouped by idempotency key.
        pub recordings: RecordingCounts,
        /// The largest difference in tokens divided by share between customers that were
        /// backlogged during the entire window.
        pub fairness_gap_tokens: f64,
        /// The mean of tokens divided by share over these customers.
        pub mean_normal_tokens: f64,
        /// The percentage of the engines' places that were busy, averaged over the time during
        /// which requests waited.
        pub utilisation_percent: f64,
        /// The percentage of the window during which requests waited.
        pub waiting_percent: f64,
        /// The calls per second that the platform stand-in received during the window.
        pub platform_calls_per_second: f64,
        /// The bytes per second that a router or agent sent and received on control streams
        /// during the window, averaged over all of them.
        pub control_bytes_per_second_per_node: f64,
        /// The latency that an idle fleet adds to complete requests.
        pub added_latency_ms: AddedLatency,
        /// The latency that an idle fleet adds to the first byte.
        pub added_first_byte_ms: AddedLatency,
        /// The statistics of each customer over the window.
        pub customers: Vec<CustomerStats>,
    }
}

impl DemoReport {
    /// Returns whether every answer was correct and no recording ran more than once.
    pub fn is_correct(&self) -> bool {
        let requests = &self.requests;
        let recordings = &self.recordings;
        requests.lost == 0
            && requests.crossed == 0
            && requests.truncated == 0
            && requests.not_run_but_ran == 0
            && recordings.doubled == 0
            && recordings.not_run_but_ran == 0
            && recordings.answered_but_not_run == 0
    }

    /// Returns the report as a single line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report of numbers and strings can be serialized")
    }

    /// Returns the report as a plain-text table.
    pub fn to_table(&self) -> String {
        let mut table = String::new();
        self.write_table(&mut table).expect("writing to a string does not fail");
        table
    }

    /// Writes the table to `out`.
    fn write_table(&self, out: &mut String) -> std::fmt::Result {
        let (requests, recordings) = (&self.requests, &self.recordings);
        writeln!(out, "seed {}, window {:.1} s", self.seed, self.window_seconds)?;
        writeln!(
            out,
            "requests    sent {}  answered {}  not run {}  unknown {}",
            requests.sent, requests.answered, requests.not_run, requests.unknown
        )?;
        writeln!(
            out,
            "            lost {}  crossed {}  truncated {}  not run but ran {}",
            requests.lost, requests.crossed, requests.truncated, requests.not_run_but_ran
        )?;
        writeln!(
            out,
            "recordings  sent {}  resent {}  ran {}  doubled {}  not run but ran {}",
            recordings.sent,
            recordings.resent,
            recordings.ran,
            recordings.doubled,
            recordings.not_run_but_ran
        )?;
        self.write_metrics(out)?;
        writeln!(
            out,
            "\n{:<14}{:>6}{:>12}{:>14}  backlogged",
            "customer", "share", "tokens", "by share"
        )?;
        for customer in &self.customers {
            writeln!(
                out,
                "{:<14}{:>6}{:>12}{:>14.0}  {}",
                customer.name,
                customer.share.0,
                customer.tokens,
                customer.normal_tokens,
                if customer.is_backlogged { "yes" } else { "no" }
            )?;
        }
        Ok(())
    }

    /// Writes the fairness, utilisation, control traffic and latency rows of the table.
    fn write_metrics(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "fairness gap        {:.0} tokens (mean service {:.0})",
            self.fairness_gap_tokens, self.mean_normal_tokens
        )?;
        writeln!(
            out,
            "utilisation         {:.1} % while work waits ({:.0} % of the window)",
            self.utilisation_percent, self.waiting_percent
        )?;
        writeln!(
            out,
            "control traffic     {:.1} platform calls/s, {:.0} bytes/s per process",
            self.platform_calls_per_second, self.control_bytes_per_second_per_node
        )?;
        writeln!(
            out,
            "added latency       request p50 {:.2} ms p99 {:.2} ms, first byte p50 {:.2} ms p99 {:.2} ms",
            self.added_latency_ms.p50,
            self.added_latency_ms.p99,
            self.added_first_byte_ms.p50,
            self.added_first_byte_ms.p99
        )
    }
}
