//! Order, limits and lifetime of the grants of an agent.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, FleetTotal, MonotonicTime, NormalisedService, OfferId,
    ProcessIncarnation, RequestClass, RequestId, ServiceId, VmId, WorkOffer, WorkUnits,
};
use jackdaw_policy::{AgentCommand, AgentCore, AgentEvent, AgentPolicy};

const SEED: u64 = 3;
const ROUTER: VmId = VmId(1);

struct AgentHarness {
    core: AgentCore,
    now: MonotonicTime,
}

impl AgentHarness {
    fn new(places: u32) -> AgentHarness {
        let policy = AgentPolicy { places, ..AgentPolicy::default() };
        let core = AgentCore::new(policy, VmId(50), ProcessIncarnation(2), SEED);
        let mut harness = AgentHarness { core, now: MonotonicTime(1_000_000) };
        harness.handle(AgentEvent::RouterJoined { router: ROUTER });
        harness
    }

    fn handle(&mut self, event: AgentEvent) -> Vec<AgentCommand> {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in &commands {
            assert!(!matches!(command, AgentCommand::ReportViolation { .. }), "{command:?}");
        }
        commands
    }

    /// Offers a request and returns the sequence numbers of the requests granted in response.
    fn offer(&mut self, sequence: u64, customer: u64, class: RequestClass) -> Vec<u64> {
        let offer = WorkOffer {
            id: offer_id(sequence),
            customer: CustomerId(customer),
            share: CustomerShare(1),
            service: ServiceId(1),
            class,
            estimate: WorkUnits(100),
            prefix: 0,
            patience_micros: 60_000_000,
        };
        granted_sequences(&self.handle(AgentEvent::OfferReceived { router: ROUTER, offer }))
    }

    fn start(&mut self, sequence: u64) {
        assert!(self.core.holds_grant(ROUTER, offer_id(sequence)));
        self.handle(AgentEvent::RunStarted { offer: offer_id(sequence) });
    }

    fn end(&mut self, sequence: u64, units: u64) -> Vec<u64> {
        let units = WorkUnits(units);
        granted_sequences(&self.handle(AgentEvent::RunEnded { offer: offer_id(sequence), units }))
    }
}

fn offer_id(sequence: u64) -> OfferId {
    OfferId { request: RequestId { router: ProcessIncarnation(1), sequence }, attempt: 0 }
}

fn granted_sequences(commands: &[AgentCommand]) -> Vec<u64> {
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
    let mut harness = AgentHarness::new(1);
    assert_eq!(harness.offer(1, 1, RequestClass::Long), [1]);
    harness.start(1);
    harness.offer(2, 1, RequestClass::Long);
    harness.offer(3, 2, RequestClass::Long);
    assert_eq!(harness.end(1, 900), [3]);
}

#[test]
fn fleet_total_sets_order() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 9, RequestClass::Short);
    harness.start(1);
    harness.offer(2, 1, RequestClass::Short);
    harness.offer(3, 2, RequestClass::Short);
    let total = |customer, total| FleetTotal {
        customer: CustomerId(customer),
        total: NormalisedService(total),
        own: NormalisedService(0),
    };
    harness.handle(AgentEvent::TotalsReceived { totals: vec![total(1, 9_000_000), total(2, 10)] });
    assert_eq!(harness.end(1, 50), [3]);
}

/// A customer that returns after an idle time must not be served exclusively until its lower
/// counter has caught up.
#[test]
fn idle_time_earns_no_credit() {
    let mut harness = AgentHarness::new(1);
    harness.offer(0, 2, RequestClass::Long);
    harness.start(0);
    harness.offer(1, 1, RequestClass::Long);
    let mut current = harness.end(0, 10)[0];
    for sequence in 2..20 {
        harness.start(current);
        harness.now = harness.now.after(Duration::from_secs(1));
        harness.offer(sequence, 1, RequestClass::Long);
        current = harness.end(current, 1_000)[0];
    }
    harness.start(current);
    for sequence in 100..103 {
        harness.offer(sequence, 2, RequestClass::Long);
        harness.offer(sequence + 100, 1, RequestClass::Long);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        current = harness.end(current, 1_000)[0];
        order.push(current);
        harness.start(current);
    }
    let returned = order.iter().filter(|sequence| (100..103).contains(*sequence)).count();
    assert!((1..=2).contains(&returned), "{order:?}");
}

