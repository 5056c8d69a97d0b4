//! Prints what decisions cost at several sizes: time, memory and control bytes.
//!
//! Argument: the seed; optional.

#[path = "../tests/support/fleet.rs"]
mod fleet;

use std::alloc::System;
use std::hint::black_box;
use std::time::{Duration, Instant};

use fleet::Fleet;
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
    let seed = std::env::args().nth(1).map_or(1, |text| text.parse().expect("a whole number"));
    println!("seed {seed}");
    println!(
        "agent: customers | ns a request (offer, grant, run, charge) | ns a token | allocations a request | bytes a customer"
    );
    for customers in [1_000, 4_000, 16_000, 40_000] {
        measure_agent(seed, customers);
    }
    println!(
        "router: customers | agents | ns a request (arrival to end) | allocations a request | bytes a waiting request"
    );
    for (customers, agents) in [(1_000, 48), (4_000, 48), (16_000, 48), (40_000, 48), (4_000, 192)]
    {
        measure_router(seed, customers, agents);
    }
    println!(
        "home: customers | agents of each | ns a report | ns a total sent | bytes a report kept"
    );
    for (customers, agents) in [(16, 16), (16, 64), (64, 64), (256, 64)] {
        measure_home(customers, agents);
    }
    measure_messages();
    println!("control: customers | agents | bytes/s a node | of it fairness");
    for (customers, agents) in [(16, 16), (64, 16), (256, 16), (16, 64)] {
        measure_control(seed, customers, agents);
    }
}

/// Prints the bytes of each control message, with identifiers as long as hashed names.
fn measure_messages() {
    let long = 1 << 63;
    let request = RequestId { router: ProcessIncarnation(long), sequence: 1_000_000 };
    let id = OfferId { request, attempt: 0 };
    let (customer, service) = (CustomerId(long), ServiceId(long));
    let sample = WorkOffer { id, customer, service, prefix: long, ..offer(0, 0) };
    let report = ServiceReport {
        agent: ProcessIncarnation(long),
        vm: VmId(long),
        customer,
        given: NormalisedService(1_000_000_000),
        known_total: NormalisedService(100_000_000_000),
        virtual_time: NormalisedService(100_000_000_000),
        waiting: true,
    };
    let (total, own) = (report.known_total, report.given);
    let total = FleetTotal { customer, total, own };
    let length = |bytes: Result<Vec<u8>, postcard::Error>| bytes.map_or(0, |bytes| bytes.len());
    println!("bytes: offer | grant, withdrawal or decline | report | total");
    println!(
        "{} | {} | {} | {}",
        length(postcard::to_stdvec(&sample)),
        length(postcard::to_stdvec(&id)),
        length(postcard::to_stdvec(&report)),
        length(postcard::to_stdvec(&total)),
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
    // Reports of customers without a change are measured by their bytes, below.
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
    let held = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / customers;
    running.extend(0..8);
    for first in 0..8 {
        core.handle(now, AgentEvent::RunStarted { offer: offer(first, 0).id }, &mut commands);
    }
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    for round in 0..ROUNDS {
        // A request ends every 20 ms, as at 8 places with requests of 160 ms.
        now = now.after(Duration::from_millis(20));
        let ended = running.pop_front().expect("places are taken");
        let units = WorkUnits(round % 200);
        commands.clear();
        core.handle(now, AgentEvent::RunEnded { offer: offer(ended, 0).id, units }, &mut commands);
        let granted = commands.iter().find_map(|command| match command {
            AgentCommand::SendGrant { offer, .. } => Some(*offer),
            _ => None,
        });
        let granted = granted.expect("offers wait");
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
    let token = start.elapsed().as_nanos() as u64 / ROUNDS;
    println!("{customers} | {nanos} | {token} | {allocations:.1} | {held}");
}

fn arrival(sequence: u64, customer: u64) -> ArrivedRequest {
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
    let mut holders = std::collections::VecDeque::new();
    let mut sequence = 0;
    let mut arrive = |core: &mut RouterCore, now, commands: &mut Vec<RouterCommand>| {
        commands.clear();
        let request = arrival(sequence, sequence % customers);
        core.handle(now, RouterEvent::RequestArrived { request }, commands);
        sequence += 1;
        commands.iter().find_map(|command| match command {
            RouterCommand::SendOffer { agent, offer } => Some((*agent, offer.id)),
            _ => None,
        })
    };
    for _ in 0..customers {
        holders.extend(arrive(&mut core, now, &mut commands));
    }
    let stats = region.change();
    let held = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / customers;
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        // 36 requests a second.
        now = now.after(Duration::from_micros(27_700));
        let (agent, offer) = holders.pop_front().expect("requests wait");
        core.handle(now, RouterEvent::GrantReceived { agent, offer }, &mut commands);
        let units = WorkUnits(100);
        let completed = RouterEvent::RunCompleted { request: offer.request, units };
        core.handle(now, completed, &mut commands);
        holders.extend(arrive(&mut core, now, &mut commands));
    }
    let nanos = start.elapsed().as_nanos() as u64 / ROUNDS;
    let allocations = region.change().allocations as f64 / ROUNDS as f64;
    println!("{customers} | {agents} | {nanos} | {allocations:.1} | {held}");
}

fn measure_home(customers: u64, agents: u64) {
    let region = Region::new(ALLOCATOR);
    let mut home = AccountHome::new(RouterPolicy::default().home_spans);
    let reports = customers * agents;
    let rounds = (ROUNDS / reports).max(4);
    let mut take = Duration::ZERO;
    let mut send = Duration::ZERO;
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
        take += start.elapsed();
        let start = Instant::now();
        let batches = black_box(home.collect_batches(now));
        send += start.elapsed();
        sent += batches.iter().map(|batch| batch.totals.len() as u64).sum::<u64>();
    }
    let stats = region.change();
    let held = (stats.bytes_allocated - stats.bytes_deallocated) as u64 / reports;
    let report_nanos = take.as_nanos() as u64 / (rounds * reports);
    let total_nanos = send.as_nanos() as u64 / sent.max(1);
    println!("{customers} | {agents} | {report_nanos} | {total_nanos} | {held}");
}

fn measure_control(seed: u64, customers: usize, agents: usize) {
    let mut plan = FleetPlan::even(seed, SharePolicy::Fleet, 8, agents);
    plan.seconds = 20;
    let load = plan.customers[0].clone();
    plan.customers = vec![load; customers];
    let seconds = plan.seconds;
    let nodes = (agents + 8) as u64;
    let result = Fleet::new(plan.shape("even")).run();
    let bytes = result.bytes / seconds / nodes;
    println!("{customers} | {agents} | {bytes} | {}", result.fairness_bytes / seconds / nodes);
}
