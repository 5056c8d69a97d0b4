//! An engine crashes while its answers, which have no length, are on their way.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{self, Handler};
use crate::fleet::{
    Folder, Net, Record, config, entry, has_trouble, request_head, route, start_routers,
};
use crate::store::Store;
use crate::wire::{Connection, Head};

/// Events of a stream or parts of an answer, and the time between two of them.
const PIECES: usize = 20;
const PAUSE: Duration = Duration::from_millis(100);

/// Clients with a stream, and as many with a plain request.
const CLIENTS: usize = 18;

/// Engines of the service. One of them crashes: a share of 0.167, where the sheet has 0.17.
const ENGINES: usize = 6;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn piece(is_stream: bool, number: usize) -> String {
    match is_stream {
        true => format!("id: {number}\ndata: token {number}\n\n"),
        false => format!("line {number} of {PIECES}\n"),
    }
}

/// Answers with neither a length nor chunks; the end of the connection ends the answer.
fn handler() -> Handler {
    Arc::new(|connection: &mut Connection, head: &Head, _: &[u8]| {
        let is_stream = head.target().starts_with("/query/");
        let kind = if is_stream { "text/event-stream" } else { "text/plain" };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}content-type: {kind}\r\nconnection: close\r\n\r\n",
            engine::run_headers(head)
        );
        connection.write(text.as_bytes())?;
        for number in 1..=PIECES {
            connection.write(piece(is_stream, number).as_bytes())?;
            thread::sleep(PAUSE);
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    })
}

/// Runs one engine as a process of its own.
pub fn run_engine(args: &[&str]) -> bool {
    let [address, name, born] = args else { std::process::exit(2) };
    let listener = TcpListener::bind(address).expect("address of the engine");
    engine::serve(&listener, name, born.parse().expect("start time"), &handler());
    false
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let (net, temporary) = (Net::find(), Folder::create());
    let store = Store::start(&net.ip(4));
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let address: SocketAddr =
            format!("{}:{}", net.ip(5), 9001 + number).parse().expect("address");
        let name = format!("i-{number}");
        let program = std::env::current_exe().expect("own program");
        let child = Command::new(program)
            .args(["engine", &address.to_string(), &name, "1"])
            .stdin(Stdio::null())
            .spawn()
            .expect("engine");
        engines.push(Process(child));
        store.put("servers", &name, &entry(address, "report-llm", 1));
    }
    let routes = [
        route("query", "streaming", "report-llm", 12_000, 1),
        route("lookup", "safe", "report-llm", 12_000, 2),
    ];
    store.put("config", "main", &config(1, &routes, &["report-llm"]));
    let routers = start_routers(&net, &temporary, [store.address; 3], &record);
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let (front, record) = (routers[number % 3].front(), record.clone());
            thread::spawn(move || call(front, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(850));
    if has_trouble() {
        record.line(&format!("one of {ENGINES} engines crashes (SIGKILL)"));
        let _ = engines[0].0.kill();
    }
    let mut broken = 0;
    for client in clients {
        broken += usize::from(client.join().expect("client"));
    }
    record.line(&format!("{broken} of {} answers look complete and lack their end", 2 * CLIENTS));
    record.line(if broken > 0 { "ORDER and MIXED are broken" } else { "ORDER and MIXED hold" });
    broken > 0
}

/// Returns whether the answer looks complete and is not.
fn call(front: SocketAddr, number: usize, record: &Record) -> bool {
    let is_stream = number % 2 == 0;
    let (method, path) = if is_stream { ("POST", "/query/x") } else { ("GET", "/lookup/x") };
    let id = format!("{}-{number}", if is_stream { "query" } else { "lookup" });
    let prompt = format!(
        "model: m\r\ntoken-count: 826,49\r\nprompt-prefix: {:x}:198,{:x}:628\r\ncontent-length: 0\r\n",
        0x5c1e_07a2 + number / 3,
        0x91bd_3f06 + number
    );
    let mut head = request_head(method, path, &id, 12_000);
    if is_stream {
        head.push_str(&prompt);
    }
    let sent = Instant::now();
    let Ok(mut connection) = Connection::open(front) else { return false };
    let _ = connection.write(format!("{head}\r\n").as_bytes());
    record.line(&format!("{id} sent"));
    let Ok(Some(head)) = connection.read_head() else {
        record.line(&format!("{id}: closed without an answer"));
        return false;
    };
    let (body, is_complete) = connection.read_body(&head);
    let whole: String = (1..=PIECES).map(|number| piece(is_stream, number)).collect();
    let is_whole = body == whole.as_bytes();
    let is_false = head.status() == 200 && is_complete && !is_whole;
    record.line(&format!(
        "{id}: status {}, MAC {:?}, {} of {} bytes, {} by its framing ({}), {:.3} s after sending{}",
        head.status(), head.get("response-seal"), body.len(), whole.len(),
        if is_complete { "complete" } else { "not complete" },
        if head.is_chunked() { "chunks" } else { "length" },
        sent.elapsed().as_secs_f64(),
        if is_false { "  <- LOOKS COMPLETE" } else { "" }
    ));
    is_false
}
