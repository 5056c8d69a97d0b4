//! A burst of clients whose requests are large, each within the limit of the config.
//!
//! The stand-in of the platform ends a process that exceeds its memory, and starts it again.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine;
use crate::fleet::{
    Folder, Net, Record, config, entry, has_trouble, request_head, restart_router, route,
    start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, response};

/// `memory_mb` of the machines of the sheet, and `max_body_bytes` of its config.
const MEMORY_MB: f64 = 96.0;
const BODY_BYTES: usize = 4_194_304;

/// Clients with large requests as usual, and in a burst of 2.5 times as many.
const USUAL: usize = 8;
const BURST: usize = 20;
const BURST_SPAN: Duration = Duration::from_millis(4500);

/// Bytes that a client with a large request sends a second: also in the burst, what comes in and what
/// goes on to the engine stay below the link's 700 Mbit/s together.
const UPLOAD_RATE: f64 = 2.0e6;

/// Clients with small requests, each on a connection that it keeps.
const KEPT: usize = 8;

/// Time that a run takes: the longest of the sheet.
const WORK: Duration = Duration::from_millis(110);

/// Length of the case's traffic, and when the burst begins.
const LENGTH: Duration = Duration::from_secs(10);
const BURST_AT: Duration = Duration::from_secs(4);

/// Pause before the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Cut requests on kept connections that LOST allows.
const ALLOWED: usize = 3;

/// Returns the most memory that a process has held since it started.
fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or("VmHWM: 0 kB");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    let begun: Arc<Mutex<HashSet<String>>> = Arc::default();
    let seen = Arc::clone(&begun);
    let address = engine::start(
        &net.ip(5),
        "i-1",
        1,
        Arc::new(move |connection, head, _| {
            seen.lock().expect("runs").insert(head.get("attempt-id").to_owned());
            thread::sleep(WORK);
            connection.write(&response("200 OK", &engine::run_headers(head), b"done"))
        }),
    );
    store.put("servers", "i-1", &entry(address, "booking", 1));
    let routes = [route("issue", "unsafe", "booking", 4_000, 1)];
    store.put("config", "main", &config(1, &routes, &["booking"]));
    let mut routers = start_routers(&net, &temporary, [store.address; 3], &record);
    thread::sleep(Duration::from_secs(4));

    let front = routers[0].front();
    let is_over = Arc::new(AtomicBool::new(false));
    let is_burst = Arc::new(AtomicBool::new(false));
    let (large, small) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..BURST {
        let (is_over, is_burst, answered) =
            (Arc::clone(&is_over), Arc::clone(&is_burst), Arc::clone(&large));
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                if number >= USUAL && !is_burst.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                count += 1;
                let status = call_large(front, &format!("large-{number}-{count}"));
                answered.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                if status == 0 {
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }));
    }
    for number in 0..KEPT {
        let (is_over, answered) = (Arc::clone(&is_over), Arc::clone(&small));
        let (cut, record) = (Arc::clone(&cut), record.clone());
        clients.push(thread::spawn(move || {
            let mut connection = None;
            for count in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let Some(open) = connection.take().or_else(|| Connection::open(front).ok()) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let id = format!("small-{number}-{count}");
                match call_small(open, &id) {
                    (Some(open), 200) => {
                        answered.fetch_add(1, Ordering::Relaxed);
                        connection = Some(open);
                    }
                    (Some(open), status) => {
                        record.line(&format!("{id}: status {status}"));
                        connection = Some(open);
                    }
                    (None, _) => {
                        record.line(&format!("{id}: connection closed without an answer"));
                        cut.lock().expect("cut").push(id);
                    }
                }
            }
        }));
    }
    let (start, mut peak, mut kills) = (Instant::now(), 0.0f64, 0);
    while start.elapsed() < LENGTH {
        let elapsed = start.elapsed();
        let is_on = has_trouble() && elapsed >= BURST_AT && elapsed < BURST_AT + BURST_SPAN;
        if is_burst.swap(is_on, Ordering::Relaxed) != is_on {
            let clients = if is_on { BURST } else { USUAL };
            record.line(&format!("{clients} clients with large requests from now on"));
        }
        let used = resident_mb(routers[0].child.id());
        peak = peak.max(used);
        if used > MEMORY_MB {
            record.line(&format!(
                "the router uses {used:.1} MB of {MEMORY_MB} MB; the platform kills it"
            ));
            let _ = (routers[0].child.kill(), routers[0].child.wait());
            kills += 1;
            thread::sleep(RESTART_PAUSE);
            restart_router(&mut routers[0], &temporary, 0);
        }
        thread::sleep(Duration::from_millis(2));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("client");
    }
    let begun = begun.lock().expect("runs");
    let lost = cut.lock().expect("cut").iter().filter(|id| begun.contains(*id)).count();
    record.line(&format!(
        "answered: {} large, {} small; most memory {peak:.1} MB, killed {kills} times",
        large.load(Ordering::Relaxed),
        small.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "{lost} small requests that the engine ran ended with their connection, without an answer"
    ));
    record.line(if lost > ALLOWED { "LOST is broken" } else { "LOST holds" });
    lost > ALLOWED
}

fn call_large(front: SocketAddr, id: &str) -> u16 {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    let head = request_head("POST", "/issue/x", id, 4_000);
    let _ = connection.write(format!("{head}content-length: {BODY_BYTES}\r\n\r\n").as_bytes());
    let block = [b'y'; 64 * 1024];
    let (start, mut sent) = (Instant::now(), 0);
    while sent < BODY_BYTES {
        if connection.write(&block).is_err() {
            return 0;
        }
        sent += block.len();
        let due = Duration::from_secs_f64(sent as f64 / UPLOAD_RATE);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    connection.read_head().ok().flatten().map_or(0, |head| head.status())
}

fn call_small(mut connection: Connection, id: &str) -> (Option<Connection>, u16) {
    let head = request_head("POST", "/issue/x", id, 4_000);
    let _ = connection.write(format!("{head}content-length: 2\r\n\r\n{{}}").as_bytes());
    let Ok(Some(head)) = connection.read_head() else { return (None, 0) };
    match connection.read_body(&head) {
        (_, true) => (Some(connection), head.status()),
        (_, false) => (None, 0),
    }
}
