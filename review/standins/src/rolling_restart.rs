//! The routers are stopped and started in turn while long streams run.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine;
use crate::fleet::{
    Folder, GRACE_S, Net, Record, Router, STABLE_WINDOW_MS, config, entry, has_trouble, is_ready,
    request_head, restart_router, route, start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, Head};

/// Time between two SIGTERM, as in the site files (`share = 1.0, gap_s = 2.0`).
const GAP: Duration = Duration::from_millis(2000);

/// Pause before the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Time budget of a stream and time-out of its route, as on the sheet (`site-query`).
const DEADLINE: Duration = Duration::from_millis(12_000);

/// Events of a stream and the time between two of them, which is below the sheet's 300 ms.
const EVENTS: usize = 42;
const PAUSE: Duration = Duration::from_millis(250);

/// Time between two new streams at each router.
const PACE: Duration = Duration::from_millis(200);

/// Time of the traffic before the first SIGTERM and after it.
const LEAD: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(16);

/// Streams that clients take up again from which LOST counts.
const LEAST: usize = 12;

/// What the platform knows of a router.
#[derive(Clone)]
struct Node {
    ip: String,
    started: Instant,
    is_stopping: bool,
    is_in_rotation: bool,
}

impl Node {
    /// Returns whether the machine has been in touch for the stable window.
    fn is_in_touch(&self) -> bool {
        !self.is_stopping && self.started.elapsed() >= Duration::from_millis(STABLE_WINDOW_MS)
    }
}

type Nodes = Arc<Mutex<Vec<Node>>>;

/// Streams at machines in touch: those that clients took up again or began anew, and those of them
/// that brought an event.
#[derive(Default)]
struct Counts {
    taken_up: AtomicUsize,
    went_on: AtomicUsize,
    sent_new: AtomicUsize,
    begun_new: AtomicUsize,
    /// Streams taken up at machines out of touch, which don't count, and those of them that went on.
    elsewhere: AtomicUsize,
    elsewhere_on: AtomicUsize,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    for name in ["i-1", "i-2", "i-3"] {
        let address = engine::start(&net.ip(5), name, 1, Arc::new(serve_stream));
        store.put("servers", name, &entry(address, "report-llm", 1));
    }
    let routes = [route("query", "streaming", "report-llm", DEADLINE.as_millis() as u64, 2)];
    store.put("config", "main", &config(1, &routes, &["report-llm"]));
    let mut routers = start_routers(&net, &temporary, [store.address; 3], &record);
    let nodes = routers.iter().map(|router| Node {
        ip: router.ip.clone(),
        started: Instant::now(),
        is_stopping: false,
        is_in_rotation: true,
    });
    let nodes: Nodes = Arc::new(Mutex::new(nodes.collect()));
    thread::sleep(Duration::from_secs(4));

