//! An accepted ticket takes effect on all processes within the specified time and never reverts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_base::{ServiceKind, TargetRecord, TicketNumber};
use jackdaw_objects::ChangeTicket;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, customer, service, wait_agents, wait_until};
use jackdaw_proofs::{CallerClient, FleetProcess, OperatorClient, ProcessFleet, ProcessSignal};
use jackdaw_standin::{AnswerFault, EngineSettings, EngineStandin, PlatformFaults};

const CUSTOMER: &str = "delegados";

/// Customer added by the second ticket.
const NEWCOMER: &str = "tesoreros";

/// Place limit of a target in the second ticket.
const FEWER_PLACES: u32 = 3;

/// Maximum time until a ticket is in effect on all processes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Interval at which the ticket number of a router is polled.
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

/// Starts a task that records the ticket number in effect on a router.
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
    wait_until("the ticket is in effect", || async { ticket_of(router).await == Some(number) })
        .await;
    start.elapsed()
}

/// A router that is frozen while the ticket is accepted gets it while the platform is down.
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
    wait_until("the agent applies the new place limit", || async {
        operator.dump().await.is_some_and(|state| state["places"] == FEWER_PLACES)
    })
    .await;
    fleet.platform.set_faults(PlatformFaults {
        down: Some(AnswerFault::Gateway),
        ..PlatformFaults::default()
    });
    second.signal(ProcessSignal::Continue);
    let resumed = wait_ticket(&second, 2).await;
    println!("in effect after {awake:?}, on the resumed router after {resumed:?}");
    assert!(awake < PROPAGATION_LIMIT && resumed < PROPAGATION_LIMIT, "{awake:?} {resumed:?}");
    wait_agents(&second, 1).await;
    let caller = CallerClient::open(second.address("callers"), NEWCOMER);
    let answer = caller.complete("newcomer", 5).await.expect("caller gets an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    for numbers in &seen {
        assert!(numbers.borrow().is_sorted(), "ticket reverted: {:?}", numbers.borrow());
    }
}

/// Each of two routers is restarted in turn while the platform is down; the other one still has the
/// ticket.
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
