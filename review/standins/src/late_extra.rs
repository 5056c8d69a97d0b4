//! Engines turn part of their requests away, and some of their answers come a second time, late.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine;
use crate::fleet::{
    Folder, Net, Record, config, entry, has_trouble, request_head, route, start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, response};

/// Engines of the service, and those of them at fault: a share of 0.125. The sheet has 0.14 for engines
/// that shed and 0.6 for those that repeat answers.
const ENGINES: usize = 16;
const FAULTY: usize = 2;

/// Part of their requests that they shed, and part of their answers that come twice.
const SHED: f64 = 0.45;
const EXTRA: f64 = 0.03;

/// Time that a run takes, as on the sheet.
const WORK: Duration = Duration::from_millis(15);

/// Clients, and the time between two requests of one.
const CLIENTS: usize = 90;
const PACE: Duration = Duration::from_millis(100);

/// Length of the case's traffic.
const LENGTH: Duration = Duration::from_secs(42);

/// The engines are at fault for the first five of each six seconds: the sheet has up to 6.5 s for its
/// shedding and 5 s for its extra answers, and either may come more than once.
const PERIOD_S: u64 = 6;
const FAULTY_S: u64 = 5;

/// Small generator of random numbers with a fixed seed.
struct Dice(AtomicU64);

impl Dice {
    fn falls(&self, part: f64) -> bool {
        let next = |state: u64| {
            Some(
                state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407),
            )
        };
        let state = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).unwrap_or(0);
        ((state >> 33) as f64 / f64::from(1u32 << 31)) < part
    }
}

/// Runs of requests: on which engines.
type Runs = Arc<Mutex<HashMap<String, Vec<usize>>>>;

const SHED_ANSWER: &str = "503 Service Unavailable";

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    // For comparison only: with SHED_ID=1, answers of sheds carry the identifier too.
    let names_sheds = std::env::var("SHED_ID").is_ok_and(|value| value == "1");
    let runs: Runs = Arc::default();
    let (sheds, extras) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for number in 0..ENGINES {
        let dice = Dice(AtomicU64::new(1 + number as u64));
        let start = Instant::now();
        let is_faulty = move || {
            has_trouble() && number < FAULTY && start.elapsed().as_secs() % PERIOD_S < FAULTY_S
        };
        // Answers that are to come once more, by the connection's address.
        let pending: Mutex<HashMap<SocketAddr, Vec<u8>>> = Mutex::default();
        let (runs, sheds, extras) = (Arc::clone(&runs), Arc::clone(&sheds), Arc::clone(&extras));
        let record = record.clone();
        let handler: engine::Handler = Arc::new(move |connection, head, _| {
            let (peer, id) = (connection.stream.peer_addr()?, head.get("attempt-id"));
            let extra = pending.lock().expect("pending").remove(&peer);
            if let Some(extra) = extra {
                extras.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "engine {number} sends an earlier answer once more, where that to {id} is due"
                ));
                connection.write(&extra)?;
            }
            let answer = if is_faulty() && dice.falls(SHED) {
                sheds.fetch_add(1, Ordering::Relaxed);
                let named = format!("attempt-id: {id}\r\nnot-executed: 1\r\n");
                let headers = if names_sheds { named.as_str() } else { "not-executed: 1\r\n" };
                response(SHED_ANSWER, headers, b"")
            } else {
                runs.lock().expect("runs").entry(id.to_owned()).or_default().push(number);
                thread::sleep(WORK);
                response("200 OK", &engine::run_headers(head), b"done")
            };
            if is_faulty() && dice.falls(EXTRA) {
                pending.lock().expect("pending").insert(peer, answer.clone());
            }
            connection.write(&answer)
        });
        let name = format!("i-{number}");
        let address = engine::start(&net.ip(5), &name, 1, handler);
        store.put("servers", &name, &entry(address, "booking", 1));
    }
    let routes = [route("issue", "unsafe", "booking", 1_000, 1)];
    store.put("config", "main", &config(1, &routes, &["booking"]));
    let routers = start_routers(&net, &temporary, [store.address; 3], &record);
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, is_over) = (routers[number % 3].front(), Arc::clone(&is_over));
            let answers = Arc::clone(&answers);
            thread::spawn(move || {
                let mut connection = None;
                for count in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let started = Instant::now();
                    let id = format!("issue-{number}-{count}");
                    let open = connection.take().or_else(|| Connection::open(front).ok());
                    let (open, status) = open.map_or((None, 0), |open| call(open, &id));
                    connection = open;
                    answers.lock().expect("answers").insert(id, status);
                    thread::sleep(PACE.saturating_sub(started.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(LENGTH);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("client");
    }
    let (runs, answers) = (runs.lock().expect("runs"), answers.lock().expect("answers"));
    let (mut twice, mut refused) = (0, 0);
    for (id, engines) in runs.iter() {
        let status = answers.get(id).copied().unwrap_or(0);
        if engines.len() > 1 {
            twice += 1;
            record.line(&format!(
                "{id} ran {} times, at the engines {engines:?}; status {status}",
                engines.len()
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.line(&format!("{id} ran at the engines {engines:?}; status {status}"));
        }
    }
    let served = answers.values().filter(|status| **status == 200).count();
    record.line(&format!(
        "the faulty engines shed {} requests, and sent {} answers once more",
        sheds.load(Ordering::Relaxed),
        extras.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "{} unsafe requests, {served} answered with 200: {twice} ran more than once, {refused} ran and were answered with a refusal",
        answers.len()
    ));
    let is_broken = twice + refused > 0;
    record.line(if is_broken { "TWICE or REFUSED is broken" } else { "TWICE and REFUSED hold" });
    is_broken
}

fn call(mut connection: Connection, id: &str) -> (Option<Connection>, u16) {
    let head = request_head("POST", "/issue/x", id, 1_000);
    let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let _ = connection.write(format!("{head}content-length: 2\r\n\r\n{{}}").as_bytes());
    let Ok(Some(head)) = connection.read_head() else { return (None, 0) };
    match connection.read_body(&head) {
        (_, true) if head.get("connection") != "close" => (Some(connection), head.status()),
        (_, true) => (None, head.status()),
        (_, false) => (None, 0),
    }
}
