//! SIGTERM under streaming load: no answer is truncated and no request runs twice.

use std::time::Duration;

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::{assert_byte_equal, count_runs};
use jackdaw_proofs::{CallerClient, OperatorClient, ProcessFleet, ProcessSignal, StreamLoad};
use jackdaw_standin::answer::{LONG_ANSWER_MARKER, answer_length};
use jackdaw_standin::{EngineSettings, EngineStandin, expected_answer};

const CUSTOMER: &str = "delegados";

/// Number of times that an agent drains while its last answer is in transit.
const DRAIN_ROUNDS: u32 = 3;

/// Minimum length of a long reply in tokens.
const LONG_TOKENS: u32 = 3000;

#[actix_rt::test]
async fn router_leaves() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let mut router = fleet.spawn_router("router-1");
    let _agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    let callers = router.address("callers");
    // More than the 8 places, so that some requests wait for a grant at the time of the signal.
    let load = StreamLoad::spawn(callers, CUSTOMER, "router leaves", 12);
    wait_until("the engine is full", || async { engine.usage().running == 8 }).await;
    router.signal(ProcessSignal::Terminate);
    let operator = OperatorClient::open(&router);
    wait_until("the router reports that it is not ready", || async {
        operator.ready_status().await == Some(503)
    })
    .await;
    assert!(engine.usage().running > 0, "the router reported it only after its work had ended");
    let late = CallerClient::open(callers, CUSTOMER).complete("late", 5).await;
    let late = late.expect("draining router still answers");
    assert_eq!((late.status, late.outcome().as_deref()), (503, Some("not-run")), "{late:?}");
    let results = load.finish().await;
    assert_byte_equal(&results).await;
    assert!(router.wait().await.success());
    let tally = engine.tally();
    assert_eq!(count_runs(&tally, "late"), 0);
    for result in &results {
        assert_eq!(count_runs(&tally, &result.prompt), 1, "{:?}", result.prompt);
    }
}

#[actix_rt::test]
async fn agent_leaves() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let first = EngineStandin::bind(EngineSettings::default()).unwrap();
    let second = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let mut leaving =
        fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, first.address());
    let _kept = fleet.spawn_agent("a-2", ENGINE_SERVICE, ServiceKind::Engine, second.address());
    wait_agents(&router, 2).await;
    let load = StreamLoad::spawn(router.address("callers"), CUSTOMER, "agent leaves", 20);
    wait_until("both engines are full", || async {
        first.usage().running == 8 && second.usage().running == 8
    })
    .await;
    leaving.signal(ProcessSignal::Terminate);
    let operator = OperatorClient::open(&leaving);
    wait_until("the agent reports that it is not ready", || async {
        operator.ready_status().await != Some(200)
    })
    .await;
    assert!(first.usage().running > 0, "the agent reported it only after its work had ended");
    let results = load.finish().await;
    assert_byte_equal(&results).await;
    assert!(leaving.wait().await.success());
    let (first, second) = (first.tally(), second.tally());
    for result in &results {
        let runs = count_runs(&first, &result.prompt) + count_runs(&second, &result.prompt);
        assert_eq!(runs, 1, "{:?} was interrupted and run again", result.prompt);
    }
}

/// Guards against the loss of the last reply: the agent exits as soon as its last run ends, while a
/// long reply is still in transit.
#[actix_rt::test]
async fn last_reply_arrives() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let settings = EngineSettings { step_base: Duration::from_micros(50), ..Default::default() };
    let engine = EngineStandin::bind(settings).unwrap();
    let router = fleet.spawn_router("router-1");
    let prompt = long_prompt();
    for round in 1..=DRAIN_ROUNDS {
        let mut agent =
            fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
        wait_agents(&router, 1).await;
        let caller = CallerClient::open(router.address("callers"), CUSTOMER);
        let sent = prompt.clone();
        let call =
            actix_rt::spawn(async move { caller.complete_unstreamed(&sent, u32::MAX).await });
        wait_until("the request runs", || async { engine.usage().running > 0 }).await;
        agent.signal(ProcessSignal::Terminate);
        assert!(agent.wait().await.success());
        // After a truncated reply, the request would wait for another agent, and none exists.
        let answer = call.await.unwrap().expect("caller gets an answer");
        assert_eq!(answer.status, 200, "round {round}: {answer:?}\n{}", router.log());
        let expected = expected_answer(&prompt, u32::MAX).concat();
        assert!(answer.body.contains(&expected), "round {round}");
        assert_eq!(count_runs(&engine.tally(), &prompt), round);
        fleet.remove_vm("a-1");
        wait_agents(&router, 0).await;
    }
}

/// Returns a prompt whose answer exceeds the initial congestion window of a connection.
fn long_prompt() -> String {
    let prompts = (0..).map(|number| format!("{LONG_ANSWER_MARKER} long {number}"));
    let mut prompts = prompts.filter(|prompt| answer_length(prompt, u32::MAX) > LONG_TOKENS);
    prompts.next().expect("some prompt has a long answer")
}
