//! Clients.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a client got for one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    /// The body without the framing.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
    /// How the connection ended, if the answer is not complete.
    pub end: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.split("\r\n").skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }
}

/// How fast a client reads: so many bytes, then a pause.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub bytes: usize,
    pub pause: Duration,
}

/// The text of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    budget_ms: u64,
    extra: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {budget_ms}\r\n\
         Authorization: Token k1\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream =
            tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    /// Opens a connection as over a network: with segments of an Ethernet, and a small receive buffer.
    pub async fn open_small(address: SocketAddr, receive_bytes: usize) -> io::Result<Connection> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_tcp_mss(1460)?;
        socket.set_recv_buffer_size(receive_bytes)?;
        socket.connect(&address.into())?;
        socket.set_nonblocking(true)?;
        let stream = TcpStream::from_std(socket.into())?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub async fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads one answer to its end, at a pace if there is one.
    pub async fn answer(&mut self, pace: Option<Pace>, most: Duration) -> Answer {
        let start = Instant::now();
        let mut answer = Answer::default();
        match tokio::time::timeout(most, self.read(&mut answer, pace)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => answer.end = error.to_string(),
            Err(_) => answer.end = "the client gave up".to_owned(),
        }
        answer.took = start.elapsed();
        answer
    }

    async fn fill(&mut self, pace: Option<Pace>) -> io::Result<()> {
        let limit = pace.map_or(64 * 1024, |pace| pace.bytes);
        let mut piece = vec![0; limit];
        let count = self.stream.read(&mut piece).await?;
        if count == 0 {
            return Err(io::Error::other("connection closed"));
        }
        self.buffer.extend_from_slice(&piece[..count]);
        if let Some(pace) = pace {
            tokio::time::sleep(pace.pause.mul_f64(count as f64 / pace.bytes as f64)).await;
        }
        Ok(())
    }

    async fn read(&mut self, answer: &mut Answer, pace: Option<Pace>) -> io::Result<()> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            self.fill(pace).await?;
        };
        answer.head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        answer.status =
            answer.head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        if answer.header("transfer-encoding").is_some() {
            loop {
                let line = loop {
                    if let Some(line) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                        break line;
                    }
                    self.fill(pace).await?;
                };
                let size = String::from_utf8_lossy(&self.buffer[..line]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::other(format!("no chunk: {size:?}")))?;
                while self.buffer.len() < line + 2 + size + 2 {
                    let (have, want) = (self.buffer.len(), line + 2);
                    let read = self.fill(pace).await;
                    if let Err(error) = read {
                        answer.body.extend_from_slice(&self.buffer[want.min(have)..]);
                        return Err(error);
                    }
                }
                answer.body.extend_from_slice(&self.buffer[line + 2..line + 2 + size]);
                self.buffer.drain(..line + 2 + size + 2);
                if size == 0 {
                    answer.is_complete = true;
                    return Ok(());
                }
            }
        }
        let length: usize =
            answer.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if let Err(error) = self.fill(pace).await {
                answer.body.append(&mut self.buffer);
                return Err(error);
            }
        }
        answer.body = self.buffer.drain(..length).collect();
        answer.is_complete = true;
        Ok(())
    }
}

/// Sends a request on a new connection and reads the answer.
pub async fn ask(address: SocketAddr, text: &str, most: Duration) -> Answer {
    let start = Instant::now();
    match Connection::open(address).await {
        Ok(mut connection) => match connection.send(text).await {
            Ok(()) => connection.answer(None, most).await,
            Err(error) => {
                Answer { end: error.to_string(), took: start.elapsed(), ..Answer::default() }
            }
        },
        Err(error) => Answer { end: error.to_string(), took: start.elapsed(), ..Answer::default() },
    }
}
