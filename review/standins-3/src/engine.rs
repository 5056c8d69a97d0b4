//! Engines: HTTP servers that run requests as the pages say.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request that an engine has read completely.
#[derive(Debug, Clone)]
pub struct EngineRequest {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl EngineRequest {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("attempt-id")
    }
}

/// What an engine does with a request that is meant for it. It writes the answer itself.
pub type Handler =
    Rc<dyn Fn(EngineRequest, EngineStream) -> Pin<Box<dyn Future<Output = io::Result<bool>>>>>;

/// The connection on which an answer is written.
pub type EngineStream = Rc<tokio::sync::Mutex<TcpStream>>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    connections: Rc<Cell<usize>>,
    /// The tasks that accept connections and serve them.
    tasks: Rc<RefCell<Vec<tokio::task::AbortHandle>>>,
}

impl Engine {
    /// Starts an engine. The handler returns whether the connection stays open.
    pub async fn start(id: &str, handler: Handler) -> io::Result<Engine> {
        Engine::start_at((Ipv4Addr::LOCALHOST, 0).into(), id, 1_790_000_000_000, handler).await
    }

    /// Starts an engine at an address; `born` is the Unix millisecond of its start.
    pub async fn start_at(
        address: SocketAddr,
        id: &str,
        born: u64,
        handler: Handler,
    ) -> io::Result<Engine> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = Rc::new(Cell::new(0));
        let (name, count) = (id.to_owned(), Rc::clone(&connections));
        let tasks: Rc<RefCell<Vec<tokio::task::AbortHandle>>> = Rc::default();
        let served = Rc::clone(&tasks);
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                count.set(count.get() + 1);
                let (name, handler) = (name.clone(), Rc::clone(&handler));
                let task = tokio::task::spawn_local(async move {
                    let _ = serve(name, born, stream, handler).await;
                });
                served.borrow_mut().push(task.abort_handle());
            }
        });
        tasks.borrow_mut().push(task.abort_handle());
        Ok(Engine { id: id.to_owned(), address, born, connections, tasks })
    }

    /// Returns the number of connections so far.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Ends the engine's process: its sockets are closed, whatever runs.
    pub fn crash(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    /// The entry that the engine writes into the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "slots": 64, "state": state, "cold_left_ms": 0, "seq_no": 0, "born": self.born})
    }
}

async fn serve(name: String, born: u64, stream: TcpStream, handler: Handler) -> io::Result<()> {
    let stream: EngineStream = Rc::new(tokio::sync::Mutex::new(stream));
    let mut buffer = Vec::new();
    loop {
        let Some(request) = read_request(&stream, &mut buffer).await? else {
            return Ok(());
        };
        if request.path == "/api/report" {
            let body = json!({"stage": "both", "models": [], "busy": false, "seq_no": 0, "queued": 0,
                "running": 0, "kv_used": 0, "kv_total": 700_000, "handles": 0, "born": born,
                "state": "ready"});
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.lock().await.write_all(format!("{head}{body}").as_bytes()).await?;
            continue;
        }
        if request.header("expect-instance") != name {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                request.id()
            );
            stream.lock().await.write_all(answer.as_bytes()).await?;
            continue;
        }
        if !handler(request, Rc::clone(&stream)).await? {
            return Ok(());
        }
    }
}

async fn read_request(
    stream: &EngineStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<EngineRequest>> {
    let mut stream = stream.lock().await;
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> = fields
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize =
        headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = buffer.drain(..length).collect();
    Ok(Some(EngineRequest { method, path, headers, body }))
}

/// The head of a successful answer.
pub fn success_head(id: &str, length: Option<usize>) -> String {
    let framing = match length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked".to_owned(),
    };
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: 3e1b.07.{id}\r\n{framing}\r\n\r\n"
    )
}

/// One chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
