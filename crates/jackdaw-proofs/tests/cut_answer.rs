//! A target sends a shorter body than its `content-length` announced.

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{PLAIN_SERVICE, wait_agents};
use jackdaw_proofs::{CallerClient, ProcessFleet};
use jackdaw_standin::{ServiceSettings, ServiceStandin};

const CUSTOMER: &str = "delegados";

#[actix_rt::test]
async fn truncated_answer() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let service = ServiceStandin::bind(ServiceSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let _agent = fleet.spawn_agent("p-1", PLAIN_SERVICE, ServiceKind::Plain, service.address());
    wait_agents(&router, 1).await;
    let caller = CallerClient::open(router.address("callers"), CUSTOMER);
    let answer = caller.read("/cobranza/cut-answer").await.expect("caller gets an answer");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.outcome().as_deref(), Some("unknown"));
    assert_eq!(service.tally().reads, 2, "a read is retried once after a truncated answer");
}
