//! Prints a trace of scripted events with the outcomes that the present code gives.
//!
//! Argument: `agent-turns`, `router-outcomes` or `account-home`.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, ErrorKind, FleetTotal, MonotonicTime, NormalisedService,
    OfferId, ProcessIncarnation, RequestClass, RequestId, ServiceId, ServiceReport, VmId,
    WorkOffer, WorkUnits,
};
use jackdaw_policy::{
    AgentCore, AgentEvent, AgentPolicy, ArrivedRequest, RouterCore, RouterEvent, RouterPolicy,
    RunFault, TraceLine,
};

const SEED: u64 = 5;
const ROUTER: VmId = VmId(1);
const SERVICE: ServiceId = ServiceId(1);
const INCARNATION: ProcessIncarnation = ProcessIncarnation(9);

fn main() {
    let lines = match std::env::args().nth(1).as_deref() {
        Some("agent-turns") => record_agent(agent_turns()),
        Some("router-outcomes") => record_router(router_outcomes()),
        Some("account-home") => record_router(account_home()),
        _ => panic!("the name of a trace is missing"),
    };
    for line in lines {
        println!("{}", serde_json::to_string(&line).expect("a line has a JSON form"));
    }
}

fn record_agent(events: Vec<(u64, AgentEvent)>) -> Vec<TraceLine> {
    let policy = AgentPolicy { places: 1, ..AgentPolicy::default() };
    let vm = VmId(50);
    let mut core = AgentCore::new(policy.clone(), vm, INCARNATION, SEED);
    let mut lines =
        vec![TraceLine::AgentStart { policy, vm, incarnation: INCARNATION, seed: SEED }];
    for (millis, event) in events {
        let now = MonotonicTime(millis * 1_000);
        let mut commands = Vec::new();
        core.handle(now, event.clone(), &mut commands);
        lines.push(TraceLine::AgentStep { now, event, commands });
    }
    lines
}

fn record_router(events: Vec<(u64, RouterEvent)>) -> Vec<TraceLine> {
    let policy = RouterPolicy::default();
    let vm = ROUTER;
    let mut core = RouterCore::new(policy.clone(), vm, INCARNATION, SEED);
    let mut lines =
        vec![TraceLine::RouterStart { policy, vm, incarnation: INCARNATION, seed: SEED }];
    for (millis, event) in events {
        let now = MonotonicTime(millis * 1_000);
        let mut commands = Vec::new();
        core.handle(now, event.clone(), &mut commands);
        lines.push(TraceLine::RouterStep { now, event, commands });
    }
    lines
}

fn offer_id(sequence: u64, attempt: u32) -> OfferId {
    OfferId { request: RequestId { router: INCARNATION, sequence }, attempt }
}

/// Two customers at one place: the one with the higher total of the fleet waits.
fn agent_turns() -> Vec<(u64, AgentEvent)> {
    let offer = |sequence, customer| AgentEvent::OfferReceived {
        router: ROUTER,
        offer: WorkOffer {
            id: offer_id(sequence, 0),
            customer: CustomerId(customer),
            share: CustomerShare(1),
            service: SERVICE,
            class: RequestClass::Long,
            estimate: WorkUnits(300),
            prefix: 0,
            patience_micros: 60_000_000,
        },
    };
    let total = |customer, total| FleetTotal {
        customer: CustomerId(customer),
        total: NormalisedService(total),
        own: NormalisedService(0),
    };
    let totals = vec![total(1, 5_000_000), total(2, 1_000_000)];
    let ended = |sequence, units| AgentEvent::RunEnded {
        offer: offer_id(sequence, 0),
        units: WorkUnits(units),
    };
    vec![
        (1_000, AgentEvent::RouterJoined { router: ROUTER }),
        (1_010, offer(1, 1)),
        (1_012, AgentEvent::RunStarted { offer: offer_id(1, 0) }),
        (1_020, offer(2, 1)),
        (1_021, offer(3, 2)),
        (1_022, offer(4, 2)),
        (1_300, AgentEvent::TotalsReceived { totals }),
        (2_000, ended(1, 900)),
        (2_002, AgentEvent::GrantDeclined { router: ROUTER, offer: offer_id(3, 0) }),
        (2_004, AgentEvent::RunStarted { offer: offer_id(4, 0) }),
        (3_000, AgentEvent::RunProgressed { offer: offer_id(4, 0), units: WorkUnits(4_500) }),
        (3_100, ended(4, 4_800)),
        (6_000, AgentEvent::TimerFired),
        (6_100, AgentEvent::RouterLost { router: ROUTER }),
    ]
}

/// One whole answer, one retry, one refusal, one deadline and one late grant.
fn router_outcomes() -> Vec<(u64, RouterEvent)> {
    let arrived = |sequence| RouterEvent::RequestArrived {
        request: ArrivedRequest {
            id: offer_id(sequence, 0).request,
            customer: CustomerId(1),
            share: CustomerShare(1),
            queue_limit: 10,
            service: SERVICE,
            class: RequestClass::Short,
            hint: WorkUnits(50),
            prefix: 0,
            patience: Duration::from_secs(5),
        },
    };
    let joined = |agent| RouterEvent::AgentJoined {
        agent: VmId(agent),
        service: SERVICE,
        domain: DomainId(agent),
    };
    let granted = |agent, sequence, attempt| RouterEvent::GrantReceived {
        agent: VmId(agent),
        offer: offer_id(sequence, attempt),
    };
    let failed = |sequence, fault| RouterEvent::RunFailed {
        request: offer_id(sequence, 0).request,
        fault,
        repeatable: true,
    };
    let completed = |sequence| RouterEvent::RunCompleted {
        request: offer_id(sequence, 0).request,
        units: WorkUnits(60),
    };
    vec![
        (1_000, joined(51)),
        (1_000, joined(52)),
        (1_010, arrived(1)),
        (1_012, granted(51, 1, 0)),
        (1_013, granted(52, 1, 0)),
        (1_500, completed(1)),
        (2_000, arrived(2)),
        (2_002, granted(52, 2, 0)),
        (2_100, failed(2, RunFault::Interrupted)),
        (2_200, RouterEvent::TimerFired),
        (2_202, granted(51, 2, 1)),
        (2_300, completed(2)),
        (3_000, arrived(3)),
        (3_002, granted(51, 3, 0)),
        (3_003, failed(3, RunFault::Refused(ErrorKind::Quarantined))),
        (4_000, arrived(4)),
        (9_001, RouterEvent::TimerFired),
        (9_002, granted(51, 4, 0)),
    ]
}

/// A home that starts empty goes on from the totals that agents know.
fn account_home() -> Vec<(u64, RouterEvent)> {
    let reports = |sender: u64, given, known_total| RouterEvent::ReportsReceived {
        sender: VmId(sender),
        reports: vec![ServiceReport {
            agent: ProcessIncarnation(sender),
            vm: VmId(sender),
            customer: CustomerId(1),
            given: NormalisedService(given),
            known_total: NormalisedService(known_total),
            virtual_time: NormalisedService(1_000),
            waiting: true,
        }],
    };
    let joined = |agent| RouterEvent::AgentJoined {
        agent: VmId(agent),
        service: SERVICE,
        domain: DomainId(agent),
    };
    vec![
        (1_000, joined(51)),
        (1_000, joined(52)),
        (1_100, reports(51, 40_000, 900_000)),
        (1_110, reports(52, 70_000, 880_000)),
        (1_400, RouterEvent::TimerFired),
        (1_500, reports(52, 75_000, 905_000)),
        (1_500, reports(52, 75_000, 905_000)),
        (1_700, RouterEvent::TimerFired),
    ]
}
