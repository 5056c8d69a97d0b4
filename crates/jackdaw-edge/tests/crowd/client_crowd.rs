//! Clients that write prescribed bytes and stay connected.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

use crate::support::waiting_bytes;

/// Time between the connections of two clients, so that the router reads them one by one.
const CONNECT_INTERVAL: Duration = Duration::from_millis(2);

/// Time without progress of any client, and of the router in reading what they wrote, after which a
/// crowd has done what it can.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Longest time that a crowd has.
const CROWD_TIME: Duration = Duration::from_secs(90);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a client writes its bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum WritePace {
    /// As fast as the router takes them.
    Whole,
    /// In pieces of so many bytes, with pauses.
    Pieces(usize),
}

/// Clients that stay connected until the crowd is dropped.
pub(crate) struct ClientCrowd {
    address: SocketAddr,
    clients: Vec<JoinHandle<()>>,
    written: Rc<Cell<usize>>,
    finished: Rc<Cell<usize>>,
}

impl ClientCrowd {
    /// Connects one client for each text.
    pub(crate) fn connect(
        address: SocketAddr,
        texts: Vec<Vec<Bytes>>,
        pace: WritePace,
    ) -> ClientCrowd {
        let (written, finished) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
        let clients = texts.into_iter().zip(0..).map(|(text, number)| {
            let (written, finished) = (Rc::clone(&written), Rc::clone(&finished));
            tokio::task::spawn_local(async move {
                tokio::time::sleep(CONNECT_INTERVAL * number).await;
                let stream = write_text(address, text, pace, &written).await;
                finished.set(finished.get() + 1);
                // Keeps the connection open.
                std::future::pending::<()>().await;
                drop(stream);
            })
        });
        ClientCrowd { address, clients: clients.collect(), written, finished }
    }

    /// Waits until all clients have connected, and neither they nor the router make progress.
    pub(crate) async fn settle(&self) {
        tokio::time::sleep(CONNECT_INTERVAL * self.clients.len() as u32).await;
        let (mut last, mut unchanged, mut waited) = ((0, 0, 0), Duration::ZERO, Duration::ZERO);
        while unchanged < SETTLE_TIME {
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
            assert!(waited < CROWD_TIME, "the crowd does not settle");
            let state = (self.written.get(), self.finished.get(), waiting_bytes(self.address));
            unchanged = if state == last { unchanged + POLL_INTERVAL } else { Duration::ZERO };
            last = state;
        }
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

/// Returns the head of a request whose body is described by `framing`, a header line.
pub(crate) fn request_head(path: &str, id: usize, framing: &str) -> Bytes {
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nattempt-id: crowd-{id}\r\n\
         deadline-ms: 120000\r\nauthorization: Token k1\r\n{framing}\r\n\r\n"
    );
    Bytes::from(text)
}

/// Writes a text on a new connection. Errors mean that the router closed the connection, which it may.
async fn write_text(
    address: SocketAddr,
    text: Vec<Bytes>,
    pace: WritePace,
    written: &Cell<usize>,
) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    // A client that does not read: little of the answer fits its buffer.
    socket.set_recv_buffer_size(4096).ok()?;
    let mut stream = socket.connect(address).await.ok()?;
    for mut bytes in text {
        while !bytes.is_empty() {
            let piece = match pace {
                WritePace::Whole => bytes.split_to(bytes.len().min(64 * 1024)),
                WritePace::Pieces(length) => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    bytes.split_to(bytes.len().min(length))
                }
            };
            stream.write_all(&piece).await.ok()?;
            written.set(written.get() + piece.len());
        }
    }
    Some(stream)
}
