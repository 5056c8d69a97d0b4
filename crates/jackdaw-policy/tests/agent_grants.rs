//! What an agent grants, and to whom.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, FleetTotal, MonotonicTime, NormalisedService, OfferId,
    ProcessIncarnation, RequestClass, RequestId, ServiceId, VmId, WorkOffer, WorkUnits,
};
use jackdaw_policy::{AgentCommand, AgentCore, AgentEvent, AgentPolicy};

const SEED: u64 = 3;
const ROUTER: VmId = VmId(1);

struct AgentBench {
    core: AgentCore,
    now: MonotonicTime,
}

impl AgentBench {
    fn new(places: u32) -> AgentBench {
        let policy = AgentPolicy { places, ..AgentPolicy::default() };
        let core = AgentCore::new(policy, VmId(50), ProcessIncarnation(2), SEED);
        let mut bench = AgentBench { core, now: MonotonicTime(1_000_000) };
        bench.tell(AgentEvent::RouterJoined { router: ROUTER });
        bench
    }

    fn tell(&mut self, event: AgentEvent) -> Vec<AgentCommand> {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in &commands {
            assert!(!matches!(command, AgentCommand::ReportViolation { .. }), "{command:?}");
        }
        commands
    }

    /// Offers a request and returns the sequence numbers that are granted.
    fn offer(&mut self, sequence: u64, customer: u64, class: RequestClass) -> Vec<u64> {
        let offer = WorkOffer {
            id: id(sequence),
            customer: CustomerId(customer),
            share: CustomerShare(1),
            service: ServiceId(1),
            class,
            estimate: WorkUnits(100),
            prefix: 0,
            patience_micros: 60_000_000,
        };
        granted(&self.tell(AgentEvent::OfferReceived { router: ROUTER, offer }))
    }

    fn start(&mut self, sequence: u64) {
        assert!(self.core.holds_grant(ROUTER, id(sequence)));
        self.tell(AgentEvent::RunStarted { offer: id(sequence) });
    }

    fn end(&mut self, sequence: u64, units: u64) -> Vec<u64> {
        let units = WorkUnits(units);
        granted(&self.tell(AgentEvent::RunEnded { offer: id(sequence), units }))
    }
}

fn id(sequence: u64) -> OfferId {
    OfferId { request: RequestId { router: ProcessIncarnation(1), sequence }, attempt: 0 }
}

fn granted(commands: &[AgentCommand]) -> Vec<u64> {
    let mut sequences = Vec::new();
    for command in commands {
        if let AgentCommand::SendGrant { offer, .. } = command {
            sequences.push(offer.request.sequence);
        }
    }
    sequences
}

#[test]
fn least_served_first() {
    let mut bench = AgentBench::new(1);
    assert_eq!(bench.offer(1, 1, RequestClass::Long), [1]);
    bench.start(1);
    bench.offer(2, 1, RequestClass::Long);
    bench.offer(3, 2, RequestClass::Long);
    assert_eq!(bench.end(1, 900), [3]);
}

#[test]
fn fleet_total_decides() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 9, RequestClass::Short);
    bench.start(1);
    bench.offer(2, 1, RequestClass::Short);
    bench.offer(3, 2, RequestClass::Short);
    let total = |customer, total| FleetTotal {
        customer: CustomerId(customer),
        total: NormalisedService(total),
        own: NormalisedService(0),
    };
    bench.tell(AgentEvent::TotalsReceived { totals: vec![total(1, 9_000_000), total(2, 10)] });
    assert_eq!(bench.end(1, 50), [3]);
}

#[test]
fn idle_earns_nothing() {
    let mut bench = AgentBench::new(1);
    bench.offer(0, 2, RequestClass::Long);
    bench.start(0);
    bench.offer(1, 1, RequestClass::Long);
    let mut current = bench.end(0, 10)[0];
    for sequence in 2..20 {
        bench.start(current);
        bench.now = bench.now.after(Duration::from_secs(1));
        bench.offer(sequence, 1, RequestClass::Long);
        current = bench.end(current, 1_000)[0];
    }
    bench.start(current);
    for sequence in 100..103 {
        bench.offer(sequence, 2, RequestClass::Long);
        bench.offer(sequence + 100, 1, RequestClass::Long);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        current = bench.end(current, 1_000)[0];
        order.push(current);
        bench.start(current);
    }
    let returned = order.iter().filter(|sequence| (100..103).contains(*sequence)).count();
    assert!((1..=2).contains(&returned), "{order:?}");
}

