//! Stand-in of an engine: plain answers and event streams.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_head, read_request_body, write_chunk, write_response};

/// How an engine answers the requests that it runs.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// A plain answer after this time.
    Plain(Duration),
    /// A stream of so many events with this pause before each. It goes on after `Last-Event-Id`.
    Stream { events: u64, pause: Duration },
}

/// A request that an engine began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    /// Whether the request is one that crashes the engine.
    pub is_deadly: bool,
    pub after: Option<u64>,
    /// Status of the answer; 0 if none was sent completely.
    pub status: u16,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    pub zone: String,
    service: String,
    version: String,
    work: Work,
    is_down: AtomicBool,
    /// Body of the requests that crash the engine, and the events that it makes before.
    deadly: Mutex<Option<(String, u64)>>,
    /// Percentage of the requests that the engine answers with an error of its own.
    errors: AtomicU64,
    arrivals: AtomicU64,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
}

/// Starts of engines, so that each has another one.
static STARTS: AtomicU64 = AtomicU64::new(0);

impl Engine {
    /// Starts an engine of software version v1.
    pub fn start(id: &str, service: &str, zone: &str, work: Work) -> io::Result<Arc<Engine>> {
        Engine::start_version(id, service, zone, "v1", work)
    }

    /// Starts an engine.
    pub fn start_version(
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        work: Work,
    ) -> io::Result<Arc<Engine>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            address: listener.local_addr()?,
            born: unix.as_millis() as u64 + STARTS.fetch_add(1, Ordering::Relaxed),
            zone: zone.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            work,
            is_down: AtomicBool::new(false),
            deadly: Mutex::default(),
            errors: AtomicU64::new(0),
            arrivals: AtomicU64::new(0),
            runs: Mutex::default(),
            connections: Mutex::default(),
        });
        let shared = Arc::clone(&engine);
        thread::spawn(move || {
            while !shared.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let engine = Arc::clone(&shared);
                        // An error means that the other side closed the connection.
                        thread::spawn(move || drop(engine.serve(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(engine)
    }

    /// Returns the entry that the engine writes into the store.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        let Engine { address, born, zone, service, version, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
            \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"cold_left_ms\":0,\
            \"seq_no\":1,\"born\":{born}}}"
        )
        .into_bytes()
    }

    /// Ends the engine at once, as a crash does: its port and its connections close.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Makes the engine answer this percentage of its requests with status 500.
    pub fn set_errors(&self, percent: u64) {
        self.errors.store(percent, Ordering::SeqCst);
    }

    /// Makes requests with this body crash the engine once it has made so many events.
    pub fn set_deadly(&self, body: &str, events: u64) {
        *self.deadly.lock().unwrap() = Some((body.to_owned(), events));
    }

    /// Returns whether the engine has ended.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Returns the requests that the engine began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        if self.is_down.load(Ordering::SeqCst) {
            return stream.shutdown(Shutdown::Both);
        }
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let body = read_request_body(&mut reader, &head)?;
            self.answer(&mut writer, &head, &body)?;
        }
        Ok(())
    }

    fn answer(&self, writer: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        if head.word(1) == "/api/report" {
            let report = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                \"busy\":false,\"seq_no\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\
                \"kv_total\":702649,\"handles\":0,\"born\":{}}}",
                self.born
            );
            return write_response(writer, "200 OK", &[], report.as_bytes());
        }
        if head.word(1) == "/health" {
            return write_response(writer, "200 OK", &[("Instance-Id", &self.id)], b"");
        }
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("Instance-Id", self.id.as_str())];
            return write_response(writer, "421 Misdirected Request", &headers, b"");
        }
        let Some(attempt) = head.get("attempt-id") else {
            return write_response(writer, "400 Bad Request", &[("Not-Executed", "1")], b"");
        };
        let after = head.get("last-event-id").and_then(|text| text.parse().ok());
        let deadly = self.deadly.lock().unwrap().clone();
        let lasts =
            deadly.filter(|(deadly, _)| deadly.as_bytes() == body).map(|(_, events)| events);
        let (at, attempt_id, is_deadly) = (Instant::now(), attempt.to_owned(), lasts.is_some());
        let run = Run { at, attempt: attempt_id, is_deadly, after, status: 0 };
        let position = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        let result = self.run(writer, attempt, after, lasts);
        self.runs.lock().unwrap()[position].status = result.as_ref().copied().unwrap_or(0);
        result.map(|_| ())
    }

    /// Runs a request; returns the status of its complete answer. The engine crashes after `lasts` events.
    fn run(
        &self,
        writer: &mut TcpStream,
        attempt: &str,
        after: Option<u64>,
        lasts: Option<u64>,
    ) -> io::Result<u16> {
        let headers = [("Attempt-Id", attempt), ("Response-Seal", "3e1b.07")];
        let number = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let percent = self.errors.load(Ordering::SeqCst);
        // Spreads the errors evenly over the requests.
        if (number * percent) % 100 < percent {
            write_response(writer, "500 Internal Server Error", &headers, b"failed")?;
            return Ok(500);
        }
        match self.work {
            Work::Plain(time) => {
                thread::sleep(time);
                write_response(writer, "200 OK", &headers, attempt.as_bytes())?;
            }
            Work::Stream { events, pause } => {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: 3e1b.07\r\n\
                    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                for (made, event) in (after.unwrap_or(0) + 1..=events).enumerate() {
                    if lasts == Some(made as u64) {
                        self.crash();
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                    thread::sleep(pause);
                    let event = format!("id: {event}\ndata: piece {event}\n\n");
                    write_chunk(writer, event.as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
        }
        Ok(200)
    }
}
