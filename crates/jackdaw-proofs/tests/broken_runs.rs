//! Interrupted runs: the agent or the router is killed while it streams an answer.

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::assert_byte_equal;
use jackdaw_proofs::{ProcessFleet, ProcessSignal, StreamLoad};
use jackdaw_standin::{EngineSettings, EngineStandin};

const CUSTOMER: &str = "delegados";

/// Returns the number of tokens that an engine has generated for all callers.
fn tokens(engine: &EngineStandin) -> u64 {
    engine.usage().users.values().map(|user| user.tokens).sum()
}

#[actix_rt::test]
async fn agent_killed() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let first = EngineStandin::bind(EngineSettings::default()).unwrap();
    let second = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let killed = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, first.address());
    let _kept = fleet.spawn_agent("a-2", ENGINE_SERVICE, ServiceKind::Engine, second.address());
    wait_agents(&router, 2).await;
    let load = StreamLoad::spawn(router.address("callers"), CUSTOMER, "agent killed", 8);
    wait_until("both engines stream", || async { tokens(&first) > 20 && tokens(&second) > 20 })
        .await;
    killed.signal(ProcessSignal::Kill);
    let results = load.finish().await;
    assert_byte_equal(&results).await;
    let resumes: u32 = second.tally().prompts.values().map(|prompt| prompt.resumes).sum();
    assert!(resumes > 0, "no interrupted stream was resumed");
    wait_until("the engine of the killed agent stops", || async { first.usage().running == 0 })
        .await;
}

/// Guards against a truncated answer that looks complete: without another agent to resume the run,
/// the caller must see that the answer is incomplete.
#[actix_rt::test]
async fn lone_agent_killed() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    let load = StreamLoad::spawn(router.address("callers"), CUSTOMER, "lone agent", 2);
    wait_until("the engine streams", || async { tokens(&engine) > 20 }).await;
    agent.signal(ProcessSignal::Kill);
    for result in load.finish().await {
        let answer = result.answer.expect("response head was received");
        assert!(
            !answer.is_complete && !answer.body.is_empty(),
            "truncated answer looks complete: {answer:?}"
        );
    }
}

#[actix_rt::test]
async fn router_killed() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let _agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    let load = StreamLoad::spawn(router.address("callers"), CUSTOMER, "router killed", 4);
    wait_until("the engine streams", || async { tokens(&engine) > 20 }).await;
    router.signal(ProcessSignal::Kill);
    for result in load.finish().await {
        let is_complete = result.answer.is_some_and(|answer| answer.is_complete);
        assert!(!is_complete, "truncated answer to {:?} looks complete", result.prompt);
    }
    wait_until("the engine has ended all runs of the killed router", || async {
        let usage = engine.usage();
        usage.running == 0 && usage.cancelled + usage.completed == 4
    })
    .await;
}
