//! Customers' service against their max-min share.

use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{CustomerLedger, CustomerUsage, ShareTier};

use crate::common::at;

const WINDOW: Duration = Duration::from_secs(4);

fn note(ledger: &mut CustomerLedger, now: MonotonicTime, customer: u64, asked: u64, started: u64) {
    ledger.record_requested(now, CustomerId(customer), asked);
    ledger.record_started(now, CustomerId(customer), started);
}

fn tier(ledger: &mut CustomerLedger, now: MonotonicTime, customer: u64, rate: u64) -> ShareTier {
    ledger.share_status(now, CustomerId(customer), rate).tier
}

#[test]
fn all_are_owed_while_there_is_enough() {
    let mut ledger = CustomerLedger::new(WINDOW);
    note(&mut ledger, at(0), 1, 30_000, 30_000);
    note(&mut ledger, at(0), 2, 1_000, 1_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Owed);
}

/// Three customers ask for 90,000, 30,000 and 6,000 of 40,000 tokens a window: the level is
/// 17,000, as 6,000 + 17,000 + 17,000 are 40,000.
#[test]
fn level_divides_what_is_left_evenly() {
    let mut ledger = CustomerLedger::new(WINDOW);
    note(&mut ledger, at(0), 1, 90_000, 17_100);
    note(&mut ledger, at(0), 2, 30_000, 16_900);
    note(&mut ledger, at(0), 3, 6_000, 6_000);
    let standing = ledger.share_status(at(100), CustomerId(1), 10_000);
    assert!((standing.share_used - 17_100.0 / 17_000.0).abs() < 1e-9, "{standing:?}");
    assert_ne!(standing.tier, ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 3, 10_000), ShareTier::Owed);
}

/// Two customers beyond the stated share: the one that got more of what was really started is
/// in excess, the other only in surplus.
#[test]
fn excess_is_beyond_both_divisions() {
    let mut ledger = CustomerLedger::new(WINDOW);
    note(&mut ledger, at(0), 1, 90_000, 60_000);
    note(&mut ledger, at(0), 2, 90_000, 25_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Excess);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Surplus);
}

#[test]
fn service_leaves_with_the_window() {
    let mut ledger = CustomerLedger::new(WINDOW);
    note(&mut ledger, at(0), 1, 90_000, 60_000);
    note(&mut ledger, at(0), 2, 90_000, 1_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Excess);
    assert_eq!(tier(&mut ledger, at(4600), 1, 10_000), ShareTier::Owed);
}

#[test]
fn other_routers_count_once() {
    let mut ledger = CustomerLedger::new(WINDOW);
    note(&mut ledger, at(0), 1, 10_000, 10_000);
    note(&mut ledger, at(0), 2, 90_000, 1_000);
    let elsewhere =
        CustomerUsage { customer: CustomerId(1), requested_hundreds: 200, started_hundreds: 200 };
    // A report replaces the one before, so hearing it twice changes nothing.
    ledger.apply_report(ProcessIncarnation(7), &[elsewhere]);
    ledger.apply_report(ProcessIncarnation(7), &[elsewhere]);
    let standing = ledger.share_status(at(100), CustomerId(1), 10_000);
    assert!((standing.share_used - 1.5).abs() < 1e-9, "30,000 of 20,000: {standing:?}");
    ledger.remove_peer(ProcessIncarnation(7));
    let standing = ledger.share_status(at(300), CustomerId(1), 10_000);
    assert!((standing.share_used - 1.0 / 3.0).abs() < 1e-9, "10,000 of 30,000: {standing:?}");
}
