//! Findings on crashes: how the ledger tells the cause of crashes from what merely accompanies it.

use std::time::Duration;

use jackdaw_base::MonotonicTime;
use jackdaw_policy::direct::{
    CrashCause, CrashFinding, CrashLedger, CrashVerdict, RequestCauses, RunPhase, SuspectRun,
    TargetId,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;

use crate::common::at;

const FIRST: CrashCause = CrashCause::Part(1);
const DEADLY: CrashCause = CrashCause::Part(0xdead);
const COMPANION: CrashCause = CrashCause::Part(0xc0);

/// Returns a run that is sent now, and will break after its response began.
fn begun(ledger: &CrashLedger, causes: &[CrashCause]) -> SuspectRun {
    let causes = RequestCauses::from_slice(causes);
    SuspectRun { causes, position: ledger.position(), phase: RunPhase::Begun }
}

/// Sends a request at which a target crashes.
fn crash(ledger: &mut CrashLedger, millis: u64, causes: &[CrashCause]) {
    let run = begun(ledger, causes);
    ledger.record_crash(at(millis), TargetId(millis), &[run]);
}

/// Sends a request whose response proceeds.
fn answer(ledger: &mut CrashLedger, millis: u64, causes: &[CrashCause]) {
    let position = ledger.position();
    ledger.clear(at(millis), causes, position);
}

/// Returns the verdict on a request at a router that probes no cause.
fn verdict(ledger: &CrashLedger, millis: u64, causes: &[CrashCause]) -> CrashVerdict {
    ledger.verdict(at(millis), causes, |_| false)
}

fn is_refused(ledger: &CrashLedger, millis: u64, causes: &[CrashCause]) -> bool {
    matches!(verdict(ledger, millis, causes), CrashVerdict::Refused(_))
}

/// Sound requests with the first part of the deadly ones are served.
#[test]
fn answers_clear_the_parts_that_accompany_the_cause() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[FIRST, DEADLY]);
    answer(&mut ledger, 1100, &[FIRST]);
    crash(&mut ledger, 2000, &[FIRST, DEADLY]);
    assert!(is_refused(&ledger, 2010, &[FIRST, DEADLY]));
    assert_eq!(verdict(&ledger, 2010, &[FIRST]), CrashVerdict::Clear);
}

/// Targets that fail together for another reason break the runs of a popular part at all of them.
#[test]
fn simultaneous_crashes_count_once() {
    let mut ledger = CrashLedger::default();
    let runs: Vec<SuspectRun> = (0..20).map(|_| begun(&ledger, &[FIRST])).collect();
    for (number, run) in runs.iter().enumerate() {
        ledger.record_crash(at(1000), TargetId(number as u64), std::slice::from_ref(run));
    }
    assert_eq!(verdict(&ledger, 1001, &[FIRST]), CrashVerdict::Clear);
}

/// Runs that wait or are far into their stream are weaker suspects than the one that had just begun.
#[test]
fn waiting_runs_need_more_crashes_than_begun_ones() {
    let mut ledger = CrashLedger::default();
    for time in [1000, 2000, 3000] {
        let run = SuspectRun { phase: RunPhase::Waiting, ..begun(&ledger, &[FIRST]) };
        ledger.record_crash(at(time), TargetId(time), &[run]);
        assert_eq!(verdict(&ledger, time + 1, &[FIRST]), CrashVerdict::Clear, "{time}");
    }
    let run = SuspectRun { phase: RunPhase::Waiting, ..begun(&ledger, &[FIRST]) };
    ledger.record_crash(at(4000), TargetId(4), &[run]);
    assert!(is_refused(&ledger, 4001, &[FIRST]));
}

/// Two parts that only come together are both suspects until a request has one of them alone.
#[test]
fn parts_that_come_together_are_told_apart() {
    let mut ledger = CrashLedger::default();
    for time in [1000, 2000] {
        crash(&mut ledger, time, &[COMPANION, DEADLY]);
    }
    assert!(is_refused(&ledger, 2010, &[COMPANION, DEADLY]));
    assert_eq!(verdict(&ledger, 2010, &[COMPANION]), CrashVerdict::Probe);
    ledger.record_send(at(2010), &[COMPANION]);
    assert!(is_refused(&ledger, 2020, &[COMPANION]), "one request at a time");
    answer(&mut ledger, 2200, &[COMPANION]);
    assert_eq!(verdict(&ledger, 2201, &[COMPANION]), CrashVerdict::Clear);
    assert!(is_refused(&ledger, 2201, &[DEADLY]));
}

