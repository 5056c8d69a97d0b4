//! A router is killed and restarted at the same addresses.

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::assert_byte_equal;
use jackdaw_proofs::{ProcessFleet, ProcessSignal, StreamLoad};
use jackdaw_standin::{EngineSettings, EngineStandin};

const CUSTOMER: &str = "delegados";

/// Guards against answers of the first router process being taken for those of the second one. The
/// agent is frozen during the restart, so that it sends them late.
#[actix_rt::test]
async fn late_answers() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    let (callers, link) = (router.address("callers"), router.address("link"));
    let old = StreamLoad::spawn(callers, CUSTOMER, "first incarnation", 6);
    wait_until("the engine streams", || async {
        engine.usage().users.values().any(|user| user.tokens > 60)
    })
    .await;
    agent.signal(ProcessSignal::Stop);
    router.signal(ProcessSignal::Kill);
    for result in old.finish().await {
        let is_complete = result.answer.is_some_and(|answer| answer.is_complete);
        assert!(!is_complete, "truncated answer to {:?} looks complete", result.prompt);
    }
    drop(router);
    let router = fleet.spawn_router_at("router-1", callers, link);
    agent.signal(ProcessSignal::Continue);
    wait_agents(&router, 1).await;
    // Uses the same sequence numbers as before for other prompts.
    let load = StreamLoad::spawn(callers, CUSTOMER, "second incarnation", 6);
    let results = load.finish().await;
    assert_byte_equal(&results).await;
}
