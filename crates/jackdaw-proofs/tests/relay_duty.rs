//! Only relay routers watch the platform; the other routers get changes from them.

use jackdaw_base::TicketNumber;
use jackdaw_objects::ChangeTicket;
use jackdaw_proofs::ProcessFleet;
use jackdaw_proofs::fleet::{ADMIN_KEY, customer, wait_until};
use jackdaw_proofs::process::FleetProcess;
use serde_json::Value;

/// Number of routers in one failure domain, of which two are relays.
const ROUTERS: usize = 4;

async fn status(router: &FleetProcess) -> Value {
    let url = format!("http://{}/status", router.address("admin"));
    let request = awc::Client::default().get(url).bearer_auth(ADMIN_KEY);
    let Ok(mut response) = request.send().await else { return Value::Null };
    response.json().await.unwrap_or(Value::Null)
}

async fn count_watching(routers: &[FleetProcess]) -> usize {
    let mut watching = 0;
    for router in routers {
        watching += usize::from(status(router).await["watches_platform"] == true);
    }
    watching
}

#[actix_rt::test]
async fn other_routers_learn_from_relays() {
    let mut fleet = ProcessFleet::spawn(&[("delegados", 1)]).await;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        routers.push(fleet.spawn_router(&format!("router-{index}")));
    }
    wait_until("two routers watch the platform", || async { count_watching(&routers).await == 2 })
        .await;
    let mut ticket = ChangeTicket::new(TicketNumber(2));
    ticket.set_customer(customer("tesoreros", 3));
    fleet.accept(&ticket).await;
    wait_until("the ticket is in effect on all routers", || async {
        let mut numbers = Vec::new();
        for router in &routers {
            numbers.push(status(router).await["ticket"].clone());
        }
        numbers.iter().all(|number| *number == 2)
    })
    .await;
    assert_eq!(count_watching(&routers).await, 2);
}