/// A second deadly part may come first inside requests that hold the other one as well.
#[test]
fn deadly_part_inside_requests_with_another_one_is_refused_alone() {
    let (outer, inner) = (DEADLY, CrashCause::Part(0xbad));
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[outer]);
    crash(&mut ledger, 2000, &[outer, inner]);
    crash(&mut ledger, 2100, &[outer, inner]);
    assert!(is_refused(&ledger, 2200, &[outer, inner]));
    assert_eq!(verdict(&ledger, 2200, &[inner]), CrashVerdict::Probe);
    crash(&mut ledger, 2300, &[inner]);
    assert!(is_refused(&ledger, 2400, &[inner]));
    assert!(is_refused(&ledger, 2400, &[outer]));
}

/// A request that crashes targets by its content is refused, and its parts are served to others.
#[test]
fn repeated_request_is_refused_without_its_parts() {
    let request = CrashCause::Request(7);
    let mut ledger = CrashLedger::default();
    for time in [1000, 2000] {
        crash(&mut ledger, time, &[request, COMPANION]);
    }
    assert!(is_refused(&ledger, 2010, &[request, COMPANION]));
    assert_eq!(verdict(&ledger, 2010, &[COMPANION]), CrashVerdict::Probe);
    answer(&mut ledger, 2100, &[COMPANION]);
    assert_eq!(verdict(&ledger, 2110, &[COMPANION]), CrashVerdict::Clear);
    assert!(is_refused(&ledger, 2110, &[request, COMPANION]));
}

/// A router that froze repeats old findings after it wakes.
#[test]
fn late_findings_do_not_undo_a_clearance() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[FIRST]);
    crash(&mut ledger, 1500, &[FIRST]);
    let outdated = ledger.report(at(1500));
    answer(&mut ledger, 1600, &[FIRST]);
    for millis in [1700, 9000] {
        for finding in &outdated {
            ledger.merge(at(millis), finding);
        }
        assert_eq!(verdict(&ledger, millis, &[FIRST]), CrashVerdict::Clear, "{millis}");
    }
    let repeated = ledger.report(at(9001));
    assert!(!repeated.is_empty(), "the clearance is passed on again to the router that missed it");
    assert!(repeated.iter().all(|finding| finding.is_cleared));
}

/// A router that has restarted learns what is refused from any report.
#[test]
fn refusals_are_reported_for_as_long_as_they_last() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[DEADLY]);
    crash(&mut ledger, 2000, &[DEADLY]);
    let mut restarted = CrashLedger::default();
    for finding in ledger.report(at(50_000)) {
        restarted.merge(at(100), &finding);
    }
    assert!(is_refused(&restarted, 200, &[DEADLY]));
}

#[test]
fn one_router_probes_a_refused_cause_at_growing_intervals() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[DEADLY]);
    crash(&mut ledger, 2000, &[DEADLY]);
    let at_prober = |ledger: &CrashLedger, millis| ledger.verdict(at(millis), &[DEADLY], |_| true);
    assert!(matches!(at_prober(&ledger, 61_999), CrashVerdict::Refused(_)));
    assert_eq!(at_prober(&ledger, 62_000), CrashVerdict::Probe);
    assert!(is_refused(&ledger, 62_000, &[DEADLY]), "the other routers do not probe");
    ledger.record_send(at(62_000), &[DEADLY]);
    crash(&mut ledger, 62_100, &[DEADLY]);
    assert!(matches!(at_prober(&ledger, 200_000), CrashVerdict::Refused(_)));
    assert_eq!(at_prober(&ledger, 62_100 + 240_000), CrashVerdict::Probe);
    answer(&mut ledger, 310_000, &[DEADLY]);
    assert_eq!(verdict(&ledger, 310_001, &[DEADLY]), CrashVerdict::Clear);
}

/// The retry delay ends when the cause is probed, not before.
#[test]
fn refusal_states_the_time_until_the_probe() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1000, &[DEADLY]);
    crash(&mut ledger, 2000, &[DEADLY]);
    let refused = CrashVerdict::Refused(Duration::from_secs(50));
    assert_eq!(verdict(&ledger, 12_000, &[DEADLY]), refused);
}

