//! Requests with the same prefix are offered to the same agent while it is not overloaded.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, MonotonicTime, OfferId, ProcessIncarnation, RequestClass,
    RequestId, ServiceId, VmId, WorkUnits,
};
use jackdaw_policy::{ArrivedRequest, RouterCommand, RouterCore, RouterEvent, RouterPolicy};

const SEED: u64 = 4;
const AGENTS: u64 = 8;
const PREFIX: u64 = 77;
const NOW: MonotonicTime = MonotonicTime(1_000_000);

fn router_core() -> RouterCore {
    let mut core = RouterCore::new(RouterPolicy::default(), VmId(1), ProcessIncarnation(1), SEED);
    for agent in 0..AGENTS {
        let event = RouterEvent::AgentJoined {
            agent: VmId(100 + agent),
            service: ServiceId(1),
            domain: DomainId(agent),
        };
        core.handle(NOW, event, &mut Vec::new());
    }
    core
}

/// Submits a request and returns its offers with their agents.
fn submit_request(core: &mut RouterCore, sequence: u64) -> Vec<(VmId, OfferId)> {
    let request = ArrivedRequest {
        id: RequestId { router: ProcessIncarnation(1), sequence },
        customer: CustomerId(sequence),
        share: CustomerShare(1),
        queue_limit: 100,
        service: ServiceId(1),
        class: RequestClass::Short,
        hint: WorkUnits(0),
        prefix: PREFIX,
        patience: Duration::from_secs(60),
    };
    let mut commands = Vec::new();
    core.handle(NOW, RouterEvent::RequestArrived { request }, &mut commands);
    let mut offers = Vec::new();
    for command in commands {
        if let RouterCommand::SendOffer { agent, offer } = command {
            offers.push((agent, offer.id));
        }
    }
    offers
}

#[test]
fn same_prefix_same_agent() {
    let mut core = router_core();
    let mut agents = BTreeMap::new();
    for sequence in 0..20 {
        let offers = submit_request(&mut core, sequence);
        assert_eq!(offers.len(), 1);
        let (agent, offer) = offers[0];
        *agents.entry(agent).or_insert(0) += 1;
        core.handle(NOW, RouterEvent::GrantReceived { agent, offer }, &mut Vec::new());
        let units = WorkUnits(9);
        let event = RouterEvent::RunCompleted { request: offer.request, units };
        core.handle(NOW, event, &mut Vec::new());
    }
    assert_eq!(agents.len(), 1);
}

#[test]
fn bounded_imbalance() {
    let mut core = router_core();
    let mut loads = BTreeMap::new();
    for sequence in 0..200 {
        for (agent, _) in submit_request(&mut core, sequence) {
            *loads.entry(agent).or_insert(0_u32) += 1;
        }
    }
    let max = loads.values().max().copied().unwrap_or(0);
    let mean = loads.values().sum::<u32>() / AGENTS as u32;
    println!("seed {SEED}: max {max}, mean {mean}");
    assert_eq!(loads.len(), AGENTS as usize);
    assert!(max <= mean * 3 / 2 + 3);
}
