//! Prints the time, memory and control traffic of scheduling decisions at several fleet sizes.
//!
//! Argument, optional: seed.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::alloc::System;
use std::hint::black_box;
use std::time::{Duration, Instant};

use fleet::FleetSimulation;
use fleet::plan::FleetPlan;
use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, FleetTotal, MonotonicTime, NormalisedService, OfferId,
    ProcessIncarnation, RequestClass, RequestId, ServiceId, ServiceReport, VmId, WorkOffer,
    WorkUnits,
};
use jackdaw_policy::router::account_home::AccountHome;
use jackdaw_policy::{
    AgentCommand, AgentCore, AgentEvent, AgentPolicy, ArrivedRequest, RouterCommand, RouterCore,
    RouterEvent, RouterPolicy, SharePolicy,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ROUNDS: u64 = 100_000;
const INCARNATION: ProcessIncarnation = ProcessIncarnation(9);
const SERVICE: ServiceId = ServiceId(1);

fn main() {
    let seed = std::env::args()
        .nth(1)
        .map_or(1, |text| text.parse().expect("the seed must be a whole number"));
    println!("seed {seed}");
    println!(
        "agent: customers | ns/request (offer, grant, run, charge) | ns/token | allocations/request | bytes/customer"
    );
    for customers in [1_000, 4_000, 16_000, 40_000] {
        measure_agent(seed, customers);
    }
    println!(
        "router: customers | agents | ns/request (arrival to end) | allocations/request | bytes/waiting request"
    );
    for (customers, agents) in [(1_000, 48), (4_000, 48), (16_000, 48), (40_000, 48), (4_000, 192)]
    {
        measure_router(seed, customers, agents);
    }
    println!(
        "account home: customers | agents/customer | ns/report | ns/total sent | bytes/stored report"
    );
    for (customers, agents) in [(16, 16), (16, 64), (64, 64), (256, 64)] {
        measure_home(customers, agents);
    }
    measure_messages();
    println!("control: customers | agents | bytes/s/node | fairness bytes/s/node");
    for (customers, agents) in [(16, 16), (64, 16), (256, 16), (16, 64)] {
        measure_control(seed, customers, agents);
    }
}

/// Prints the encoded size of each control message, with identifiers that encode to the same length
/// as hashed names.
fn measure_messages() {
    let long_id = 1 << 63;
    let request = RequestId { router: ProcessIncarnation(long_id), sequence: 1_000_000 };
    let id = OfferId { request, attempt: 0 };
    let (customer, service) = (CustomerId(long_id), ServiceId(long_id));
    let sample = WorkOffer { id, customer, service, prefix: long_id, ..offer(0, 0) };
    let report = ServiceReport {
        agent: ProcessIncarnation(long_id),
        vm: VmId(long_id),
        customer,
        given: NormalisedService(1_000_000_000),
        known_total: NormalisedService(100_000_000_000),
        virtual_time: NormalisedService(100_000_000_000),
        waiting: true,
    };
    let (total, own) = (report.known_total, report.given);
    let total = FleetTotal { customer, total, own };
    let encoded_len =
        |bytes: Result<Vec<u8>, postcard::Error>| bytes.map_or(0, |bytes| bytes.len());
    println!("message bytes: offer | grant, withdrawal or decline | report | total");
    println!(
        "{} | {} | {} | {}",
        encoded_len(postcard::to_stdvec(&sample)),
        encoded_len(postcard::to_stdvec(&id)),
        encoded_len(postcard::to_stdvec(&report)),
        encoded_len(postcard::to_stdvec(&total)),
    );
}

fn offer(sequence: u64, customer: u64) -> WorkOffer {
    WorkOffer {
        id: OfferId { request: RequestId { router: INCARNATION, sequence }, attempt: 0 },
        customer: CustomerId(customer),
        share: CustomerShare(1),
        service: SERVICE,
        class: RequestClass::Short,
        estimate: WorkUnits(100),
        prefix: 0,
        patience_micros: 3_600_000_000,
    }
}

fn measure_agent(seed: u64, customers: u64) {
    let router = VmId(1);
    let region = Region::new(ALLOCATOR);
    // Disable heartbeat reports here: `measure_control` covers their cost in bytes.
    let heartbeat_interval = Duration::from_secs(1_000_000);
    let policy = AgentPolicy { heartbeat_interval, ..AgentPolicy::default() };
    let mut core = AgentCore::new(policy, VmId(50), INCARNATION, seed);
    let mut commands = Vec::new();
    let mut now = MonotonicTime(1_000_000);
    core.handle(now, AgentEvent::RouterJoined { router }, &mut commands);
    let mut sequence = 0;
    let mut running = std::collections::VecDeque::new();
    for customer in 0..customers {
        let event = AgentEvent::OfferReceived { router, offer: offer(sequence, customer) };
        core.handle(now, event, &mut commands);
        sequence += 1;
    }
    let stats = region.change();
    let retained = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / customers;
    running.extend(0..8);
    for first in 0..8 {
        core.handle(now, AgentEvent::RunStarted { offer: offer(first, 0).id }, &mut commands);
    }
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    for round in 0..ROUNDS {
        // A request ends every 20 ms, as with 8 places and requests of 160 ms.
        now = now.after(Duration::from_millis(20));
        let ended_sequence = running.pop_front().expect("every place is in use");
        let units = WorkUnits(round % 200);
        commands.clear();
        core.handle(
            now,
            AgentEvent::RunEnded { offer: offer(ended_sequence, 0).id, units },
            &mut commands,
        );
        let granted = commands.iter().find_map(|command| match command {
            AgentCommand::SendGrant { offer, .. } => Some(*offer),
            _ => None,
        });
        let granted = granted.expect("an offer must be waiting");
        running.push_back(granted.request.sequence);
        core.handle(now, AgentEvent::RunStarted { offer: granted }, &mut commands);
        let event =
            AgentEvent::OfferReceived { router, offer: offer(sequence, sequence % customers) };
        core.handle(now, event, &mut commands);
        sequence += 1;
    }
    let nanos = start.elapsed().as_nanos() as u64 / ROUNDS;
    let allocations = region.change().allocations as f64 / ROUNDS as f64;
    let offer = offer(running[0], 0).id;
    let start = Instant::now();
    for round in 0..ROUNDS {
        let elapsed = Duration::from_millis(30);
        now = now.after(Duration::from_micros(300));
        commands.clear();
        core.handle(now, AgentEvent::NextToken { elapsed }, &mut commands);
        let units = WorkUnits(round);
        core.handle(now, AgentEvent::RunProgressed { offer, units }, &mut commands);
    }
    let token_nanos = start.elapsed().as_nanos() as u64 / ROUNDS;
    println!("{customers} | {nanos} | {token_nanos} | {allocations:.1} | {retained}");
}

fn arrived_request(sequence: u64, customer: u64) -> ArrivedRequest {
    ArrivedRequest {
        id: RequestId { router: INCARNATION, sequence },
        customer: CustomerId(customer),
        share: CustomerShare(1),
        queue_limit: 1_000,
        service: SERVICE,
        class: RequestClass::Short,
        hint: WorkUnits(100),
        prefix: 0,
        patience: Duration::from_secs(36_000),
    }
}

fn measure_router(seed: u64, customers: u64, agents: u64) {
    let region = Region::new(ALLOCATOR);
    let mut core = RouterCore::new(RouterPolicy::default(), VmId(1), INCARNATION, seed);
    let mut commands = Vec::new();
    let mut now = MonotonicTime(1_000_000);
    for agent in 0..agents {
        let (agent, domain) = (VmId(100 + agent), DomainId(agent % 8));
        core.handle(
            now,
            RouterEvent::AgentJoined { agent, service: SERVICE, domain },
            &mut commands,
        );
    }
    let mut offered = std::collections::VecDeque::new();
    let mut sequence = 0;
    let mut submit = |core: &mut RouterCore, now, commands: &mut Vec<RouterCommand>| {
        commands.clear();
        let request = arrived_request(sequence, sequence % customers);
        core.handle(now, RouterEvent::RequestArrived { request }, commands);
        sequence += 1;
        commands.iter().find_map(|command| match command {
            RouterCommand::SendOffer { agent, offer } => Some((*agent, offer.id)),
            _ => None,
        })
    };
    for _ in 0..customers {
        offered.extend(submit(&mut core, now, &mut commands));
    }
    let stats = region.change();
    let retained = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / customers;
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        // 36 requests per second.
        now = now.after(Duration::from_micros(27_700));
        let (agent, offer) = offered.pop_front().expect("a request must be waiting");
        core.handle(now, RouterEvent::GrantReceived { agent, offer }, &mut commands);
        let units = WorkUnits(100);
        let completed = RouterEvent::RunCompleted { request: offer.request, units };
        core.handle(now, completed, &mut commands);
        offered.extend(submit(&mut core, now, &mut commands));
    }
    let nanos = start.elapsed().as_nanos() as u64 / ROUNDS;
    let allocations = region.change().allocations as f64 / ROUNDS as f64;
    println!("{customers} | {agents} | {nanos} | {allocations:.1} | {retained}");
}

