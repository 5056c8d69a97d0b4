//! Open connections to the store go silent shortly after a change of the config.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine;
use crate::fleet::{
    CONFIG_APPLY_MS, Folder, Net, Record, STABLE_WINDOW_MS, config, entry, has_trouble,
    request_head, route, start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, response};

/// Time between two changes of the config of a storm, as in the site files (`gap_s = 0.33`).
const GAP: Duration = Duration::from_millis(330);

/// Change of the storm after which the connections go silent, and the number of changes. The last
/// one moves the route to another service.
const SILENT_AFTER: u64 = 4;
const CHANGES: u64 = 6;

/// Time between two requests of one client, and how long they are sent.
const PACE: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_millis(6500);

/// Time from the change before the silence to the silence: half a gap. LULL_MS sets another one, to see
/// how far the case depends on it.
fn lull() -> Duration {
    let set = std::env::var("LULL_MS").ok().and_then(|value| value.parse().ok());
    set.map_or(GAP / 2, Duration::from_millis)
}

/// Forwards connections. Those that are open when the generation rises carry nothing any more.
struct Proxy {
    address: SocketAddr,
    generation: Arc<AtomicU64>,
}

impl Proxy {
    fn start(ip: &str, to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((ip, 0)).expect("port for the proxy");
        let address = listener.local_addr().expect("address");
        let generation = Arc::new(AtomicU64::new(0));
        let current = Arc::clone(&generation);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) =
                        (from.try_clone().expect("socket"), to.try_clone().expect("socket"));
                    let current = Arc::clone(&current);
                    thread::spawn(move || forward(from, to, &current));
                }
            }
        });
        Proxy { address, generation }
    }

    fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, generation: &AtomicU64) {
    let opened = generation.load(Ordering::SeqCst);
    let mut block = vec![0; 64 * 1024];
    loop {
        let count = from.read(&mut block).unwrap_or(0);
        // Neither bytes nor the end of a silent connection reach the other side.
        if generation.load(Ordering::SeqCst) != opened {
            thread::sleep(Duration::from_secs(120));
            return;
        }
        if count == 0 || to.write_all(&block[..count]).is_err() {
            let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
            return;
        }
    }
}

struct Run {
    sent: Instant,
    router: usize,
    status: u16,
    service: String,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    let proxy = Proxy::start(&net.ip(4), store.address);
    for (name, service) in [("i-1", "booking"), ("i-2", "archive")] {
        let address = engine::start(
            &net.ip(5),
            name,
            1,
            Arc::new(move |connection, head, _| {
                connection.write(&response(
                    "200 OK",
                    &engine::run_headers(head),
                    service.as_bytes(),
                ))
            }),
        );
        store.put("servers", name, &entry(address, service, 1));
    }
    // Each change but the last one only changes the time-out of the route.
    let change = |version: u64, service: &str| {
        let routes = [route("lookup", "safe", service, 4000 + version, 2)];
        store.put("config", "main", &config(version, &routes, &["booking", "archive"]));
    };
    change(1, "booking");
    let routers = start_routers(&net, &temporary, [proxy.address; 3], &record);
    thread::sleep(Duration::from_secs(5));

    let mut silent = Instant::now();
    for number in 1..=CHANGES {
        let is_last = number == CHANGES;
        change(1 + number, if is_last { "archive" } else { "booking" });
        record.line(&format!(
            "store acknowledges version {}{}",
            1 + number,
            if is_last { ", which moves the route from booking to archive" } else { "" }
        ));
        if number == SILENT_AFTER && has_trouble() {
            thread::sleep(lull());
            silent = Instant::now();
            proxy.silence();
            record.line("open connections to the store are silent from now on; new ones work");
            thread::sleep(GAP / 2);
        } else if !is_last {
            thread::sleep(GAP);
        }
    }
    let acknowledged = Instant::now();
    // Requests count that were sent when the machines were in touch again and the change had to be
    // in force.
    let mut due = acknowledged + Duration::from_millis(CONFIG_APPLY_MS);
    if has_trouble() {
        due = due.max(silent + Duration::from_millis(STABLE_WINDOW_MS));
    }
    let runs = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = routers
        .iter()
        .enumerate()
        .map(|(number, router)| {
            let (front, runs) = (router.front(), Arc::clone(&runs));
            thread::spawn(move || {
                for count in 0.. {
                    let sent = Instant::now();
                    if sent - acknowledged > SPAN {
                        return;
                    }
                    let id = format!("r{number}-{count}");
                    let (status, service) = call(front, &id).unwrap_or_default();
                    runs.lock().expect("runs").push(Run {
                        sent,
                        router: number + 1,
                        status,
                        service,
                    });
                    thread::sleep(PACE);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("client");
    }
    let runs = runs.lock().expect("runs");
    let mut stale = 0;
    for run in runs.iter() {
        let is_late = run.sent > due && run.service == "booking";
        stale += usize::from(is_late);
        record.line(&format!(
            "sent {:.3} s after the ack to router {}: status {}, run by {}{}",
            (run.sent - acknowledged).as_secs_f64(),
            run.router,
            run.status,
            if run.service.is_empty() { "none" } else { &run.service },
            if is_late { "  <- OLD SERVICE" } else { "" }
        ));
    }
    let after = runs.iter().filter(|run| run.sent > due).count();
    record.line(&format!(
        "{stale} of {after} requests that were sent later than {:.3} s after the ack, by machines in touch, were run by the old service",
        (due - acknowledged).as_secs_f64()
    ));
    record.line(if stale > 0 { "CONFIG is broken" } else { "CONFIG holds" });
    stale > 0
}

fn call(front: SocketAddr, id: &str) -> Option<(u16, String)> {
    let mut connection = Connection::open(front).ok()?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    connection
        .write(format!("{}\r\n", request_head("GET", "/lookup/x", id, 1000)).as_bytes())
        .ok()?;
    let head = connection.read_head().ok()??;
    let (body, is_whole) = connection.read_body(&head);
    let service = if head.status() == 200 && is_whole {
        String::from_utf8(body).ok()?
    } else {
        String::new()
    };
    Some((head.status(), service))
}
