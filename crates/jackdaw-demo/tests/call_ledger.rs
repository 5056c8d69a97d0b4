//! Comparison of the outcomes that callers observed with the tallies of the targets.

use jackdaw_demo::client::CallOutcome;
use jackdaw_demo::ledger::CallLedger;
use jackdaw_standin::engine::PromptTally;
use jackdaw_standin::{EngineTally, ServiceTally};

const NOT_RUN: CallOutcome = CallOutcome::NotRun { retry_after: std::time::Duration::ZERO };

#[test]
fn unfinished_is_lost() {
    let mut ledger = CallLedger::default();
    for _ in 0..3 {
        ledger.record_sent();
    }
    ledger.record_completion(1, CallOutcome::Answered);
    ledger.record_read(CallOutcome::Unknown);
    let counts = ledger.requests(&[]);
    assert_eq!((counts.answered, counts.unknown, counts.lost), (1, 1, 1));
}

#[test]
fn not_run_but_ran() {
    let mut ledger = CallLedger::default();
    ledger.record_completion(7, NOT_RUN);
    ledger.record_completion(8, NOT_RUN);
    let mut engine = EngineTally::default();
    engine.prompts.insert(8, PromptTally { starts: 1, resumes: 0 });
    assert_eq!(ledger.requests(&[engine]).not_run_but_ran, 1);
}

#[test]
fn recording_counts() {
    let mut ledger = CallLedger::default();
    ledger.record_recording_attempt("once", CallOutcome::Answered);
    ledger.record_recording_attempt("once", NOT_RUN);
    ledger.record_recording_attempt("twice", CallOutcome::Answered);
    ledger.record_recording_attempt("denied", NOT_RUN);
    ledger.record_recording_attempt("claimed", CallOutcome::Answered);
    ledger.record_recording_attempt("never", NOT_RUN);
    let mut first = ServiceTally::default();
    let mut second = ServiceTally::default();
    first.recordings.insert("once".to_owned(), 1);
    first.recordings.insert("twice".to_owned(), 1);
    second.recordings.insert("twice".to_owned(), 1);
    second.recordings.insert("denied".to_owned(), 1);
    let counts = ledger.recordings(&[first, second]);
    assert_eq!((counts.sent, counts.resent, counts.ran, counts.doubled), (5, 1, 3, 1));
    assert_eq!((counts.not_run_but_ran, counts.answered_but_not_run), (1, 1));
}
