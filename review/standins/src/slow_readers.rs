//! Clients on slow links are reading their answers when the router gets SIGTERM.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::fleet::{
    Folder, GRACE_S, Net, Record, Router, config, entry, has_trouble, request_head, route,
    start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, response};
use crate::{engine, fleet};

/// Length of an answer, and what a client reads in a tenth of a second.
const ANSWER_BYTES: usize = 360_000;
const READ_BYTES: usize = 4_800;

/// Clients with a `safe` request, and as many with an `unsafe` one.
const CLIENTS: usize = 4;

/// Time budget of each request, and time-out of its route.
const DEADLINE_MS: u64 = 15_000;

struct Outcome {
    id: String,
    status: u16,
    read: usize,
    is_whole: bool,
    took: Duration,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    let log = record.clone();
    let address = engine::start(
        &net.ip(5),
        "i-1",
        1,
        Arc::new(move |connection, head, _| {
            log.line(&format!("engine runs {}", head.get("attempt-id")));
            let body = vec![b'x'; ANSWER_BYTES];
            connection.write(&response("200 OK", &engine::run_headers(head), &body))?;
            log.line(&format!(
                "engine has handed over the whole answer to {}",
                head.get("attempt-id")
            ));
            Ok(())
        }),
    );
    store.put("servers", "i-1", &entry(address, "booking", 1));
    let routes = [
        route("lookup", "safe", "booking", DEADLINE_MS, 2),
        route("issue", "unsafe", "booking", DEADLINE_MS, 1),
    ];
    store.put("config", "main", &config(1, &routes, &["booking"]));
    let mut routers = start_routers(&net, &temporary, [store.address; 3], &record);
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let (front, record) = (routers[0].front(), record.clone());
            thread::spawn(move || call(front, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    if has_trouble() {
        record.line("SIGTERM to the router that took the requests");
        routers[0].signal(libc::SIGTERM);
        match wait_exit(&mut routers[0], Instant::now()) {
            Some(after) => {
                let left = GRACE_S as f64 - after.as_secs_f64();
                record.line(&format!(
                    "the router has ended by itself {:.3} s after SIGTERM, {left:.3} s before the end of grace_s",
                    after.as_secs_f64()
                ));
            }
            None => {
                record.line("grace_s is over; SIGKILL");
                routers[0].signal(libc::SIGKILL);
            }
        }
    }
    let outcomes: Vec<Outcome> =
        clients.into_iter().map(|client| client.join().expect("client")).collect();
    let mut cut = 0;
    for Outcome { id, status, read, is_whole, took } in &outcomes {
        let end = if *is_whole { "whole" } else { "CUT" };
        record.line(&format!(
            "{id}: status {status}, {read} of {ANSWER_BYTES} bytes, {end}, {:.3} s after sending",
            took.as_secs_f64()
        ));
        // Not counted: the time budget or the route's time-out was reached.
        cut += usize::from(!is_whole && took.as_millis() < u128::from(DEADLINE_MS));
    }
    record.line(&format!(
        "{cut} of {} answers that the engine gave in full were cut off",
        outcomes.len()
    ));
    record.line(if cut > 0 { "LOST is broken" } else { "LOST holds" });
    cut > 0
}

fn wait_exit(router: &mut Router, since: Instant) -> Option<Duration> {
    while since.elapsed() < Duration::from_secs(GRACE_S) {
        if matches!(router.child.try_wait(), Ok(Some(_))) {
            return Some(since.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Sends a request and reads its answer at a steady pace, without ever pausing for long.
fn call(front: SocketAddr, number: usize, record: &fleet::Record) -> Outcome {
    let (method, path) = match number % 2 {
        0 => ("GET", "/lookup/x"),
        _ => ("POST", "/issue/x"),
    };
    let id = format!("{}-{number}", path.trim_matches('/').replace("/x", ""));
    let mut outcome =
        Outcome { id: id.clone(), status: 0, read: 0, is_whole: false, took: Duration::ZERO };
    let sent = Instant::now();
    let Ok(mut connection) = open_slow(front) else { return outcome };
    let head = request_head(method, path, &id, DEADLINE_MS);
    let body =
        if method == "POST" { json!({"certificate": number}).to_string() } else { String::new() };
    let length = if method == "POST" {
        format!("content-length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let _ = connection.write(format!("{head}{length}\r\n{body}").as_bytes());
    record.line(&format!("{id} sent"));
    if let Ok(Some(head)) = connection.read_head() {
        outcome.status = head.status();
        let length = head.length().unwrap_or(0);
        while outcome.read < length {
            thread::sleep(Duration::from_millis(100));
            match connection.read_exact(READ_BYTES.min(length - outcome.read)) {
                Ok(bytes) => outcome.read += bytes.len(),
                Err(_) => break,
            }
        }
        outcome.is_whole = outcome.read == length;
    }
    outcome.took = sent.elapsed();
    outcome
}

/// Opens a connection with the segment size and the receive buffer of a small device.
fn open_slow(front: SocketAddr) -> std::io::Result<Connection> {
    let SocketAddr::V4(address) = front else { return Err(std::io::ErrorKind::Unsupported.into()) };
    // SAFETY: plain socket calls; the descriptor is owned by the stream from `from_raw_fd` on.
    let stream = unsafe {
        use std::os::fd::FromRawFd;
        let socket = libc::socket(libc::AF_INET, libc::SOCK_STREAM | libc::SOCK_CLOEXEC, 0);
        let stream = std::net::TcpStream::from_raw_fd(socket);
        set_option(socket, libc::SOL_SOCKET, libc::SO_RCVBUF, 4096);
        set_option(socket, libc::IPPROTO_TCP, libc::TCP_MAXSEG, 1460);
        let mut to: libc::sockaddr_in = std::mem::zeroed();
        to.sin_family = libc::AF_INET as libc::sa_family_t;
        to.sin_port = address.port().to_be();
        to.sin_addr.s_addr = u32::from(*address.ip()).to_be();
        let size = std::mem::size_of::<libc::sockaddr_in>() as libc::socklen_t;
        if libc::connect(stream.as_raw_fd(), (&raw const to).cast(), size) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        stream
    };
    Ok(Connection::new(stream))
}

unsafe fn set_option(socket: i32, level: i32, name: i32, value: i32) {
    let size = std::mem::size_of::<i32>() as libc::socklen_t;
    // SAFETY: the value outlives the call.
    unsafe { libc::setsockopt(socket, level, name, (&raw const value).cast(), size) };
}
