//! Findings in the store: what routers write there so that all of them may restart.

use jackdaw_policy::direct::{CrashCause, CrashFinding, CrashLedger, RequestCauses, RunPhase};
use jackdaw_policy::direct::{CrashVerdict, SuspectRun, TargetId};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::at;

/// Number of findings that the store holds at most.
const STORED_LIMIT: usize = 512;

/// Sends a request at which a target crashes.
fn crash(ledger: &mut CrashLedger, millis: u64, cause: CrashCause) {
    let run = SuspectRun {
        causes: RequestCauses::from_slice(&[cause]),
        position: ledger.position(),
        phase: RunPhase::Begun,
    };
    ledger.record_crash(at(millis), TargetId(millis), &[run]);
}

/// Crashes two targets with a cause, so that it is refused.
fn refuse(ledger: &mut CrashLedger, millis: u64, cause: CrashCause) {
    crash(ledger, millis, cause);
    crash(ledger, millis + 1, cause);
}

fn is_refused(ledger: &CrashLedger, millis: u64, cause: CrashCause) -> bool {
    ledger.verdict(at(millis), &[cause], |_| false) != CrashVerdict::Clear
}

/// Returns a ledger that knows nothing but what the store holds.
fn restart(stored: &[CrashFinding]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for finding in stored {
        ledger.merge(at(0), finding);
    }
    ledger
}

#[test]
fn refusals_outlast_a_restart_of_all_routers() {
    let (deadly, other) = (CrashCause::Request(1), CrashCause::Request(2));
    let mut ledger = CrashLedger::default();
    refuse(&mut ledger, 1000, deadly);
    crash(&mut ledger, 2000, other);
    let stored = ledger.plan_stored(at(2001), &[]).expect("a refusal is written");
    let restarted = restart(&stored);
    assert!(is_refused(&restarted, 1, deadly));
    assert!(!is_refused(&restarted, 1, other), "one crash refuses nothing");
    assert_eq!(ledger.plan_stored(at(9000), &stored), None, "it is written once");
    assert_eq!(restarted.plan_stored(at(9000), &stored), None);
}

/// What is answered again must not be refused by routers that restart later.
#[test]
fn cleared_findings_refuse_nothing_after_a_restart() {
    let cause = CrashCause::Part(7);
    let mut ledger = CrashLedger::default();
    refuse(&mut ledger, 1000, cause);
    let stored = ledger.plan_stored(at(1002), &[]).expect("a refusal is written");
    let position = ledger.position();
    ledger.clear(at(2000), &[cause], position);
    let stored = ledger.plan_stored(at(2001), &stored).expect("the clearance is written");
    assert!(!is_refused(&restart(&stored), 1, cause));
}

/// A router that has lost findings for want of room must not delete them for the others.
#[test]
fn unknown_findings_stay_in_the_store() {
    let mut ledger = CrashLedger::default();
    refuse(&mut ledger, 1000, CrashCause::Request(1));
    let stored = ledger.plan_stored(at(1002), &[]).expect("a refusal is written");
    assert_eq!(CrashLedger::default().plan_stored(at(0), &stored), None);
}

/// A customer that keeps crashing targets must not fill the store, and what was displaced from it
/// must not displace others in turn.
#[test]
fn stored_findings_are_bounded() {
    let mut ledger = CrashLedger::default();
    let mut stored = Vec::new();
    for number in 0..400 {
        refuse(&mut ledger, 1000 * number, CrashCause::Request(number));
        let planned = ledger.plan_stored(at(1000 * number + 2), &stored);
        stored = planned.expect("a new refusal is written");
        assert!(stored.len() <= STORED_LIMIT);
    }
    assert!(is_refused(&restart(&stored), 1, CrashCause::Request(399)), "the newest are kept");
    assert_eq!(ledger.plan_stored(at(500_000), &stored), None);
}

/// Routers that write in any order, and of which some restart, end in one state of the store.
#[test]
fn writes_of_all_routers_converge() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledgers = vec![CrashLedger::default(); 4];
        let mut stored: Vec<CrashFinding> = Vec::new();
        for step in 0..400u64 {
            let millis = 1000 + 50 * step;
            let ledger = &mut ledgers[random.random_range(0..4)];
            let cause = CrashCause::Part(random.random_range(0..6));
            match random.random_range(0..10) {
                0..4 => crash(ledger, millis, cause),
                4 => {
                    let position = ledger.position();
                    ledger.clear(at(millis), &[cause], position);
                }
                5 => *ledger = restart(&stored),
                _ => write(ledger, millis, &mut stored),
            }
        }
        ledgers.shuffle(&mut random);
        let writes: usize =
            (0..10).flat_map(|_| 0..4).map(|at| count_write(&mut ledgers[at], &mut stored)).sum();
        assert!(writes <= 8, "seed {seed}: {writes} writes after the last crash");
        for part in 0..6 {
            let cause = CrashCause::Part(part);
            let refused = is_refused(&restart(&stored), 1, cause);
            let known: Vec<bool> =
                ledgers.iter().map(|ledger| is_refused(ledger, 21_000, cause)).collect();
            assert!(known.contains(&refused), "seed {seed}, part {part}: {known:?}");
        }
    }
}

/// Merges what the store holds and writes what it lacks, as a router does.
fn write(ledger: &mut CrashLedger, millis: u64, stored: &mut Vec<CrashFinding>) {
    for finding in stored.iter() {
        ledger.merge(at(millis), finding);
    }
    if let Some(planned) = ledger.plan_stored(at(millis), stored) {
        *stored = planned;
    }
}

fn count_write(ledger: &mut CrashLedger, stored: &mut Vec<CrashFinding>) -> usize {
    let before = stored.clone();
    write(ledger, 21_000, stored);
    usize::from(*stored != before)
}
