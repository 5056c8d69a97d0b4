//! An accepted ticket is in force everywhere within the stated time and never reverts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_base::{ServiceKind, TargetRecord, TicketNumber};
use jackdaw_objects::ChangeTicket;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, customer, service, wait_agents, wait_until};
use jackdaw_proofs::{CallerClient, FleetProcess, OperatorClient, ProcessFleet, ProcessSignal};
use jackdaw_standin::{AnswerFault, EngineSettings, EngineStandin, PlatformFaults};

const CUSTOMER: &str = "delegados";

/// The customer that the second ticket brings.
const NEWCOMER: &str = "tesoreros";

/// The places that the second ticket gives to one target.
const FEWER_PLACES: u32 = 3;

/// The time within which a ticket is in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(4);

/// The time between two looks at a router.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

fn second_ticket() -> ChangeTicket {
    let mut ticket = ChangeTicket::new(TicketNumber(2));
    ticket.set_customer(customer(NEWCOMER, 2));
    let mut record = service(ENGINE_SERVICE, ServiceKind::Engine);
    record.target = TargetRecord { place_limit: FEWER_PLACES, ..record.target };
    ticket.set_service(record);
    ticket
}

async fn ticket_of(router: &FleetProcess) -> Option<u64> {
    OperatorClient::open(router).status().await?["ticket"].as_u64()
}

/// Watches the ticket number that a router has in force for as long as it runs.
fn watch_tickets(router: &FleetProcess) -> Rc<RefCell<Vec<u64>>> {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let operator = OperatorClient::open(router);
    let sink = Rc::clone(&seen);
    actix_rt::spawn(async move {
        loop {
            if let Some(status) = operator.status().await {
                sink.borrow_mut().extend(status["ticket"].as_u64());
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    });
    seen
}

async fn wait_ticket(router: &FleetProcess, number: u64) -> Duration {
    let start = Instant::now();
    wait_until("the ticket is in force", || async { ticket_of(router).await == Some(number) })
        .await;
    start.elapsed()
}

/// One router sleeps through the acceptance and wakes up to a platform that is down.
#[actix_rt::test]
async fn frozen_router() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let first = fleet.spawn_router("router-1");
    let second = fleet.spawn_router("router-2");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&first, 1).await;
    wait_agents(&second, 1).await;
    let seen = [watch_tickets(&first), watch_tickets(&second)];
    second.signal(ProcessSignal::Stop);
    fleet.accept(&second_ticket()).await;
    let awake = wait_ticket(&first, 2).await;
    let operator = OperatorClient::open(&agent);
    wait_until("the agent has the new limit", || async {
        operator.dump().await.is_some_and(|state| state["places"] == FEWER_PLACES)
    })
    .await;
    fleet.platform.set_faults(PlatformFaults {
        down: Some(AnswerFault::Gateway),
        ..PlatformFaults::default()
    });
    second.signal(ProcessSignal::Continue);
    let woken = wait_ticket(&second, 2).await;
    println!("in force after {awake:?}, on the woken router after {woken:?}");
    assert!(awake < FORCE_LIMIT && woken < FORCE_LIMIT, "{awake:?} {woken:?}");
    wait_agents(&second, 1).await;
    let caller = CallerClient::open(second.address("callers"), NEWCOMER);
    let answer = caller.complete("newcomer", 5).await.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    for numbers in &seen {
        assert!(numbers.borrow().is_sorted(), "reverted: {:?}", numbers.borrow());
    }
}

/// Each of two routers is replaced in turn while the platform is down.
#[actix_rt::test]
async fn replaced_routers() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let mut routers = [fleet.spawn_router("router-1"), fleet.spawn_router("router-2")];
    wait_agents(&routers[0], 0).await;
    fleet.accept(&second_ticket()).await;
    for router in &routers {
        wait_ticket(router, 2).await;
        let operator = OperatorClient::open(router);
        wait_until("the routers are linked", || async {
            operator.status().await.is_some_and(|status| status["routers"] == 1)
        })
        .await;
    }
    fleet.platform.set_faults(PlatformFaults {
        down: Some(AnswerFault::Gateway),
        ..PlatformFaults::default()
    });
    for (index, name) in ["router-1", "router-2"].into_iter().enumerate() {
        let (callers, link) = (routers[index].address("callers"), routers[index].address("link"));
        routers[index].signal(ProcessSignal::Kill);
        routers[index].wait().await;
        routers[index] = fleet.spawn_router_at(name, callers, link);
        wait_ticket(&routers[index], 2).await;
        assert!(OperatorClient::open(&routers[index]).is_ready().await, "{name}");
    }
}
