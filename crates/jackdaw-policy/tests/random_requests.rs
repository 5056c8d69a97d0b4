//! Random events at a router: one outcome for each request, and *not run* only where true.

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

/// What the world outside knows of a request.
#[derive(Default)]
struct Seen {
    runner: Option<VmId>,
    may_have_run: bool,
    is_over: bool,
}

struct RandomBench {
    core: RouterCore,
    now: MonotonicTime,
    next: u64,
    seen: BTreeMap<RequestId, Seen>,
    offers: BTreeSet<(VmId, OfferId)>,
    fault: Option<String>,
}

impl RandomBench {
    fn new(seed: u64) -> RandomBench {
        let policy = RouterPolicy { retry_reserve: 3, ..RouterPolicy::default() };
        RandomBench {
            core: RouterCore::new(policy, VmId(1), ProcessIncarnation(1), seed),
            now: MonotonicTime(1),
            next: 0,
            seen: BTreeMap::new(),
            offers: BTreeSet::new(),
            fault: None,
        }
    }

    fn tell(&mut self, event: RouterEvent) {
        let mut commands = Vec::new();
        self.core.handle(self.now, event, &mut commands);
        for command in commands {
            if let Err(fault) = self.note(&command) {
                self.fault.get_or_insert(fault);
            }
        }
    }

    fn note(&mut self, command: &RouterCommand) -> Result<(), String> {
        match command {
            // Withdrawn offers stay in the pool: their late grants must do no harm.
            RouterCommand::SendOffer { agent, offer } => {
                self.offers.insert((*agent, offer.id));
            }
            RouterCommand::StartRun { agent, offer } => {
                let seen = self.seen.entry(offer.request).or_default();
                if seen.is_over || seen.runner.is_some() {
                    return Err(format!("{} runs after its end or twice", offer.request));
                }
                seen.runner = Some(*agent);
            }
            RouterCommand::Answer { request, kind, .. } => {
                let seen = self.seen.entry(*request).or_default();
                if seen.is_over {
                    return Err(format!("{request} is answered twice"));
                }
                seen.is_over = true;
                let may_have_run = seen.may_have_run || seen.runner.is_some();
                if may_have_run && kind.outcome() == RequestOutcome::NotRun {
                    return Err(format!("{request} may have run in spite of {kind}"));
                }
            }
            RouterCommand::ReportViolation { message } => return Err(message.clone()),
            _ => {}
        }
        Ok(())
    }

    fn arrive(&mut self, customer: u64) {
        let id = RequestId { router: ProcessIncarnation(1), sequence: self.next };
        self.next += 1;
        self.seen.insert(id, Seen::default());
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
        self.tell(RouterEvent::RequestArrived { request });
    }

    fn pick(&self, number: u8) -> Option<RequestId> {
        let running = self.seen.iter().filter(|(_, seen)| seen.runner.is_some() && !seen.is_over);
        let running: Vec<RequestId> = running.map(|(request, _)| *request).collect();
        running.get(usize::from(number) % running.len().max(1)).copied()
    }

    fn end(&mut self, request: RequestId, fault: Option<RunFault>) {
        let seen = self.seen.entry(request).or_default();
        seen.runner = None;
        match fault {
            Some(fault) => {
                seen.may_have_run |= !matches!(fault, RunFault::Refused(_));
                self.tell(RouterEvent::RunFailed { request, fault, repeatable: true });
            }
            None => {
                seen.is_over = true;
                self.tell(RouterEvent::RunCompleted { request, units: WorkUnits(5) });
            }
        }
    }

    fn step(&mut self, kind: u8, number: u8) {
        let agent = VmId(100 + u64::from(number) % AGENTS);
        match kind % 12 {
            0 | 1 => self.arrive(u64::from(number % 3)),
            2..=4 => {
                let index = usize::from(number) % self.offers.len().max(1);
                if let Some((agent, offer)) = self.offers.iter().nth(index).copied() {
                    self.tell(RouterEvent::GrantReceived { agent, offer });
                }
            }
            5 => {
                let domain = DomainId(1);
                self.tell(RouterEvent::AgentJoined { agent, service: SERVICE, domain });
            }
            6 if number.is_multiple_of(2) => {
                self.tell(RouterEvent::AgentLost { agent });
            }
            6 => {
                self.tell(RouterEvent::AgentLeaving { agent });
            }
            7 => {
                self.tell(RouterEvent::RoomAnnounced { agent, places: 2 });
            }
            8 => {
                self.now = self.now.after(Duration::from_millis(u64::from(number) * 4));
                self.tell(RouterEvent::TimerFired);
            }
            9 | 10 => {
                let Some(request) = self.pick(number) else { return };
                let fault = match number % 5 {
                    0 => Some(RunFault::Interrupted),
                    1 => Some(RunFault::TargetCrashed),
                    2 => Some(RunFault::Refused(ErrorKind::NotReady)),
                    3 => Some(RunFault::Refused(ErrorKind::Quarantined)),
                    _ => None,
                };
                self.end(request, fault);
            }
            _ => {
                let request =
                    RequestId { router: ProcessIncarnation(1), sequence: u64::from(number) };
                if let Some(seen) = self.seen.get_mut(&request) {
                    seen.is_over = true;
                    self.tell(RouterEvent::RequestCancelled { request });
                }
            }
        }
    }
}

fn one_outcome(seed: u64, steps: Vec<(u8, u8)>) -> TestResult {
    let mut bench = RandomBench::new(seed);
    for (kind, number) in steps {
        bench.step(kind, number);
    }
    bench.now = bench.now.after(Duration::from_secs(60));
    bench.tell(RouterEvent::TimerFired);
    // Runs outlive the deadline; one that breaks off after it is answered and not tried again.
    while let Some(request) = bench.pick(0) {
        bench.end(request, Some(RunFault::Interrupted));
    }
    if let Some(fault) = bench.fault {
        return TestResult::error(format!("seed {seed}: {fault}"));
    }
    let open = bench.seen.values().filter(|seen| !seen.is_over).count();
    let snapshot = bench.core.snapshot();
    let is_empty = bench.core.is_idle()
        && snapshot.queues.is_empty()
        && snapshot.agents.iter().all(|agent| agent.offers == 0 && agent.running == 0);
    if open > 0 || !is_empty {
        return TestResult::error(format!("seed {seed}: {open} open, {snapshot:?}"));
    }
    TestResult::passed()
}
#[test]
fn random_events() {
    let seed = std::env::var("JACKDAW_SEED").ok().and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    let source = Gen::from_size_and_seed(EVENTS, seed);
    let check = one_outcome as fn(u64, Vec<(u8, u8)>) -> TestResult;
    QuickCheck::new().rng(source).tests(RUNS).quickcheck(check);
}
