//! All routers are killed at once while clients hold streams, which they take up again.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{StoreStandin, sample_config};
use review_3::client::{Answer, Connection, ask, request};
use review_3::engine::{Engine, EngineRequest, EngineStream, Handler, chunk, success_head};
use review_3::fleet::{Deployment, Router, machine_ip};
use review_3::record::{BROKEN, COULD_NOT_RUN, HELD, Record, is_calm};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;

/// Events of a stream, the time until the first one and that between two: a stream takes 11 s.
const EVENTS: usize = 36;
const PREFILL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(300);

const CLIENTS: usize = 60;
const BUDGET: Duration = Duration::from_secs(12);

/// When the routers are killed after the streams have begun, and how long they are down.
const KILL_AFTER: Duration = Duration::from_millis(2000);
const DOWN: Duration = Duration::from_millis(1200);

/// When the clients come back after the start of the routers: `stable_window_ms` is 4,000.
const RETURN_AFTER: Duration = Duration::from_millis(4700);

fn handler() -> Handler {
    Rc::new(move |request: EngineRequest, stream: EngineStream| {
        Box::pin(async move {
            let after: usize = request.header("last-event-id").parse().unwrap_or(0);
            let mut stream = stream.lock().await;
            tokio::time::sleep(PREFILL).await;
            stream.write_all(success_head(request.id(), None).as_bytes()).await?;
            for number in after + 1..=EVENTS {
                let event = format!("id: {number}\ndata: v1 token {number}\n\n");
                stream.write_all(chunk(&event).as_bytes()).await?;
                tokio::time::sleep(STEP).await;
            }
            stream.write_all(b"0\r\n\r\n").await?;
            Ok(true)
        })
    })
}

/// Reads a stream until its connection ends or the client leaves; returns the number of its last event.
async fn hold_stream(front: std::net::SocketAddr, id: &str, until: Instant) -> Option<usize> {
    let mut connection = Connection::open(front).await.ok()?;
    let text = request("POST", "/resumed/1", id, BUDGET.as_millis() as u64, "", id);
    connection.send(&text).await.ok()?;
    let mut got = Vec::new();
    loop {
        let read =
            tokio::time::timeout_at(until.into(), connection.stream.read_buf(&mut got)).await;
        if !matches!(read, Ok(Ok(1..))) {
            break;
        }
    }
    let text = String::from_utf8_lossy(&got).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.trim().parse().ok()).next_back()
}

fn first_event(answer: &Answer) -> Option<usize> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("id: "))?.trim().parse().ok();
    id.filter(|_| answer.status == 200)
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let record = Record::create(&folder)?;
    let calm = is_calm();
    let store = StoreStandin::bind().await;
    let mut engines = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let engine = Engine::start(id, handler()).await?;
        store.put_target(id, &engine.entry("s", "a", "ready"));
        engines.push(engine);
    }
    let mut config = sample_config(1, &["k1"]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(BUDGET.as_millis() as u64);
    }
    config["services"][0]["max_conns"] = json!(704);
    store.put_config(&config);
    let deployment = Deployment::new(store.address);
    let seeds = [machine_ip(1), machine_ip(2), machine_ip(3)];
    let zones = ["a", "b", "a"];
    let mut routers: Vec<Router> = (1..=3)
        .map(|number| {
            Router::new(&deployment, number, zones[usize::from(number) - 1], &seeds, &folder)
        })
        .collect();
    for router in &mut routers {
        router.start()?;
    }
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(15)).await {
            record.add(&format!("{} is not ready", router.name));
            return Ok(COULD_NOT_RUN);
        }
    }
    // Longer than any client waits, so that the routers know the service's only version well.
    tokio::time::sleep(Duration::from_secs(20)).await;
    let fronts: Vec<_> = routers.iter().map(Router::front).collect();
    let begun = Instant::now();
    record.add(&format!("{CLIENTS} clients begin streams"));
    let mut holders = Vec::new();
    for number in 0..CLIENTS {
        let front = fronts[number % 3];
        holders.push(tokio::task::spawn_local(async move {
            hold_stream(front, &format!("s-{number}"), begun + KILL_AFTER).await
        }));
    }
    tokio::time::sleep_until((begun + KILL_AFTER).into()).await;
    if !calm {
        record.add("all processes of the system are killed at the same moment");
        for router in &mut routers {
            router.kill();
        }
    }
    tokio::time::sleep(DOWN).await;
    if !calm {
        for router in &mut routers {
            router.start()?;
        }
        record.add("the platform has started all of them again");
    }
    let back = Instant::now();
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(3)).await {
            record.add(&format!("{} is not ready", router.name));
            return Ok(COULD_NOT_RUN);
        }
    }
    record.add("all machines are ready");
    tokio::time::sleep_until((back + RETURN_AFTER).into()).await;
    let left = BUDGET.saturating_sub(begun.elapsed());
    record.add(&format!(
        "the clients take their streams up again with {left:?} left; as many begin new ones"
    ));
    let results = Rc::new(Cell::new((0, 0)));
    let mut tasks = Vec::new();
    for (number, holder) in holders.into_iter().enumerate() {
        let Ok(Some(last)) = holder.await else {
            record.add(&format!("s-{number} had no event"));
            return Ok(COULD_NOT_RUN);
        };
        let (front, record, counts) =
            (fronts[(number + 1) % 3], record.clone(), Rc::clone(&results));
        tasks.push(tokio::task::spawn_local(async move {
            let extra = format!("Resumes: s-{number}\r\nLast-Event-Id: {last}\r\n");
            let id = format!("r-{number}");
            let text = request(
                "POST",
                "/resumed/1",
                &id,
                left.as_millis() as u64,
                &extra,
                &format!("s-{number}"),
            );
            let answer = ask(front, &text, left).await;
            let goes_on = first_event(&answer) == Some(last + 1);
            let (old, new) = counts.get();
            counts.set((old + usize::from(goes_on), new));
            let body = String::from_utf8_lossy(&answer.body).chars().take(160).collect::<String>();
            let reason = if goes_on { String::new() } else { body };
            record.add(&format!(
                "{id} takes up s-{number} after event {last}: {} {reason}",
                answer.status
            ));
        }));
        let (front, counts) = (fronts[number % 3], Rc::clone(&results));
        tasks.push(tokio::task::spawn_local(async move {
            let id = format!("n-{number}");
            let text = request("POST", "/resumed/1", &id, BUDGET.as_millis() as u64, "", &id);
            let answer = ask(front, &text, Duration::from_secs(3)).await;
            let (old, new) = counts.get();
            counts.set((old, new + usize::from(first_event(&answer) == Some(1))));
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let (old, new) = results.get();
    record.add(&format!("LOST: {old} of {CLIENTS} streams that were taken up again go on, {new} of {CLIENTS} new ones begin"));
    Ok(if old * 2 < new { BROKEN } else { HELD })
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
