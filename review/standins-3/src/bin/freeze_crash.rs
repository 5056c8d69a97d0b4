//! A machine freezes; meanwhile an engine crashes and is back, while it runs streams whose end only their
//! connection marks.

use std::cell::RefCell;
use std::collections::HashMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{StoreStandin, sample_config};
use review_3::client::{ask, request};
use review_3::engine::{Engine, EngineRequest, EngineStream, Handler};
use review_3::fleet::{Deployment, Router, machine_ip};
use review_3::record::{BROKEN, COULD_NOT_RUN, HELD, Record, is_calm};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

/// Events of a stream, the time until the first one and that between two.
const EVENTS: usize = 64;
const PREFILL: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(79);

/// How long the machine stands still, when the engine crashes after the start of that, and when it is back.
const FREEZE: Duration = Duration::from_millis(3300);
const CRASH_AFTER: Duration = Duration::from_millis(300);
const BACK_AFTER: Duration = Duration::from_millis(2300);

/// Silence after which the store drops an engine's entry: three check-in intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3600);

const STREAMS: usize = 40;
const BUDGET_MS: u64 = 12_000;

type Written = Rc<RefCell<HashMap<String, (String, usize)>>>;

/// Runs requests; the answers have neither a length nor chunks and end with their connection.
fn handler(engine: &'static str, written: &Written) -> Handler {
    let written = Rc::clone(written);
    Rc::new(move |request: EngineRequest, stream: EngineStream| {
        let written = Rc::clone(&written);
        Box::pin(async move {
            let id = request.id().to_owned();
            let mut stream = stream.lock().await;
            tokio::time::sleep(PREFILL).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n\
                 Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: {id} token {number}\n\n");
                stream.write_all(event.as_bytes()).await?;
                written.borrow_mut().insert(id.clone(), (engine.to_owned(), number));
                tokio::time::sleep(STEP).await;
            }
            Ok(false)
        })
    })
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let record = Record::create(&folder)?;
    let calm = is_calm();
    let store = Rc::new(StoreStandin::bind().await);
    let written = Written::default();
    let mut engines = Vec::new();
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        let engine = Engine::start(name, handler(name, &written)).await?;
        store.put_target(name, &engine.entry("s", "a", "ready"));
        engines.push(engine);
    }
    let mut config = sample_config(1, &["k1"]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(BUDGET_MS);
    }
    store.put_config(&config);
    let deployment = Deployment::new(store.address);
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
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut tasks = Vec::new();
    for number in 0..STREAMS {
        let front = routers[number % 2].front();
        tasks.push(tokio::task::spawn_local(async move {
            let id = format!("s-{number}");
            let text = request("POST", "/stream/1", &id, BUDGET_MS, "", &id);
            (id, ask(front, &text, Duration::from_millis(BUDGET_MS)).await)
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    if !calm {
        let (frozen, address) = (routers[0].name.clone(), engines[0].address);
        let start = Instant::now();
        record.add(&format!("{frozen} freezes (SIGSTOP)"));
        routers[0].signal("STOP");
        tokio::time::sleep_until((start + CRASH_AFTER).into()).await;
        record.add("i-1 crashes");
        engines[0].crash();
        tokio::task::spawn_local({
            let store = Rc::clone(&store);
            async move {
                tokio::time::sleep(ENTRY_LIFETIME).await;
                let _ = store.remove_target("i-1");
            }
        });
        tokio::time::sleep_until((start + BACK_AFTER).into()).await;
        record.add("i-1 is back as i-1b");
        let born = engines[0].born + 100_000;
        engines[0] = Engine::start_at(address, "i-1b", born, handler("i-1b", &written)).await?;
        store.put_target("i-1b", &engines[0].entry("s", "a", "ready"));
        tokio::time::sleep_until((start + FREEZE).into()).await;
        record.add(&format!("{frozen} wakes (SIGCONT)"));
        routers[0].signal("CONT");
    }
    let mut early = 0;
    let mut broken_off = 0;
    for task in tasks {
        let Ok((id, answer)) = task.await else {
            return Ok(COULD_NOT_RUN);
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let got = body.matches("\n\n").count();
        let (engine, made) = written.borrow().get(&id).cloned().unwrap_or_default();
        let looks = if answer.is_complete { "ends as complete" } else { "is broken off" };
        record.add(&format!(
            "{id}: status {}, {got} of {EVENTS} events, the answer {looks}; {engine} made {made}",
            answer.status
        ));
        early += usize::from(answer.status == 200 && answer.is_complete && got < EVENTS);
        broken_off += usize::from(answer.status == 200 && !answer.is_complete);
    }
    record.add(&format!("{broken_off} answers are broken off and look so"));
    record.add(&format!("MIXED, ORDER: {early} answers end as complete before their last piece"));
    Ok(if early > 0 { BROKEN } else { HELD })
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
