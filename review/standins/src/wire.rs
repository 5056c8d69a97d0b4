//! The little HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or of a response; names of headers are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.headers.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").eq_ignore_ascii_case("chunked")
    }
}

/// Connection with the bytes that were read beyond what was asked for.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16 * 1024];
        let count = self.stream.read(&mut block)?;
        self.rest.extend_from_slice(&block[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { first, headers: headers.collect() }));
            }
            if self.fill()? == 0 {
                return match self.rest.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a whole body with a length or in chunks; what came of it, and whether it is whole.
    pub fn read_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let Ok(line) = self.read_line() else { return (body, false) };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
                let Ok(chunk) = self.read_exact(size) else { return (body, false) };
                body.extend_from_slice(&chunk);
                let is_end = self.read_exact(2).is_ok();
                if !is_end {
                    return (body, false);
                }
                if size == 0 {
                    return (body, true);
                }
            }
        }
        match self.read_exact(head.length().unwrap_or(0)) {
            Ok(body) => (body, true),
            Err(_) => (std::mem::take(&mut self.rest), false),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
