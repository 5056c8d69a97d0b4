//! Load that other routers report.

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{LoadTable, TargetId, TargetLoad, TargetUsage};

use crate::common::at;

const TARGET: TargetId = TargetId(5);
const PEER: ProcessIncarnation = ProcessIncarnation(9);

fn usage(queued: u32, running: u32) -> TargetUsage {
    TargetUsage {
        target: TARGET,
        queued_hundreds: 10 * queued,
        queued,
        running,
        memory_thousands: 3,
    }
}

#[test]
fn report_replaces_the_one_before() {
    let mut book = LoadTable::default();
    assert!(book.apply_report(at(0), PEER, 1, &[usage(2, 3)]));
    assert!(book.apply_report(at(100), PEER, 2, &[usage(1, 3)]));
    let load = book.load(TARGET);
    assert_eq!((load.queued, load.running, load.queued_tokens), (1, 3, 1000));
    assert!(book.apply_report(at(200), PEER, 3, &[]));
    assert_eq!(book.load(TARGET), TargetLoad::default());
}

#[test]
fn late_report_is_left_out() {
    let mut book = LoadTable::default();
    book.apply_report(at(0), PEER, 5, &[usage(1, 0)]);
    assert!(!book.apply_report(at(10), PEER, 4, &[usage(9, 9)]));
    assert_eq!(book.load(TARGET).queued, 1);
}

#[test]
fn silent_router_counts_no_longer() {
    let mut book = LoadTable::default();
    book.apply_report(at(0), PEER, 1, &[usage(2, 3)]);
    book.add_queued(TARGET, 500, 700);
    assert!(book.expire(at(1000)).is_empty());
    assert_eq!(book.expire(at(2000)), vec![PEER]);
    assert_eq!(book.load(TARGET).runs(), 1);
    assert_eq!(book.peer_count(), 0);
}

#[test]
fn own_runs_leave_nothing_behind() {
    let mut book = LoadTable::default();
    book.add_queued(TARGET, 500, 700);
    book.add_queued(TARGET, 300, 400);
    book.start_running(TARGET, 500);
    assert_eq!(book.load(TARGET).queued_tokens, 300);
    book.end_running(TARGET, 700);
    book.end_queued(TARGET, 300, 400);
    assert_eq!(book.load(TARGET), TargetLoad::default());
    assert!(book.own_usage().is_empty());
}
