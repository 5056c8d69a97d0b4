//! Totals of the whole fleet, as an account home sums them.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, FleetTotal, MonotonicTime, NormalisedService, ProcessIncarnation, ServiceReport,
    VmId,
};
use jackdaw_policy::RouterPolicy;
use jackdaw_policy::router::account_home::AccountHome;
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 8;
const CUSTOMER: CustomerId = CustomerId(3);
const START: MonotonicTime = MonotonicTime(1_000_000);

fn home() -> AccountHome {
    AccountHome::new(RouterPolicy::default().home_spans)
}

fn report(agent: u64, given: u64, known_total: u64) -> ServiceReport {
    ServiceReport {
        agent: ProcessIncarnation(agent),
        vm: VmId(agent),
        customer: CUSTOMER,
        given: NormalisedService(given),
        known_total: NormalisedService(known_total),
        virtual_time: NormalisedService(0),
        waiting: true,
    }
}

fn total(home: &AccountHome) -> u64 {
    home.totals().iter().map(|(_, total)| total.0).sum()
}

#[test]
fn repeated_reports() {
    let mut home = home();
    for _ in 0..3 {
        home.record_report(START, None, &report(1, 500, 0));
        home.record_report(START, None, &report(2, 300, 0));
    }
    assert_eq!(total(&home), 800);
}

#[test]
fn returned_reservation() {
    let mut home = home();
    home.record_report(START, None, &report(1, 900, 0));
    home.record_report(START, None, &report(1, 400, 0));
    assert_eq!(total(&home), 400);
}

#[test]
fn restarted_home() {
    let mut home = home();
    home.record_report(START, None, &report(1, 500, 9_000));
    home.record_report(START, None, &report(2, 300, 8_900));
    assert_eq!(total(&home), 9_000);
    home.record_report(START, None, &report(2, 350, 8_950));
    assert_eq!(total(&home), 9_050);
}

#[test]
fn returning_customer() {
    let mut home = home();
    home.record_report(START, None, &report(1, 500, 0));
    let later = START.after(Duration::from_secs(60));
    let mut back = report(1, 500, 500);
    back.virtual_time = NormalisedService(7_000);
    home.record_report(later, None, &back);
    back.agent = ProcessIncarnation(2);
    back.virtual_time = NormalisedService(6_000);
    home.record_report(later, None, &back);
    assert_eq!(total(&home), 6_000);
}

#[test]
fn waiting_without_lift() {
    let mut home = home();
    for second in 0..60 {
        let mut steady = report(1, 500, 0);
        // Zero would stand for an agent that knows no counter.
        steady.virtual_time = NormalisedService(1 + second * 1_000);
        home.record_report(START.after(Duration::from_secs(second)), None, &steady);
    }
    // A customer that lags while it waits keeps its claim.
    assert_eq!(total(&home), 500);
}

#[test]
fn restarted_agent() {
    let mut home = home();
    home.record_report(START, None, &report(1, 500, 0));
    let later = START.after(Duration::from_secs(60));
    let mut back = report(2, 0, 0);
    home.record_report(later, None, &back);
    back.agent = ProcessIncarnation(3);
    back.virtual_time = NormalisedService(7_000);
    home.record_report(later, None, &back);
    // The agent that has just started does not speak for the lowest counter.
    assert_eq!(total(&home), 7_000);
}

#[test]
fn starved_customer() {
    let mut home = home();
    let mut ahead = report(1, 900_000, 0);
    ahead.virtual_time = NormalisedService(5_000);
    for second in 0..130 {
        let now = START.after(Duration::from_secs(second));
        home.record_report(now, None, &ahead);
        home.collect_batches(now);
        if second < 115 {
            assert_eq!(total(&home), 900_000);
        }
    }
    assert_eq!(total(&home), 5_000);
}

#[test]
fn totals_return() {
    let mut home = home();
    home.record_report(START, None, &report(1, 500, 0));
    home.record_report(START, Some(VmId(77)), &report(2, 300, 0));
    let batches = home.collect_batches(START);
    assert_eq!(batches.len(), 2);
    assert_eq!((batches[0].agent, batches[0].via), (VmId(1), None));
    assert_eq!((batches[1].agent, batches[1].via), (VmId(2), Some(VmId(77))));
    let expected = FleetTotal {
        customer: CUSTOMER,
        total: NormalisedService(800),
        own: NormalisedService(300),
    };
    assert_eq!(batches[1].totals, [expected]);
    assert!(home.collect_batches(START).is_empty());
}

/// Any order, loss or repetition of reports ends at the sum of the last ones.
fn any_order(steps: Vec<(u8, u16)>) -> TestResult {
    let mut home = home();
    let mut last = std::collections::BTreeMap::new();
    for (agent, given) in steps {
        let agent = u64::from(agent % 8) + 1;
        home.record_report(START, None, &report(agent, u64::from(given), 0));
        last.insert(agent, u64::from(given));
    }
    TestResult::from_bool(total(&home) == last.values().sum::<u64>())
}

#[test]
fn random_reports() {
    println!("seed {SEED}");
    let check = any_order as fn(Vec<(u8, u16)>) -> TestResult;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).quickcheck(check);
}
