//! Random events at a router: every request gets exactly one outcome, and *not run* is answered
//! only for a request that no agent can have run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jackdaw_base::{
    CustomerId, CustomerShare, DomainId, ErrorKind, MonotonicTime, OfferId, ProcessIncarnation,
    RequestClass, RequestId, RequestOutcome, ServiceId, VmId, WorkUnits,
};
use jackdaw_policy::{
    ArrivedRequest, RouterCommand, RouterCore, RouterEvent, RouterPolicy, RunFault,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const SERVICE: ServiceId = ServiceId(1);
const AGENTS: u64 = 5;
/// Seed of the run unless `JACKDAW_SEED` is set.
const DEFAULT_SEED: u64 = 21;
const EVENTS: usize = 300;
const RUNS: u64 = 300;

/// Outcome of a request as observed from the commands of the router.
#[derive(Default)]
struct ObservedRequest {
    runner: Option<VmId>,
    may_have_run: bool,
    is_over: bool,
}

struct RandomHarness {
    core: RouterCore,
    now: MonotonicTime,
    next_sequence: u64,
    requests: BTreeMap<RequestId, ObservedRequest>,
    offers: BTreeSet<(VmId, OfferId)>,
    violation: Option<String>,
}

impl RandomHarness {
    fn new(seed: u64) -> RandomHarness {
        let policy = RouterPolicy { retry_reserve: 3, ..RouterPolicy::default() };
        RandomHarness {
            core: RouterCore::new(policy, VmId(1), ProcessIncarnation(1), seed),
            now: MonotonicTime(1),
            next_sequence: 0,
            requests: BTreeMap::new(),
            offers: BTreeSet::new(),
            violation: None,
        }
    }

    fn handle(&mut self, event: RouterEvent) {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in commands {
            if let Err(violation) = self.check_command(&command) {
                self.violation.get_or_insert(violation);
            }
        }
    }

    fn check_command(&mut self, command: &RouterCommand) -> Result<(), String> {
        match command {
            // Withdrawn offers stay in the set: late grants for them must be harmless.
            RouterCommand::SendOffer { agent, offer } => {
                self.offers.insert((*agent, offer.id));
            }
            RouterCommand::StartRun { agent, offer } => {
                let observed = self.requests.entry(offer.request).or_default();
                if observed.is_over || observed.runner.is_some() {
                    return Err(format!("request {} ran after its end or twice", offer.request));
                }
                observed.runner = Some(*agent);
            }
            RouterCommand::Answer { request, kind, .. } => {
                let observed = self.requests.entry(*request).or_default();
                if observed.is_over {
                    return Err(format!("request {request} was answered twice"));
                }
                observed.is_over = true;
                let may_have_run = observed.may_have_run || observed.runner.is_some();
                if may_have_run && kind.outcome() == RequestOutcome::NotRun {
                    return Err(format!(
                        "request {request} may have run but was answered with {kind}"
                    ));
                }
            }
            RouterCommand::ReportViolation { message } => return Err(message.clone()),
            _ => {}
        }
        Ok(())
    }

    fn submit_request(&mut self, customer: u64) {
        let id = RequestId { router: ProcessIncarnation(1), sequence: self.next_sequence };
        self.next_sequence += 1;
        self.requests.insert(id, ObservedRequest::default());
        let request = ArrivedRequest {
            id,
            customer: CustomerId(customer),
            share: CustomerShare(1),
            queue_limit: 6,
            service: SERVICE,
            class: if customer == 0 { RequestClass::Long } else { RequestClass::Short },
            hint: WorkUnits(10),
            prefix: customer,
            patience: Duration::from_secs(3),
        };
        self.handle(RouterEvent::RequestArrived { request });
    }

    /// Selects one of the running requests; `None` if there is none.
    fn select_running(&self, number: u8) -> Option<RequestId> {
        let running = self
            .requests
            .iter()
            .filter(|(_, observed)| observed.runner.is_some() && !observed.is_over);
        let running: Vec<RequestId> = running.map(|(request, _)| *request).collect();
        running.get(usize::from(number) % running.len().max(1)).copied()
    }

    fn end_run(&mut self, request: RequestId, fault: Option<RunFault>) {
        let observed = self.requests.entry(request).or_default();
        observed.runner = None;
        match fault {
            Some(fault) => {
                observed.may_have_run |= !matches!(fault, RunFault::Refused(_));
                self.handle(RouterEvent::RunFailed { request, fault, repeatable: true });
            }
            None => {
                observed.is_over = true;
                self.handle(RouterEvent::RunCompleted { request, units: WorkUnits(5) });
            }
        }
    }

    fn step(&mut self, kind: u8, number: u8) {
        let agent = VmId(100 + u64::from(number) % AGENTS);
        match kind % 12 {
            0 | 1 => self.submit_request(u64::from(number % 3)),
            2..=4 => {
                let index = usize::from(number) % self.offers.len().max(1);
                if let Some((agent, offer)) = self.offers.iter().nth(index).copied() {
                    self.handle(RouterEvent::GrantReceived { agent, offer });
                }
            }
            5 => {
                let domain = DomainId(1);
                self.handle(RouterEvent::AgentJoined { agent, service: SERVICE, domain });
            }
            6 if number.is_multiple_of(2) => {
                self.handle(RouterEvent::AgentLost { agent });
            }
            6 => {
                self.handle(RouterEvent::AgentLeaving { agent });
            }
            7 => {
                self.handle(RouterEvent::RoomAnnounced { agent, places: 2 });
            }
            8 => {
                self.now = self.now.after(Duration::from_millis(u64::from(number) * 4));
                self.handle(RouterEvent::TimerFired);
            }
            9 | 10 => {
                let Some(request) = self.select_running(number) else { return };
                let fault = match number % 5 {
                    0 => Some(RunFault::Interrupted),
                    1 => Some(RunFault::TargetCrashed),
                    2 => Some(RunFault::Refused(ErrorKind::NotReady)),
                    3 => Some(RunFault::Refused(ErrorKind::Quarantined)),
                    _ => None,
                };
                self.end_run(request, fault);
            }
            _ => {
                let request =
                    RequestId { router: ProcessIncarnation(1), sequence: u64::from(number) };
                if let Some(observed) = self.requests.get_mut(&request) {
                    observed.is_over = true;
                    self.handle(RouterEvent::RequestCancelled { request });
                }
            }
        }
    }
}

fn check_outcomes(seed: u64, steps: Vec<(u8, u8)>) -> TestResult {
    let mut harness = RandomHarness::new(seed);
    for (kind, number) in steps {
        harness.step(kind, number);
    }
    harness.now = harness.now.after(Duration::from_secs(60));
    harness.handle(RouterEvent::TimerFired);
    // Runs may outlast the deadline; one interrupted after it is answered without a retry.
    while let Some(request) = harness.select_running(0) {
        harness.end_run(request, Some(RunFault::Interrupted));
    }
    if let Some(violation) = harness.violation {
        return TestResult::error(format!("seed {seed}: {violation}"));
    }
    let open = harness.requests.values().filter(|observed| !observed.is_over).count();
    let snapshot = harness.core.snapshot();
    let is_empty = harness.core.is_idle()
        && snapshot.queues.is_empty()
        && snapshot.agents.iter().all(|agent| agent.offers == 0 && agent.running == 0);
    if open > 0 || !is_empty {
        return TestResult::error(format!(
            "seed {seed}: {open} requests are still open; {snapshot:?}"
        ));
    }
    TestResult::passed()
}

#[test]
fn random_events() {
    let seed = std::env::var("JACKDAW_SEED").ok().and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    let source = Gen::from_size_and_seed(EVENTS, seed);
    let check = check_outcomes as fn(u64, Vec<(u8, u8)>) -> TestResult;
    QuickCheck::new().rng(source).tests(RUNS).quickcheck(check);
}
