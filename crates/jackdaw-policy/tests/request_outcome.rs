//! Outcomes that the router reports to callers, and the offers and grants that lead to them.

use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, ErrorKind, MonotonicTime, OfferId, ProcessIncarnation,
    RequestClass, RequestId, ServiceId, VmId, WorkUnits,
};
use jackdaw_policy::{
    ArrivedRequest, RouterCommand, RouterCore, RouterEvent, RouterPolicy, RunFault,
};

const SEED: u64 = 7;
const INCARNATION: ProcessIncarnation = ProcessIncarnation(1);
const SERVICE: ServiceId = ServiceId(5);

struct RouterHarness {
    core: RouterCore,
    now: MonotonicTime,
}

impl RouterHarness {
    fn new(agents: u64) -> RouterHarness {
        let core = RouterCore::new(RouterPolicy::default(), VmId(1), INCARNATION, SEED);
        let mut harness = RouterHarness { core, now: MonotonicTime(1_000) };
        for agent in 0..agents {
            let domain = DomainId(agent % 3);
            harness.handle(RouterEvent::AgentJoined {
                agent: VmId(100 + agent),
                service: SERVICE,
                domain,
            });
        }
        harness
    }

    fn handle(&mut self, event: RouterEvent) -> Vec<RouterCommand> {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in &commands {
            assert!(!matches!(command, RouterCommand::ReportViolation { .. }), "{command:?}");
        }
        commands
    }

    fn advance(&mut self, elapsed: Duration) -> Vec<RouterCommand> {
        self.now = self.now.after(elapsed);
        self.handle(RouterEvent::TimerFired)
    }

    fn arrive(&mut self, sequence: u64) -> Vec<RouterCommand> {
        self.handle(RouterEvent::RequestArrived { request: request(sequence) })
    }

    fn grant(&mut self, agent: VmId, sequence: u64, attempt: u32) -> Vec<RouterCommand> {
        self.handle(RouterEvent::GrantReceived { agent, offer: offer(sequence, attempt) })
    }

    fn fail(&mut self, sequence: u64, fault: RunFault, repeatable: bool) -> Vec<RouterCommand> {
        self.handle(RouterEvent::RunFailed { request: request(sequence).id, fault, repeatable })
    }
}

fn request(sequence: u64) -> ArrivedRequest {
    ArrivedRequest {
        id: RequestId { router: INCARNATION, sequence },
        customer: CustomerId(9),
        share: CustomerShare(1),
        queue_limit: 4,
        service: SERVICE,
        class: RequestClass::Short,
        hint: WorkUnits(50),
        prefix: 0,
        patience: Duration::from_secs(5),
    }
}

fn offer(sequence: u64, attempt: u32) -> OfferId {
    OfferId { request: request(sequence).id, attempt }
}

fn holders(commands: &[RouterCommand]) -> Vec<VmId> {
    let mut agents = Vec::new();
    for command in commands {
        if let RouterCommand::SendOffer { agent, .. } = command {
            agents.push(*agent);
        }
    }
    agents
}

fn answer(commands: &[RouterCommand]) -> Option<ErrorKind> {
    commands.iter().find_map(|command| match command {
        RouterCommand::Answer { kind, .. } => Some(*kind),
        _ => None,
    })
}

#[test]
fn first_grant_wins() {
    let mut harness = RouterHarness::new(6);
    let asked = holders(&harness.arrive(1));
    assert_eq!(asked.len(), 3);
    let commands = harness.grant(asked[0], 1, 0);
    assert!(commands.contains(&RouterCommand::StartRun { agent: asked[0], offer: offer(1, 0) }));
    for agent in &asked[1..] {
        let withdraw = RouterCommand::SendWithdraw { agent: *agent, offer: offer(1, 0) };
        assert!(commands.contains(&withdraw));
    }
    let late = harness.grant(asked[1], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[1], offer: offer(1, 0) }]);
}

#[test]
fn deadline_without_run() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    let commands = harness.advance(Duration::from_secs(6));
    assert_eq!(answer(&commands), Some(ErrorKind::DeadlineUnreachable));
    let late = harness.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
    assert!(harness.core.is_idle());
}

