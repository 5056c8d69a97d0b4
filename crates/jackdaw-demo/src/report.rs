//! Report of the demo, as JSON and as a table.

use std::fmt::Write;

use jackdaw_base::plain_data;
use jackdaw_policy::SharePolicy;

use crate::latency::AddedLatency;
use crate::ledger::{RecordingCounts, RequestCounts};
use crate::meter::CustomerStats;

plain_data! {
    /// What one run of the demo measured.
    pub struct DemoReport {
        /// The seed of the load.
        pub seed: u64,
        /// The rule by which agents chose among offers.
        pub policy: SharePolicy,
        /// The length of the measured window in seconds.
        pub window_seconds: f64,
        /// Completions, reads and sendings of recordings by how they ended.
        pub requests: RequestCounts,
        /// Recordings by key.
        pub recordings: RecordingCounts,
        /// The largest difference in tokens divided by share between customers that were
        /// backlogged throughout the window.
        pub fairness_gap_tokens: f64,
        /// The mean of tokens divided by share over the same customers.
        pub mean_normal_tokens: f64,
        /// The place-time that was busy while work waited, in percent.
        pub utilisation_percent: f64,
        /// The part of the window in which work waited, in percent.
        pub waiting_percent: f64,
        /// The calls that the platform stand-in counted, by second of the window.
        pub platform_calls_per_second: f64,
        /// The bytes of the control streams, sent and received, by second of the window and
        /// process of the fleet.
        pub control_bytes_per_second_per_node: f64,
        /// What the path adds to the time of a whole request on an idle fleet.
        pub added_latency_ms: AddedLatency,
        /// What the path adds to the time to the first byte on an idle fleet.
        pub added_first_byte_ms: AddedLatency,
        /// The customers during the window.
        pub customers: Vec<CustomerStats>,
    }
}

impl DemoReport {
    /// Returns whether every answer was right.
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

    /// Returns the report as one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("numbers and strings always encode")
    }

    /// Returns the report as a readable table.
    pub fn to_table(&self) -> String {
        let mut table = String::new();
        self.write_table(&mut table).expect("writing to a string never fails");
        table
    }

    /// Writes the table.
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

    /// Writes the measures.
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