#[test]
fn short_passes_long() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 1, RequestClass::Long);
    bench.start(1);
    bench.offer(2, 1, RequestClass::Long);
    bench.offer(3, 1, RequestClass::Short);
    assert_eq!(bench.end(1, 500), [3]);
}

#[test]
fn long_not_starved() {
    let mut bench = AgentBench::new(1);
    bench.offer(0, 1, RequestClass::Long);
    bench.start(0);
    bench.offer(100, 1, RequestClass::Long);
    let mut current = 0;
    for sequence in 1..20 {
        bench.offer(sequence, 1, RequestClass::Short);
        let next = bench.end(current, 10);
        current = next[0];
        if current == 100 {
            return;
        }
        bench.start(current);
    }
    panic!("the long request was never granted");
}

#[test]
fn lost_router_frees() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 1, RequestClass::Short);
    bench.tell(AgentEvent::RouterLost { router: ROUTER });
    assert!(!bench.core.holds_grant(ROUTER, id(1)));
    assert_eq!(bench.offer(2, 1, RequestClass::Short), [2]);
}

#[test]
fn declined_grant_frees() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 1, RequestClass::Short);
    bench.offer(2, 1, RequestClass::Short);
    let commands = bench.tell(AgentEvent::GrantDeclined { router: ROUTER, offer: id(1) });
    assert_eq!(granted(&commands), [2]);
    let customers = bench.core.snapshot().customers;
    assert_eq!(customers[0].active, 1);
}

#[test]
fn unused_grant_expires() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 1, RequestClass::Short);
    bench.offer(2, 1, RequestClass::Short);
    bench.now = bench.now.after(Duration::from_secs(3));
    assert_eq!(granted(&bench.tell(AgentEvent::TimerFired)), [2]);
    assert!(!bench.core.holds_grant(ROUTER, id(1)));
}

#[test]
fn running_survives_loss() {
    let mut bench = AgentBench::new(1);
    bench.offer(1, 1, RequestClass::Short);
    bench.start(1);
    bench.tell(AgentEvent::RouterLost { router: ROUTER });
    assert_eq!(bench.core.snapshot().running, 1);
    bench.tell(AgentEvent::RunEnded { offer: id(1), units: WorkUnits(5) });
    assert_eq!(bench.core.snapshot().running, 0);
}

#[test]
fn drain_finishes_runs() {
    let mut bench = AgentBench::new(2);
    bench.offer(1, 1, RequestClass::Short);
    bench.start(1);
    let commands = bench.tell(AgentEvent::DrainStarted);
    assert!(commands.contains(&AgentCommand::AnnounceLeaving { router: ROUTER }));
    assert!(!commands.contains(&AgentCommand::FinishDrain));
    assert!(bench.offer(2, 1, RequestClass::Short).is_empty());
    let units = WorkUnits(5);
    let commands = bench.tell(AgentEvent::RunEnded { offer: id(1), units });
    assert!(commands.contains(&AgentCommand::FinishDrain));
}

#[test]
fn latency_moves_limit() {
    let mut bench = AgentBench::new(8);
    let feed = |bench: &mut AgentBench, millis: u64| {
        for _ in 0..200 {
            bench.now = bench.now.after(Duration::from_millis(10));
            let elapsed = Duration::from_millis(millis);
            bench.tell(AgentEvent::NextToken { elapsed });
        }
    };
    feed(&mut bench, 120);
    let lowered = bench.core.snapshot().places;
    assert!(lowered < 8);
    for sequence in 0..8 {
        bench.offer(sequence, 1, RequestClass::Short);
    }
    feed(&mut bench, 20);
    let raised = bench.core.snapshot().places;
    assert!(raised > lowered && raised <= 8);
}

#[test]
fn operator_limit_holds() {
    let mut bench = AgentBench::new(8);
    bench.tell(AgentEvent::PlaceLimitChanged { places: 2 });
    for sequence in 0..6 {
        bench.offer(sequence, 1, RequestClass::Short);
    }
    let snapshot = bench.core.snapshot();
    assert_eq!((snapshot.granted, snapshot.waiting), (2, 4));
}