/// A customer that declares new parts with each request must not use up the router's memory or
/// displace the parts that are refused.
#[test]
fn findings_are_bounded() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1, &[DEADLY]);
    crash(&mut ledger, 2, &[DEADLY]);
    for number in 0..6000 {
        crash(&mut ledger, 10 + number, &[CrashCause::Part(0x1_0000 + number)]);
    }
    assert!(ledger.len() <= 4096, "{}", ledger.len());
    assert!(is_refused(&ledger, 7000, &[DEADLY]));
    let report = ledger.report(at(7000));
    assert!(report.len() <= 64);
    assert!(report.iter().any(|finding| finding.cause == DEADLY));
    ledger.expire(at(7000 + 600_000));
    assert_eq!(ledger.len(), 1, "only the refused cause is kept for so long");
    ledger.expire(MonotonicTime(u64::MAX));
    assert!(ledger.is_empty());
}

/// Routers that receive the same findings agree, whatever the order and however often.
#[test]
fn findings_merge_in_any_order() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut findings: Vec<CrashFinding> = Vec::new();
        for _ in 0..60 {
            findings.push(CrashFinding {
                cause: CrashCause::Part(random.random_range(0..4)),
                target: TargetId(random.random_range(0..6)),
                severity: random.random_range(1..6),
                is_cleared: random.random_bool(0.2),
            });
        }
        let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
        for ledger in &mut ledgers {
            findings.shuffle(&mut random);
            let repeated = findings.iter().chain(&findings[..20]);
            for (number, finding) in repeated.enumerate() {
                ledger.merge(at(number as u64), finding);
            }
        }
        for part in 0..4 {
            let causes: RequestCauses = smallvec![CrashCause::Part(part)];
            let [first, second] = ledgers.each_ref().map(|ledger| is_refused(ledger, 100, &causes));
            assert_eq!(first, second, "seed {seed}, part {part}");
        }
        let mut reports = ledgers.each_mut().map(|ledger| ledger.report(at(100)));
        reports.iter_mut().for_each(|report| report.sort());
        assert_eq!(reports[0], reports[1], "seed {seed}");
    }
}

/// Once many causes were refused, reports held nothing else, and no router told the others of a
/// request's first crash: each let it crash a target of its own.
#[test]
fn first_crashes_are_reported_beside_many_refusals() {
    let mut ledgers = vec![CrashLedger::default(); 30];
    for number in 0..60 {
        crash(&mut ledgers[0], 10 * number, &[CrashCause::Request(number)]);
        crash(&mut ledgers[0], 10 * number + 1, &[CrashCause::Request(number)]);
    }
    exchange(&mut ledgers, 1000, 40);
    let deadly = CrashCause::Request(0xdead);
    let mut crashes = 0;
    for attempt in 0..30 {
        let millis = 20_000 + 4000 * attempt;
        let ledger = &mut ledgers[attempt as usize];
        if !is_refused(ledger, millis, &[deadly]) {
            crash(ledger, millis, &[deadly]);
            crashes += 1;
        }
        exchange(&mut ledgers, millis + 1, 10);
    }
    assert!(crashes <= 3, "{crashes} targets crashed");
}

/// When several targets crash at once, the request that caused it is one of hundreds of suspects.
#[test]
fn all_suspects_of_a_crash_are_reported() {
    let mut ledgers = vec![CrashLedger::default(); 2];
    let suspects: Vec<SuspectRun> =
        (0..300).map(|number| begun(&ledgers[0], &[CrashCause::Request(number)])).collect();
    ledgers[0].record_crash(at(1000), TargetId(1), &suspects);
    exchange(&mut ledgers, 1001, 11);
    let known = ledgers[1].len();
    assert!(known >= 290, "{known} of 300 suspects are known to the other router");
}

/// Sends reports of all routers to all others, every quarter of a second.
fn exchange(ledgers: &mut [CrashLedger], millis: u64, periods: u64) {
    for period in 0..periods {
        let now = at(millis + 250 * period);
        let reports: Vec<_> = ledgers.iter_mut().map(|ledger| ledger.report(now)).collect();
        for (number, ledger) in ledgers.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(other, _)| *other != number);
            for finding in others.flat_map(|(_, report)| report) {
                ledger.merge(now, finding);
            }
        }
    }
}
