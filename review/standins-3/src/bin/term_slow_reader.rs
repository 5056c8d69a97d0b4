//! A machine is stopped while a client still reads a stream slowly.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jackdaw_platform_standins::{StoreStandin, sample_config};
use review_3::client::{Connection, Pace, ask, request};
use review_3::engine::{Engine, EngineRequest, EngineStream, Handler, chunk, success_head};
use review_3::fleet::{Deployment, Router, machine_ip};
use review_3::record::{BROKEN, COULD_NOT_RUN, HELD, Record, is_calm};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::task::LocalSet;

/// Bytes of an event, and the time in which an engine makes the events of any stream.
const EVENT_BYTES: usize = 420;
const STREAM_TIME: Duration = Duration::from_secs(3);

/// Clients that read slowly, and how they do: 8 KB/s.
const SLOW_CLIENTS: usize = 60;
const PACE: Pace = Pace { bytes: 820, pause: Duration::from_millis(100) };

/// Events of the stream of a client.
fn events_of(client: usize) -> usize {
    81 + client
}

fn client_of(id: &str) -> usize {
    id.strip_prefix("slow-").and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn event(number: usize) -> String {
    let mut text = format!("id: {number}\ndata: ");
    while text.len() < EVENT_BYTES - 2 {
        text.push((b'a' + (number % 26) as u8) as char);
    }
    text + "\n\n"
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let record = Record::create(&folder)?;
    let calm = is_calm();
    let store = StoreStandin::bind().await;
    let ended_runs: Rc<RefCell<Vec<(String, Instant)>>> = Rc::default();
    let (runs, log) = (Rc::clone(&ended_runs), record.clone());
    let handler: Handler = Rc::new(move |request: EngineRequest, stream: EngineStream| {
        let (runs, log) = (Rc::clone(&runs), log.clone());
        Box::pin(async move {
            let id = request.id().to_owned();
            let mut stream = stream.lock().await;
            if request.path.starts_with("/safe/") {
                tokio::time::sleep(Duration::from_millis(15)).await;
                let body = format!("balance for {id}");
                let answer = success_head(&id, Some(body.len())) + &body;
                stream.write_all(answer.as_bytes()).await?;
                return Ok(true);
            }
            log.add(&format!("engine runs {id}"));
            stream.write_all(success_head(&id, None).as_bytes()).await?;
            let (begun, events) = (Instant::now(), events_of(client_of(&id)));
            for number in 1..=events {
                let due = begun + STREAM_TIME.mul_f64(number as f64 / events as f64);
                tokio::time::sleep_until(due.into()).await;
                stream.write_all(chunk(&event(number)).as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
            log.add(&format!("engine has written all of {id}, and is idle"));
            runs.borrow_mut().push((id, Instant::now()));
            Ok(true)
        })
    });
    let engines =
        [Engine::start("i-1", Rc::clone(&handler)).await?, Engine::start("i-2", handler).await?];
    let mut config = sample_config(1, &["k1"]);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeout_ms"] = json!(12_000);
    }
    store.put_config(&config);
    for engine in &engines {
        store.put_target(&engine.id, &engine.entry("s", "a", "ready"));
    }
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
    // No disruption in the last `stable_window_ms` before the requests.
    tokio::time::sleep(Duration::from_secs(5)).await;

    let front = routers[0].front();
    let counts = Rc::new(Cell::new((0, 0)));
    let mut tasks = Vec::new();
    for number in 0..SLOW_CLIENTS {
        let log = record.clone();
        tasks.push(tokio::task::spawn_local(async move {
            let id = format!("slow-{number}");
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            let mut connection = Connection::open_small(front, 2048).await?;
            connection.send(&request("POST", "/stream/1", &id, 12_000, "", "x")).await?;
            log.add(&format!("client sends {id}"));
            let answer = connection.answer(Some(PACE), Duration::from_secs(12)).await;
            log.add(&format!(
                "client has {} of {id}: status {}, {} bytes, {} in {:.1} s",
                if answer.is_complete { "all" } else { "a part" },
                answer.status,
                answer.body.len(),
                answer.end,
                answer.took.as_secs_f64()
            ));
            Ok::<_, std::io::Error>(answer)
        }));
    }
    // Other clients, which read at once, at both machines.
    let others = tokio::task::spawn_local({
        let (counts, fronts) = (Rc::clone(&counts), [routers[0].front(), routers[1].front()]);
        async move {
            for number in 0..60 {
                let text = request("GET", "/safe/1", &format!("quick-{number}"), 1000, "", "");
                let answer = ask(fronts[number % 2], &text, Duration::from_secs(1)).await;
                let (served, sent) = counts.get();
                counts.set((served + usize::from(answer.status == 200), sent + 1));
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let signalled = Instant::now();
    if !calm {
        record.add(&format!("SIGTERM to {}, SIGKILL would follow after 8 s", routers[0].name));
        routers[0].signal("TERM");
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(8) {
            if let Some(status) = routers[0].ended() {
                let after = start.elapsed().as_secs_f64();
                record.add(&format!(
                    "{} has ended by itself {after:.2} s after SIGTERM: {status}",
                    routers[0].name
                ));
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if routers[0].ended().is_none() {
            record.add("SIGKILL");
            routers[0].kill();
        }
    }
    let mut cut = 0;
    for (number, task) in tasks.into_iter().enumerate() {
        match task.await {
            Ok(Ok(answer)) => {
                let expected: String = (1..=events_of(number)).map(event).collect();
                let is_whole = answer.is_complete && answer.body == expected.as_bytes();
                cut += usize::from(!is_whole);
            }
            _ => return Ok(COULD_NOT_RUN),
        }
    }
    let _ = others.await;
    let (served, sent) = counts.get();
    record.add(&format!("quick requests: {served} of {sent} served"));
    let late = ended_runs
        .borrow()
        .iter()
        .filter(|(_, end)| *end > signalled + Duration::from_millis(6600))
        .count();
    record.add(&format!("engines still at work in the last sixth of grace_s: {late}"));
    if ended_runs.borrow().len() < SLOW_CLIENTS {
        return Ok(COULD_NOT_RUN);
    }
    record.add(&format!(
        "LOST: {cut} of {SLOW_CLIENTS} answers that engines had made are incomplete"
    ));
    Ok(if cut > 0 { BROKEN } else { HELD })
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