#[test]
fn short_overtakes_long() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 1, RequestClass::Long);
    harness.start(1);
    harness.offer(2, 1, RequestClass::Long);
    harness.offer(3, 1, RequestClass::Short);
    assert_eq!(harness.end(1, 500), [3]);
}

#[test]
fn long_not_starved() {
    let mut harness = AgentHarness::new(1);
    harness.offer(0, 1, RequestClass::Long);
    harness.start(0);
    harness.offer(100, 1, RequestClass::Long);
    let mut current = 0;
    for sequence in 1..20 {
        harness.offer(sequence, 1, RequestClass::Short);
        let next = harness.end(current, 10);
        current = next[0];
        if current == 100 {
            return;
        }
        harness.start(current);
    }
    panic!("the long request was never granted while short ones kept arriving");
}

#[test]
fn lost_router_frees_place() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 1, RequestClass::Short);
    harness.handle(AgentEvent::RouterLost { router: ROUTER });
    assert!(!harness.core.holds_grant(ROUTER, offer_id(1)));
    assert_eq!(harness.offer(2, 1, RequestClass::Short), [2]);
}

#[test]
fn declined_grant_frees_place() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 1, RequestClass::Short);
    harness.offer(2, 1, RequestClass::Short);
    let commands = harness.handle(AgentEvent::GrantDeclined { router: ROUTER, offer: offer_id(1) });
    assert_eq!(granted_sequences(&commands), [2]);
    let customers = harness.core.snapshot().customers;
    assert_eq!(customers[0].active, 1);
}

#[test]
fn unused_grant_expires() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 1, RequestClass::Short);
    harness.offer(2, 1, RequestClass::Short);
    harness.now = harness.now.after(Duration::from_secs(3));
    assert_eq!(granted_sequences(&harness.handle(AgentEvent::TimerFired)), [2]);
    assert!(!harness.core.holds_grant(ROUTER, offer_id(1)));
}

#[test]
fn run_survives_router_loss() {
    let mut harness = AgentHarness::new(1);
    harness.offer(1, 1, RequestClass::Short);
    harness.start(1);
    harness.handle(AgentEvent::RouterLost { router: ROUTER });
    assert_eq!(harness.core.snapshot().running, 1);
    harness.handle(AgentEvent::RunEnded { offer: offer_id(1), units: WorkUnits(5) });
    assert_eq!(harness.core.snapshot().running, 0);
}

#[test]
fn drain_finishes_runs() {
    let mut harness = AgentHarness::new(2);
    harness.offer(1, 1, RequestClass::Short);
    harness.start(1);
    let commands = harness.handle(AgentEvent::DrainStarted);
    assert!(commands.contains(&AgentCommand::AnnounceLeaving { router: ROUTER }));
    assert!(!commands.contains(&AgentCommand::FinishDrain));
    assert!(harness.offer(2, 1, RequestClass::Short).is_empty());
    let units = WorkUnits(5);
    let commands = harness.handle(AgentEvent::RunEnded { offer: offer_id(1), units });
    assert!(commands.contains(&AgentCommand::FinishDrain));
}

#[test]
fn latency_adjusts_limit() {
    let mut harness = AgentHarness::new(8);
    let feed_tokens = |harness: &mut AgentHarness, millis: u64| {
        for _ in 0..200 {
            harness.now = harness.now.after(Duration::from_millis(10));
            let elapsed = Duration::from_millis(millis);
            harness.handle(AgentEvent::NextToken { elapsed });
        }
    };
    feed_tokens(&mut harness, 120);
    let lowered = harness.core.snapshot().places;
    assert!(lowered < 8);
    for sequence in 0..8 {
        harness.offer(sequence, 1, RequestClass::Short);
    }
    feed_tokens(&mut harness, 20);
    let raised = harness.core.snapshot().places;
    assert!(raised > lowered && raised <= 8);
}

#[test]
fn configured_limit_holds() {
    let mut harness = AgentHarness::new(8);
    harness.handle(AgentEvent::PlaceLimitChanged { places: 2 });
    for sequence in 0..6 {
        harness.offer(sequence, 1, RequestClass::Short);
    }
    let snapshot = harness.core.snapshot();
    assert_eq!((snapshot.granted, snapshot.waiting), (2, 4));
}
