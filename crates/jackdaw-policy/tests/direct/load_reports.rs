//! Load of targets from this router's runs and from the reports of other routers.

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
fn report_replaces_the_previous_one() {
    let mut table = LoadTable::default();
    assert!(table.apply_report(at(0), PEER, 1, &[usage(2, 3)]));
    assert!(table.apply_report(at(100), PEER, 2, &[usage(1, 3)]));
    let load = table.load(TARGET);
    assert_eq!((load.queued, load.running, load.queued_tokens), (1, 3, 1000));
    assert!(table.apply_report(at(200), PEER, 3, &[]));
    assert_eq!(table.load(TARGET), TargetLoad::default());
}

#[test]
fn outdated_report_is_ignored() {
    let mut table = LoadTable::default();
    table.apply_report(at(0), PEER, 5, &[usage(1, 0)]);
    assert!(!table.apply_report(at(10), PEER, 4, &[usage(9, 9)]));
    assert_eq!(table.load(TARGET).queued, 1);
}

#[test]
fn load_of_a_silent_router_expires() {
    let mut table = LoadTable::default();
    table.apply_report(at(0), PEER, 1, &[usage(2, 3)]);
    table.add_queued(TARGET, 500, 700);
    assert!(table.expire(at(1000)).is_empty());
    assert_eq!(table.expire(at(2000)), vec![PEER]);
    assert_eq!(table.load(TARGET).runs(), 1);
    assert_eq!(table.peer_count(), 0);
}

#[test]
fn ended_runs_leave_no_load() {
    let mut table = LoadTable::default();
    table.add_queued(TARGET, 500, 700);
    table.add_queued(TARGET, 300, 400);
    table.start_running(TARGET, 500);
    assert_eq!(table.load(TARGET).queued_tokens, 300);
    table.end_running(TARGET, 700);
    table.end_queued(TARGET, 300, 400);
    assert_eq!(table.load(TARGET), TargetLoad::default());
    assert!(table.own_usage().is_empty());
}