    let (is_over, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let is_cut = Arc::new(AtomicBool::new(false));
    watch_readiness(&nodes, &is_over);
    let clients = spawn_clients(&nodes, &is_over, &is_cut, &counts, &record);
    thread::sleep(LEAD);
    let start = Instant::now();
    let mut stops: Vec<(usize, Duration)> = Vec::new();
    if has_trouble() {
        stops = (0..routers.len()).map(|number| (number, GAP * number as u32)).collect();
    }
    let mut stopping: Vec<(usize, Instant)> = Vec::new();
    while start.elapsed() < LENGTH {
        while let Some((number, _)) =
            stops.first().copied().filter(|(_, at)| start.elapsed() >= *at)
        {
            stops.remove(0);
            record.line(&format!("SIGTERM to router {}", number + 1));
            nodes.lock().expect("nodes")[number].is_stopping = true;
            routers[number].signal(libc::SIGTERM);
            stopping.push((number, Instant::now()));
        }
        stopping.retain(|(number, since)| {
            let has_ended = end_router(&mut routers[*number], *since);
            if has_ended {
                record.line(&format!(
                    "router {} has ended, {:.3} s after SIGTERM",
                    number + 1,
                    since.elapsed().as_secs_f64()
                ));
                is_cut.store(*number + 1 == 3, Ordering::Relaxed);
                thread::sleep(RESTART_PAUSE);
                restart_router(&mut routers[*number], &temporary, *number);
                let mut nodes = nodes.lock().expect("nodes");
                (nodes[*number].started, nodes[*number].is_stopping) = (Instant::now(), false);
                record.line(&format!("router {} starts again", number + 1));
            }
            !has_ended
        });
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("client");
    }
    let count = |number: &AtomicUsize| number.load(Ordering::Relaxed);
    let (taken_up, went_on) = (count(&counts.taken_up), count(&counts.went_on));
    let (sent_new, begun_new) = (count(&counts.sent_new), count(&counts.begun_new));
    record.line(&format!(
        "at machines in touch: {went_on} of {taken_up} streams that clients took up again went on; \
         {begun_new} of {sent_new} new streams began"
    ));
    record.line(&format!(
        "not counted, at machines out of touch: {} of {} streams that were taken up again went on",
        count(&counts.elsewhere_on),
        count(&counts.elsewhere)
    ));
    // went_on / taken_up < begun_new / sent_new / 2
    let is_broken = taken_up >= LEAST && 2 * went_on * sent_new < begun_new * taken_up;
    record.line(if is_broken { "LOST is broken" } else { "LOST holds" });
    is_broken
}

/// Returns whether a router that got SIGTERM has ended; ends it after `grace_s`.
fn end_router(router: &mut Router, since: Instant) -> bool {
    if since.elapsed() >= Duration::from_secs(GRACE_S) {
        router.signal(libc::SIGKILL);
    }
    matches!(router.child.try_wait(), Ok(Some(_)))
}

/// Asks each router once a second whether it is ready, as the platform does.
fn watch_readiness(nodes: &Nodes, is_over: &Arc<AtomicBool>) {
    for number in 0..3 {
        let (nodes, is_over) = (Arc::clone(nodes), Arc::clone(is_over));
        thread::spawn(move || {
            let (ip, mut misses) = (nodes.lock().expect("nodes")[number].ip.clone(), 0);
            while !is_over.load(Ordering::Relaxed) {
                misses = if is_ready(&ip) { 0 } else { misses + 1 };
                let mut known = nodes.lock().expect("nodes");
                let node = &mut known[number];
                node.is_in_rotation = misses == 0 || (misses < 2 && node.is_in_rotation);
                drop(known);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

/// Starts a thread for each router that sends it new streams while it is in rotation.
fn spawn_clients(
    nodes: &Nodes,
    is_over: &Arc<AtomicBool>,
    is_cut: &Arc<AtomicBool>,
    counts: &Arc<Counts>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let spawn = |number: usize| {
        let (nodes, is_over, is_cut) = (Arc::clone(nodes), Arc::clone(is_over), Arc::clone(is_cut));
        let (counts, record) = (Arc::clone(counts), record.clone());
        thread::spawn(move || {
            let mut streams = Vec::new();
            for count in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                if nodes.lock().expect("nodes")[number].is_in_rotation {
                    let (nodes, is_cut) = (Arc::clone(&nodes), Arc::clone(&is_cut));
                    let (counts, record) = (Arc::clone(&counts), record.clone());
                    let id = format!("s{}-{count}", number + 1);
                    streams.push(thread::spawn(move || {
                        run_stream(&nodes, number, &id, &is_cut, &counts, &record);
                    }));
                }
                thread::sleep(PACE);
            }
            for stream in streams {
                stream.join().expect("stream");
            }
        })
    };
    (0..3).map(spawn).collect()
}

/// Sends a stream, and takes it up again at another router if it breaks off.
fn run_stream(
    nodes: &Nodes,
    number: usize,
    id: &str,
    is_cut: &AtomicBool,
    counts: &Counts,
    record: &Record,
) {
    let sent = Instant::now();
    let node = nodes.lock().expect("nodes")[number].clone();
    let is_counted = is_cut.load(Ordering::Relaxed) && node.is_in_touch();
    let (status, events, is_whole) = call(&node.ip, id, None, DEADLINE);
    if is_counted {
        counts.sent_new.fetch_add(1, Ordering::Relaxed);
        counts.begun_new.fetch_add(usize::from(events > 0), Ordering::Relaxed);
        record
            .line(&format!("{id}: new at router {}, status {status}, {events} events", number + 1));
    }
    if is_whole || events == 0 {
        return;
    }
    record.line(&format!(
        "{id}: broke off at router {} after {events} of {EVENTS} events, {:.3} s after sending",
        number + 1,
        sent.elapsed().as_secs_f64()
    ));
    // A try after the break, and one more after a refusal. With no router in rotation the client
    // finds none.
    let mut is_taken_up = false;
    for attempt in 1..=2 {
        let known = nodes.lock().expect("nodes").clone();
        let other =
            known.iter().enumerate().find(|(other, node)| *other != number && node.is_in_rotation);
        let left = DEADLINE.saturating_sub(sent.elapsed());
        let Some((other, node)) = other.filter(|_| left > Duration::from_millis(500)) else {
            record.line(&format!("{id}: no router in rotation or no time left"));
            return;
        };
        let is_counted = node.is_in_touch();
        let (status, more, _) =
            call(&node.ip, &format!("{id}-{attempt}"), Some((id, events)), left);
        record.line(&format!(
            "{id}: taken up at router {} after event {events}{}: status {status}, {more} more events",
            other + 1, if is_counted { "" } else { " (not in touch, doesn't count)" }
        ));
        if is_counted && !std::mem::replace(&mut is_taken_up, true) {
            counts.taken_up.fetch_add(1, Ordering::Relaxed);
        }
        if !is_counted && attempt == 1 {
            counts.elsewhere.fetch_add(1, Ordering::Relaxed);
            counts.elsewhere_on.fetch_add(usize::from(more > 0), Ordering::Relaxed);
        }
        if more > 0 {
            counts.went_on.fetch_add(usize::from(is_taken_up), Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}

/// Sends a stream's request and counts its events; returns status, events and whether the stream ended.
fn call(ip: &str, id: &str, resumes: Option<(&str, usize)>, left: Duration) -> (u16, usize, bool) {
    let address = crate::fleet::front(ip);
    let Ok(mut connection) = Connection::open(address) else { return (0, 0, false) };
    let mut head = request_head("POST", "/query/x", id, left.as_millis() as u64);
    head.push_str("model: m\r\ntoken-count: 826,49\r\nprompt-prefix: 5c1e07a2:198,91bd3f06:628\r\ncontent-length: 0\r\n");
    if let Some((first, last)) = resumes {
        head.push_str(&format!("resumes: {first}\r\nlast-event-id: {last}\r\n"));
    }
    let _ = connection.write(format!("{head}\r\n").as_bytes());
    let Ok(Some(head)) = connection.read_head() else { return (0, 0, false) };
    let (body, is_whole) = connection.read_body(&head);
    let events = String::from_utf8_lossy(&body).matches("\n\n").count();
    (head.status(), if head.status() == 200 { events } else { 0 }, is_whole)
}

/// Sends a stream's events from the one after `Last-Event-Id` on.
fn serve_stream(connection: &mut Connection, head: &Head, _: &[u8]) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        engine::run_headers(head)
    );
    connection.write(text.as_bytes())?;
    let last: usize = head.get("last-event-id").parse().unwrap_or(0);
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(PAUSE);
    }
    connection.write(b"0\r\n\r\n")
}