#[test]
fn deadline_during_run() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.grant(asked[0], 1, 0);
    let commands = harness.advance(Duration::from_secs(6));
    assert_eq!(answer(&commands), None, "a started run was abandoned at the deadline");
    let fault = RunFault::Interrupted;
    let commands =
        harness.handle(RouterEvent::RunFailed { request: request(1).id, fault, repeatable: true });
    assert_eq!(answer(&commands), Some(ErrorKind::DeadlineExceeded));
    assert!(harness.core.is_idle());
}

#[test]
fn cancelled_offer_fenced() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.handle(RouterEvent::RequestCancelled { request: request(1).id });
    let late = harness.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
}

#[test]
fn interrupted_is_unknown() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.grant(asked[0], 1, 0);
    let commands = harness.fail(1, RunFault::Interrupted, false);
    assert_eq!(answer(&commands), Some(ErrorKind::Interrupted));
}

#[test]
fn refused_after_interruption() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.grant(asked[0], 1, 0);
    assert_eq!(answer(&harness.fail(1, RunFault::Interrupted, true)), None);
    let asked = holders(&harness.advance(Duration::from_millis(200)));
    harness.grant(asked[0], 1, 1);
    // The first run may have reached its target, so the outcome must not be "not run".
    let refused = RunFault::Refused(ErrorKind::Quarantined);
    assert_eq!(answer(&harness.fail(1, refused, true)), Some(ErrorKind::Interrupted));
}

#[test]
fn refused_is_not_run() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.grant(asked[0], 1, 0);
    let refused = RunFault::Refused(ErrorKind::ClaimUnavailable);
    assert_eq!(answer(&harness.fail(1, refused, false)), Some(ErrorKind::ClaimUnavailable));
}

#[test]
fn repeated_crashes_end() {
    let mut harness = RouterHarness::new(3);
    let asked = holders(&harness.arrive(1));
    harness.grant(asked[0], 1, 0);
    assert_eq!(answer(&harness.fail(1, RunFault::TargetCrashed, true)), None);
    let asked = holders(&harness.advance(Duration::from_millis(200)));
    harness.grant(asked[0], 1, 1);
    let commands = harness.fail(1, RunFault::TargetCrashed, true);
    assert_eq!(answer(&commands), Some(ErrorKind::Interrupted));
}

#[test]
fn queue_limit_holds() {
    let mut harness = RouterHarness::new(3);
    for sequence in 0..4 {
        assert_eq!(answer(&harness.arrive(sequence)), None);
    }
    assert_eq!(answer(&harness.arrive(4)), Some(ErrorKind::QueueFull));
}

#[test]
fn no_agent_answers() {
    let mut harness = RouterHarness::new(0);
    assert_eq!(answer(&harness.arrive(1)), None);
    let mut answered = None;
    for _ in 0..40 {
        answered = answered.or(answer(&harness.advance(Duration::from_millis(100))));
    }
    assert_eq!(answered, Some(ErrorKind::NoCapacity));
}

#[test]
fn agent_comes_back() {
    let mut harness = RouterHarness::new(1);
    harness.arrive(1);
    harness.advance(Duration::from_secs(2));
    harness.handle(RouterEvent::AgentLost { agent: VmId(100) });
    // The timeout counts from the loss of the last agent, not from the arrival of the request.
    assert_eq!(answer(&harness.advance(Duration::from_millis(1_300))), None);
    let joined =
        RouterEvent::AgentJoined { agent: VmId(100), service: SERVICE, domain: DomainId(0) };
    assert_eq!(holders(&harness.handle(joined)), [VmId(100)]);
}

#[test]
fn lost_agent_replaced() {
    let mut harness = RouterHarness::new(6);
    let asked = holders(&harness.arrive(1));
    let commands = harness.handle(RouterEvent::AgentLost { agent: asked[0] });
    assert_eq!(holders(&commands).len(), 1);
    let late = harness.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
}

#[test]
fn draining_refuses() {
    let mut harness = RouterHarness::new(3);
    harness.handle(RouterEvent::DrainStarted);
    assert_eq!(answer(&harness.arrive(1)), Some(ErrorKind::NotReady));
}