fn measure_home(customers: u64, agents: u64) {
    let region = Region::new(ALLOCATOR);
    let mut home = AccountHome::new(RouterPolicy::default().home_spans);
    let reports = customers * agents;
    let rounds = (ROUNDS / reports).max(4);
    let mut report_time = Duration::ZERO;
    let mut send_time = Duration::ZERO;
    let mut sent = 0;
    for round in 0..rounds {
        let now = MonotonicTime(1_000_000 * (round + 1));
        let start = Instant::now();
        for agent in 0..agents {
            for customer in 0..customers {
                let report = ServiceReport {
                    agent: ProcessIncarnation(agent),
                    vm: VmId(agent),
                    customer: CustomerId(customer),
                    given: NormalisedService(round * 1_000),
                    known_total: NormalisedService(0),
                    virtual_time: NormalisedService(0),
                    waiting: true,
                };
                home.record_report(now, Some(VmId(1_000 + agent % 8)), &report);
            }
        }
        report_time += start.elapsed();
        let start = Instant::now();
        let batches = black_box(home.collect_batches(now));
        send_time += start.elapsed();
        sent += batches.iter().map(|batch| batch.totals.len() as u64).sum::<u64>();
    }
    let stats = region.change();
    let retained = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / reports;
    let report_nanos = report_time.as_nanos() as u64 / (rounds * reports);
    let total_nanos = send_time.as_nanos() as u64 / sent.max(1);
    println!("{customers} | {agents} | {report_nanos} | {total_nanos} | {retained}");
}

fn measure_control(seed: u64, customers: usize, agents: usize) {
    let mut plan = FleetPlan::even(seed, SharePolicy::Fleet, 8, agents);
    plan.seconds = 20;
    let load = plan.customers[0].clone();
    plan.customers = vec![load; customers];
    let seconds = plan.seconds;
    let nodes = (agents + 8) as u64;
    let result = FleetSimulation::new(plan.with_load("even")).run();
    let bytes = result.bytes / seconds / nodes;
    println!("{customers} | {agents} | {bytes} | {}", result.fairness_bytes / seconds / nodes);
}
