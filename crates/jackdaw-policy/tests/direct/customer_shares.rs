//! Customers' service compared with their max-min fair shares.

use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation};
use jackdaw_policy::direct::{CustomerLedger, CustomerUsage, ShareTier};

use crate::common::at;

const WINDOW: Duration = Duration::from_secs(4);

fn record(
    ledger: &mut CustomerLedger,
    now: MonotonicTime,
    customer: u64,
    requested: u64,
    started: u64,
) {
    ledger.record_requested(now, CustomerId(customer), requested);
    ledger.record_started(now, CustomerId(customer), started);
}

fn tier(ledger: &mut CustomerLedger, now: MonotonicTime, customer: u64, rate: u64) -> ShareTier {
    ledger.share_status(now, CustomerId(customer), rate).tier
}

#[test]
fn all_customers_are_owed_below_capacity() {
    let mut ledger = CustomerLedger::new(WINDOW);
    record(&mut ledger, at(0), 1, 30_000, 30_000);
    record(&mut ledger, at(0), 2, 1_000, 1_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Owed);
}

/// Three customers request 90,000, 30,000 and 6,000 tokens of a capacity of 40,000 per window. The
/// level is 17,000, since 6,000 + 17,000 + 17,000 = 40,000.
#[test]
fn level_divides_the_remainder_equally() {
    let mut ledger = CustomerLedger::new(WINDOW);
    record(&mut ledger, at(0), 1, 90_000, 17_100);
    record(&mut ledger, at(0), 2, 30_000, 16_900);
    record(&mut ledger, at(0), 3, 6_000, 6_000);
    let status = ledger.share_status(at(100), CustomerId(1), 10_000);
    assert!((status.share_used - 17_100.0 / 17_000.0).abs() < 1e-9, "{status:?}");
    assert_ne!(status.tier, ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Owed);
    assert_eq!(tier(&mut ledger, at(100), 3, 10_000), ShareTier::Owed);
}

/// Both customers are above their share of the capacity. The one that is also above its share of
/// the service actually started is in excess, the other one in surplus.
#[test]
fn excess_is_above_both_shares() {
    let mut ledger = CustomerLedger::new(WINDOW);
    record(&mut ledger, at(0), 1, 90_000, 60_000);
    record(&mut ledger, at(0), 2, 90_000, 25_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Excess);
    assert_eq!(tier(&mut ledger, at(100), 2, 10_000), ShareTier::Surplus);
}

#[test]
fn service_expires_with_the_window() {
    let mut ledger = CustomerLedger::new(WINDOW);
    record(&mut ledger, at(0), 1, 90_000, 60_000);
    record(&mut ledger, at(0), 2, 90_000, 1_000);
    assert_eq!(tier(&mut ledger, at(100), 1, 10_000), ShareTier::Excess);
    assert_eq!(tier(&mut ledger, at(4600), 1, 10_000), ShareTier::Owed);
}

#[test]
fn reports_of_other_routers_count_once() {
    let mut ledger = CustomerLedger::new(WINDOW);
    record(&mut ledger, at(0), 1, 10_000, 10_000);
    record(&mut ledger, at(0), 2, 90_000, 1_000);
    let usage =
        CustomerUsage { customer: CustomerId(1), requested_hundreds: 200, started_hundreds: 200 };
    // A report replaces the previous one, so a duplicate changes nothing.
    ledger.apply_report(ProcessIncarnation(7), &[usage]);
    ledger.apply_report(ProcessIncarnation(7), &[usage]);
    let status = ledger.share_status(at(100), CustomerId(1), 10_000);
    assert!((status.share_used - 1.5).abs() < 1e-9, "30,000 of 20,000: {status:?}");
    ledger.remove_peer(ProcessIncarnation(7));
    let status = ledger.share_status(at(300), CustomerId(1), 10_000);
    assert!((status.share_used - 1.0 / 3.0).abs() < 1e-9, "10,000 of 30,000: {status:?}");
}
