//! Many clients come at once and read their answers slowly.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{StoreStandin, sample_config};
use review_3::client::{Connection, Pace, ask, request};
use review_3::engine::{Engine, EngineRequest, EngineStream, Handler, success_head};
use review_3::fleet::{Deployment, Router, machine_ip};
use review_3::record::{BROKEN, COULD_NOT_RUN, HELD, Record, is_calm};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

/// Bytes of an answer.
const ANSWER_BYTES: usize = 64 * 1024;

/// Clients at each machine, and the time in which they come.
const CLIENTS: usize = 1400;
const ARRIVAL_TIME: Duration = Duration::from_secs(4);

/// How the clients read: 2 KB/s. Without trouble they read at once.
const PACE: Pace = Pace { bytes: 1000, pause: Duration::from_millis(500) };

/// Time that the clients and the route allow for an answer.
const BUDGET: Duration = Duration::from_secs(12);

/// Time within which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ends of processes by themselves on each of two machines that break the rule.
const ENDS: usize = 3;

/// Most crowds at each machine, and the time in which they come.
const ROUNDS: usize = 4;
const MOST: Duration = Duration::from_secs(80);

fn answer_text(id: &str) -> String {
    let mut text = format!("{id} ");
    text.extend(std::iter::repeat_n('x', ANSWER_BYTES - text.len()));
    text
}

#[derive(Default)]
struct Counts {
    sent: Cell<usize>,
    whole: Cell<usize>,
    cut: Cell<usize>,
    quick_sent: Cell<usize>,
    quick_served: Cell<usize>,
}

fn add(count: &Cell<usize>) {
    count.set(count.get() + 1);
}

/// One client of the crowd.
async fn read_slowly(front: std::net::SocketAddr, id: String, calm: bool, counts: Rc<Counts>) {
    let Ok(mut connection) = Connection::open_small(front, 2048).await else {
        return;
    };
    let text = request("GET", "/safe/1", &id, BUDGET.as_millis() as u64, "", "");
    if connection.send(&text).await.is_err() {
        return;
    }
    add(&counts.sent);
    let answer = connection.answer((!calm).then_some(PACE), BUDGET).await;
    let is_whole = answer.is_complete && answer.status == 200;
    add(if is_whole { &counts.whole } else { &counts.cut });
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let record = Record::create(&folder)?;
    let calm = is_calm();
    let store = StoreStandin::bind().await;
    let handler: Handler = Rc::new(move |request: EngineRequest, stream: EngineStream| {
        Box::pin(async move {
            let id = request.id().to_owned();
            let body = match id.starts_with("quick-") {
                true => format!("balance for {id}"),
                false => answer_text(&id),
            };
            let answer = success_head(&id, Some(body.len())) + &body;
            stream.lock().await.write_all(answer.as_bytes()).await?;
            Ok(true)
        })
    });
    let mut engines = Vec::new();
    for number in 1..=4 {
        engines.push(Engine::start(&format!("i-{number}"), Rc::clone(&handler)).await?);
    }
    let mut config = sample_config(1, &["k1"]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(BUDGET.as_millis() as u64);
    }
    config["services"][0]["max_conns"] = json!(704);
    store.put_config(&config);
    for engine in &engines {
        store.put_target(&engine.id, &engine.entry("s", "a", "ready"));
    }
    let deployment = Deployment::new(store.address);
    let limit = f64::from(deployment.memory_mb);
    let seeds = [machine_ip(1), machine_ip(2)];
    let mut routers: Vec<Router> =
        (1..=2).map(|number| Router::new(&deployment, number, "a", &seeds, &folder)).collect();
    for router in &mut routers {
        router.start()?;
    }
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(15)).await {
            record.add(&format!("{} is not ready", router.name));
            return Ok(COULD_NOT_RUN);
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let counts = Rc::new(Counts::default());
    // Ordinary clients, at both machines all the while.
    let fronts = [routers[0].front(), routers[1].front()];
    let others = tokio::task::spawn_local({
        let counts = Rc::clone(&counts);
        async move {
            for number in 0.. {
                let text = request("GET", "/safe/1", &format!("quick-{number}"), 2500, "", "");
                add(&counts.quick_sent);
                let answer = ask(fronts[number % 2], &text, Duration::from_millis(2500)).await;
                if answer.status == 200 && answer.is_complete {
                    add(&counts.quick_served);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
    // The platform at each machine: it counts memory, and starts what has ended.
    let ends = Rc::new(RefCell::new([0; 2]));
    let mut machines = Vec::new();
    for (machine, mut router) in routers.into_iter().enumerate() {
        let (record, counts, ends) = (record.clone(), Rc::clone(&counts), Rc::clone(&ends));
        machines.push(tokio::task::spawn_local(async move {
            let start = Instant::now();
            let mut round = 0;
            let mut peak: f64 = 0.0;
            while start.elapsed() < MOST && round < ROUNDS && ends.borrow()[machine] < ENDS {
                round += 1;
                record.add(&format!("{CLIENTS} clients come to {} within {ARRIVAL_TIME:?}", router.name));
                let mut crowd = Vec::new();
                for number in 0..CLIENTS {
                    let (front, counts) = (router.front(), Rc::clone(&counts));
                    crowd.push(tokio::task::spawn_local(async move {
                        tokio::time::sleep(ARRIVAL_TIME.mul_f64(number as f64 / CLIENTS as f64)).await;
                        read_slowly(front, format!("slow-{machine}-{round}-{number}"), calm, counts).await;
                    }));
                }
                let begun = Instant::now();
                while begun.elapsed() < ARRIVAL_TIME + BUDGET {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    let memory = router.memory_mb().unwrap_or(0.0);
                    peak = peak.max(memory);
                    if memory > limit || router.ended().is_some() {
                        ends.borrow_mut()[machine] += 1;
                        record.add(&format!(
                            "{} has {memory:.1} MB of {limit} MB; the platform kills it and starts it again",
                            router.name
                        ));
                        router.kill();
                        tokio::time::sleep(RESTART_DELAY).await;
                        if router.start().is_err() || !router.wait_ready(Duration::from_secs(15)).await {
                            record.add("the router does not start");
                        }
                        break;
                    }
                }
                // Those who have not come yet do not come to the next process.
                for client in crowd {
                    client.abort();
                }
            }
            record.add(&format!("most memory of {}: {peak:.1} MB", router.name));
            router
        }));
    }
    for machine in machines {
        let _ = machine.await;
    }
    others.abort();
    record.add(&format!(
        "slow clients: {} sent, {} have a whole answer, {} were cut off or got none",
        counts.sent.get(),
        counts.whole.get(),
        counts.cut.get()
    ));
    record.add(&format!(
        "ordinary clients: {} of {} served",
        counts.quick_served.get(),
        counts.quick_sent.get()
    ));
    let ends = *ends.borrow();
    record.add(&format!(
        "Fault: the processes of the two machines ended {} and {} times by themselves",
        ends[0], ends[1]
    ));
    Ok(if ends.iter().all(|count| *count >= ENDS) { BROKEN } else { HELD })
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("runtime");
    let result = LocalSet::new().block_on(&runtime, run(folder));
    std::process::exit(result.unwrap_or_else(|error| {
        eprintln!("{error}");
        COULD_NOT_RUN
    }));
}
