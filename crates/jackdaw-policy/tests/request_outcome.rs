//! What a caller is told, and when.

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

struct RouterBench {
    core: RouterCore,
    now: MonotonicTime,
}

impl RouterBench {
    fn new(agents: u64) -> RouterBench {
        let core = RouterCore::new(RouterPolicy::default(), VmId(1), INCARNATION, SEED);
        let mut bench = RouterBench { core, now: MonotonicTime(1_000) };
        for agent in 0..agents {
            let domain = DomainId(agent % 3);
            bench.tell(RouterEvent::AgentJoined {
                agent: VmId(100 + agent),
                service: SERVICE,
                domain,
            });
        }
        bench
    }

    fn tell(&mut self, event: RouterEvent) -> Vec<RouterCommand> {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in &commands {
            assert!(!matches!(command, RouterCommand::ReportViolation { .. }), "{command:?}");
        }
        commands
    }

    fn pass(&mut self, span: Duration) -> Vec<RouterCommand> {
        self.now = self.now.after(span);
        self.tell(RouterEvent::TimerFired)
    }

    fn arrive(&mut self, sequence: u64) -> Vec<RouterCommand> {
        self.tell(RouterEvent::RequestArrived { request: request(sequence) })
    }

    fn grant(&mut self, agent: VmId, sequence: u64, attempt: u32) -> Vec<RouterCommand> {
        self.tell(RouterEvent::GrantReceived { agent, offer: offer(sequence, attempt) })
    }

    fn fail(&mut self, sequence: u64, fault: RunFault, repeatable: bool) -> Vec<RouterCommand> {
        self.tell(RouterEvent::RunFailed { request: request(sequence).id, fault, repeatable })
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
    let mut bench = RouterBench::new(6);
    let asked = holders(&bench.arrive(1));
    assert_eq!(asked.len(), 3);
    let commands = bench.grant(asked[0], 1, 0);
    assert!(commands.contains(&RouterCommand::StartRun { agent: asked[0], offer: offer(1, 0) }));
    for agent in &asked[1..] {
        let withdraw = RouterCommand::SendWithdraw { agent: *agent, offer: offer(1, 0) };
        assert!(commands.contains(&withdraw));
    }
    let late = bench.grant(asked[1], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[1], offer: offer(1, 0) }]);
}

#[test]
fn deadline_without_run() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    let commands = bench.pass(Duration::from_secs(6));
    assert_eq!(answer(&commands), Some(ErrorKind::DeadlineUnreachable));
    let late = bench.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
    assert!(bench.core.is_idle());
}

#[test]
fn deadline_during_run() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.grant(asked[0], 1, 0);
    let commands = bench.pass(Duration::from_secs(6));
    assert_eq!(answer(&commands), None, "a run that had begun was given up");
    let fault = RunFault::Interrupted;
    let commands =
        bench.tell(RouterEvent::RunFailed { request: request(1).id, fault, repeatable: true });
    assert_eq!(answer(&commands), Some(ErrorKind::DeadlineExceeded));
    assert!(bench.core.is_idle());
}

#[test]
fn cancelled_offer_fenced() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.tell(RouterEvent::RequestCancelled { request: request(1).id });
    let late = bench.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
}

#[test]
fn interrupted_is_unknown() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.grant(asked[0], 1, 0);
    let commands = bench.fail(1, RunFault::Interrupted, false);
    assert_eq!(answer(&commands), Some(ErrorKind::Interrupted));
}

#[test]
fn refused_after_interruption() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.grant(asked[0], 1, 0);
    assert_eq!(answer(&bench.fail(1, RunFault::Interrupted, true)), None);
    let asked = holders(&bench.pass(Duration::from_millis(200)));
    bench.grant(asked[0], 1, 1);
    // The first run may have reached its target, so the answer must not be "not run".
    let refused = RunFault::Refused(ErrorKind::Quarantined);
    assert_eq!(answer(&bench.fail(1, refused, true)), Some(ErrorKind::Interrupted));
}

#[test]
fn refused_is_not_run() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.grant(asked[0], 1, 0);
    let refused = RunFault::Refused(ErrorKind::ClaimUnavailable);
    assert_eq!(answer(&bench.fail(1, refused, false)), Some(ErrorKind::ClaimUnavailable));
}

#[test]
fn repeated_crashes_end() {
    let mut bench = RouterBench::new(3);
    let asked = holders(&bench.arrive(1));
    bench.grant(asked[0], 1, 0);
    assert_eq!(answer(&bench.fail(1, RunFault::TargetCrashed, true)), None);
    let asked = holders(&bench.pass(Duration::from_millis(200)));
    bench.grant(asked[0], 1, 1);
    let commands = bench.fail(1, RunFault::TargetCrashed, true);
    assert_eq!(answer(&commands), Some(ErrorKind::Interrupted));
}

#[test]
fn queue_limit_holds() {
    let mut bench = RouterBench::new(3);
    for sequence in 0..4 {
        assert_eq!(answer(&bench.arrive(sequence)), None);
    }
    assert_eq!(answer(&bench.arrive(4)), Some(ErrorKind::QueueFull));
}

#[test]
fn no_agent_answers() {
    let mut bench = RouterBench::new(0);
    assert_eq!(answer(&bench.arrive(1)), None);
    let mut answered = None;
    for _ in 0..40 {
        answered = answered.or(answer(&bench.pass(Duration::from_millis(100))));
    }
    assert_eq!(answered, Some(ErrorKind::NoCapacity));
}

#[test]
fn agent_comes_back() {
    let mut bench = RouterBench::new(1);
    bench.arrive(1);
    bench.pass(Duration::from_secs(2));
    bench.tell(RouterEvent::AgentLost { agent: VmId(100) });
    // The time without an agent counts, not the age of the request.
    assert_eq!(answer(&bench.pass(Duration::from_millis(1_300))), None);
    let joined =
        RouterEvent::AgentJoined { agent: VmId(100), service: SERVICE, domain: DomainId(0) };
    assert_eq!(holders(&bench.tell(joined)), [VmId(100)]);
}

#[test]
fn lost_agent_replaced() {
    let mut bench = RouterBench::new(6);
    let asked = holders(&bench.arrive(1));
    let commands = bench.tell(RouterEvent::AgentLost { agent: asked[0] });
    assert_eq!(holders(&commands).len(), 1);
    let late = bench.grant(asked[0], 1, 0);
    assert_eq!(late, [RouterCommand::SendDecline { agent: asked[0], offer: offer(1, 0) }]);
}

#[test]
fn draining_refuses() {
    let mut bench = RouterBench::new(3);
    bench.tell(RouterEvent::DrainStarted);
    assert_eq!(answer(&bench.arrive(1)), Some(ErrorKind::NotReady));
}
