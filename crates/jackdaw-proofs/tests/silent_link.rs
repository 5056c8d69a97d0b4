//! A connection stays silent forever while new connections work.

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::assert_byte_equal;
use jackdaw_proofs::{FlowRelay, ProcessFleet, StreamLoad};
use jackdaw_standin::{EngineSettings, EngineStandin};

const CUSTOMER: &str = "delegados";

/// The only agent is behind the relay, so the streams can resume only on a new connection.
#[actix_rt::test]
async fn streams_resume() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    let relay = FlowRelay::spawn(agent.address("link")).await;
    fleet.list_agent_at("a-1", ENGINE_SERVICE, relay.address());
    let router = fleet.spawn_router("router-1");
    wait_agents(&router, 1).await;
    let load = StreamLoad::spawn(router.address("callers"), CUSTOMER, "silent", 6);
    wait_until("the engine streams", || async {
        engine.usage().users.values().any(|user| user.tokens > 60)
    })
    .await;
    relay.forget_flows();
    let results = load.finish().await;
    assert_byte_equal(&results).await;
    let tally = engine.tally();
    let resumes: u32 = tally.prompts.values().map(|prompt| prompt.resumes).sum();
    let starts: u32 = tally.prompts.values().map(|prompt| prompt.starts).sum();
    assert_eq!((starts, resumes), (6, 6), "each stream starts once and resumes once");
}
