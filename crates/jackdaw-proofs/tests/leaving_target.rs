//! A leaving target gets no new requests after the specified time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdaw_base::{ServiceKind, VmState};
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::{assert_byte_equal, count_runs};
use jackdaw_proofs::{CallerClient, FleetProcess, ProcessFleet, ProcessSignal, StreamLoad};
use jackdaw_standin::{AnswerFault, EngineSettings, EngineStandin, PlatformFaults};

const CUSTOMER: &str = "delegados";

/// Maximum time until a leaving target gets no new requests.
const LEAVE_LIMIT: Duration = Duration::from_secs(4);

/// Time for which requests are sent after that limit.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Starts an engine on which a stream takes longer than the limit.
fn slow_engine() -> EngineStandin {
    let settings = EngineSettings {
        step_base: Duration::from_millis(65),
        max_batch_size: 32,
        ..Default::default()
    };
    EngineStandin::bind(settings).unwrap()
}

fn micros_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Sends requests through all routers in turn until one reaches the other engine later than the
/// observation time after the limit.
async fn send_past(limit: u64, routers: &[&FleetProcess], other: &EngineStandin) {
    let end = limit + OBSERVATION_TIME.as_micros() as u64;
    let mut number = 0;
    loop {
        for router in routers {
            let caller = CallerClient::open(router.address("callers"), CUSTOMER);
            let prompt = format!("after leaving {number}");
            number += 1;
            let answer = caller.complete(&prompt, 1).await.expect("caller gets an answer");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        if other.tally().arrivals.iter().any(|time| *time > end) {
            return;
        }
    }
}

fn count_after(engine: &EngineStandin, limit: u64) -> usize {
    engine.tally().arrivals.iter().filter(|time| **time > limit).count()
}

/// The agent gets SIGTERM while the platform is down, so the VM list never shows it as leaving.
#[actix_rt::test]
async fn agent_signalled() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let (first, second) = (slow_engine(), slow_engine());
    let router = fleet.spawn_router("router-1");
    let leaving = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, first.address());
    let _kept = fleet.spawn_agent("a-2", ENGINE_SERVICE, ServiceKind::Engine, second.address());
    wait_agents(&router, 2).await;
    let streams = StreamLoad::spawn(router.address("callers"), CUSTOMER, "leaving", 6);
    wait_until("both engines stream", || async {
        first.usage().running > 0 && second.usage().running > 0
    })
    .await;
    fleet.platform.set_faults(PlatformFaults {
        down: Some(AnswerFault::Silent),
        ..PlatformFaults::default()
    });
    leaving.signal(ProcessSignal::Terminate);
    let limit = micros_now() + LEAVE_LIMIT.as_micros() as u64;
    send_past(limit, &[&router], &second).await;
    println!("requests still running on the leaving engine: {}", first.usage().running);
    assert_eq!(count_after(&first, limit), 0);
    let results = streams.finish().await;
    assert_byte_equal(&results).await;
    let (first, second) = (first.tally(), second.tally());
    for result in &results {
        let runs = count_runs(&first, &result.prompt) + count_runs(&second, &result.prompt);
        assert_eq!(runs, 1, "{:?} was interrupted and run again", result.prompt);
    }
}

/// The VM list shows the agent as leaving, without a signal. One router starts only after that.
#[actix_rt::test]
async fn leaving_in_vm_list() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let (first, second) = (slow_engine(), slow_engine());
    let router = fleet.spawn_router("router-1");
    let _leaving = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, first.address());
    let _kept = fleet.spawn_agent("a-2", ENGINE_SERVICE, ServiceKind::Engine, second.address());
    wait_agents(&router, 2).await;
    fleet.set_vm_state("a-1", VmState::Leaving);
    let limit = micros_now() + LEAVE_LIMIT.as_micros() as u64;
    let late = fleet.spawn_router("router-2");
    wait_until("the late router serves callers", || async {
        let caller = CallerClient::open(late.address("callers"), CUSTOMER);
        caller.complete("first", 1).await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    send_past(limit, &[&router, &late], &second).await;
    assert_eq!(count_after(&first, limit), 0);
}
