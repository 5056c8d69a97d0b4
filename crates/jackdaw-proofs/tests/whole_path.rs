//! A streamed completion, a read and a recording through router and agent processes.

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ADMIN_KEY, ENGINE_SERVICE, PLAIN_SERVICE, wait_until};
use jackdaw_proofs::process::FleetProcess;
use jackdaw_proofs::{CallerClient, ProcessFleet};
use jackdaw_standin::{
    EngineSettings, EngineStandin, ServiceSettings, ServiceStandin, expected_answer,
};

#[actix_rt::test]
async fn streamed_completion() {
    let mut fleet = ProcessFleet::spawn(&[("delegados", 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let _agent =
        fleet.spawn_agent("engine-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    let caller = CallerClient::open(router.address("callers"), "delegados");
    wait_until("the router answers", || async {
        caller.read("/ready").await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    let answer = caller.complete("who owes dues in March?", 40).await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}", router.log());
    assert_eq!(answer.tokens(), Some(expected_answer("who owes dues in March?", 40)));
}

/// Returns the metrics of an agent, fetched with the operators' key.
async fn metrics(agent: &FleetProcess) -> String {
    let url = format!("http://{}/metrics", agent.address("admin"));
    let request = awc::Client::default().get(url).bearer_auth(ADMIN_KEY);
    let body = request.send().await.unwrap().body().await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

#[actix_rt::test]
async fn read_and_recording() {
    let mut fleet = ProcessFleet::spawn(&[("delegados", 1)]).await;
    let service = ServiceStandin::bind(ServiceSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("plain-1", PLAIN_SERVICE, ServiceKind::Plain, service.address());
    let caller = CallerClient::open(router.address("callers"), "delegados");
    wait_until("reads of the service succeed", || async {
        caller.read("/cobranza/members/7").await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    let key = uuid::Uuid::now_v7().to_string();
    let answer = caller.record("/cobranza/payments", &key, "12.50").await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}\n{}", router.log(), agent.log());
    assert_eq!(service.tally().recordings.get(&key), Some(&1));
    let again = caller.record("/cobranza/payments", &key, "12.50").await.unwrap();
    assert_eq!(again.outcome().as_deref(), Some("unknown"), "{again:?}");
    assert_eq!(service.tally().recordings.get(&key), Some(&1));
    let metrics = metrics(&agent).await;
    for line in ["runs_total{end=\"already-claimed\"} 1", "violations_total{} 0"] {
        let line = format!("jackdaw_agent_{line}");
        assert!(metrics.contains(&line), "{line} is missing in {metrics}");
    }
}
