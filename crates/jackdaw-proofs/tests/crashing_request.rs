//! A request that crashes every target that runs it and is resent repeatedly by its caller.

use std::time::Duration;

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents, wait_until};
use jackdaw_proofs::load::assert_byte_equal;
use jackdaw_proofs::{CallerClient, OperatorClient, ProcessFleet, StreamLoad};
use jackdaw_standin::{CRASH_MARKER, EngineSettings, EngineStandin};

/// Customer whose requests do not crash targets.
const BYSTANDER: &str = "delegados";
/// Customer that sends the crashing request.
const CRASHING_CUSTOMER: &str = "tesoreros";

/// Maximum number of targets that one request may crash.
const CRASH_LIMIT: u32 = 2;

/// Number of times that the caller sends the request.
const RESENDS: u32 = 6;

#[actix_rt::test]
async fn resent_crashing_request() {
    let mut fleet = ProcessFleet::spawn(&[(BYSTANDER, 1), (CRASHING_CUSTOMER, 1)]).await;
    let settings =
        EngineSettings { crash_downtime: Duration::from_millis(300), ..EngineSettings::default() };
    let engines =
        [EngineStandin::bind(settings.clone()).unwrap(), EngineStandin::bind(settings).unwrap()];
    let routers = [fleet.spawn_router("router-1"), fleet.spawn_router("router-2")];
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        let name = format!("a-{index}");
        agents.push(fleet.spawn_agent(
            &name,
            ENGINE_SERVICE,
            ServiceKind::Engine,
            engine.address(),
        ));
    }
    let mut loads = Vec::new();
    for router in &routers {
        wait_agents(router, 2).await;
        let operator = OperatorClient::open(router);
        wait_until("the routers are linked", || async {
            operator.status().await.is_some_and(|status| status["routers"] == 1)
        })
        .await;
        let label = format!("innocent at {}", router.address("callers"));
        loads.push(StreamLoad::spawn(router.address("callers"), BYSTANDER, &label, 6));
    }
    wait_until("the engines stream", || async {
        engines.iter().all(|engine| engine.usage().running >= 4)
    })
    .await;
    let mut refusals = 0;
    for number in 0..RESENDS {
        let router = &routers[number as usize % routers.len()];
        let caller = CallerClient::open(router.address("callers"), CRASHING_CUSTOMER);
        let answer = caller.complete(CRASH_MARKER, 50).await.expect("caller gets an answer");
        assert_ne!(answer.tokens().map(|tokens| tokens.is_empty()), Some(false), "{answer:?}");
        if answer.outcome().as_deref() == Some("not-run") {
            assert!(answer.retry_after.is_some(), "{answer:?}");
            refusals += 1;
        }
    }
    let crashes: u32 = engines.iter().map(|engine| engine.usage().crashes).sum();
    println!("{crashes} crashes, {refusals} of {RESENDS} requests refused without a run");
    assert!(crashes > 0 && crashes <= CRASH_LIMIT, "{crashes} targets crashed");
    assert!(refusals >= RESENDS - CRASH_LIMIT, "{refusals} of {RESENDS} requests refused");
    for load in loads {
        assert_byte_equal(&load.finish().await).await;
    }
}
