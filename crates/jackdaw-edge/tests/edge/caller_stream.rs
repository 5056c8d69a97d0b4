//! Detection of callers that closed their connection, by a check of the socket.

use std::net::Ipv4Addr;
use std::time::Duration;

use jackdaw_edge::caller_stream::CallerStream;
use jackdaw_edge::edge_state::EdgeState;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::{block_on, example_settings};

/// Number of checks for a closed connection before the test fails, and the pause between them.
const CHECKS: usize = 400;
const CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Opens a connection; returns the caller's end and the router's end.
async fn connected_pair() -> (TcpStream, CallerStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (caller, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let state = EdgeState::new(example_settings());
    (caller.expect("a connection"), CallerStream::new(&state, accepted.expect("a connection").0))
}

#[test]
fn waiting_caller_counts_as_connected() {
    block_on(async {
        let (mut caller, mut stream) = connected_pair().await;
        assert!(!stream.has_closed());
        caller.write_all(b"request").await.expect("sent");
        let mut bytes = [0; 7];
        stream.read_exact(&mut bytes).await.expect("read");
        assert_eq!(&bytes, b"request");
        assert!(!stream.has_closed());
        stream.write_all(b"answer").await.expect("sent");
        stream.shutdown().await.expect("closed");
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).await.expect("read");
        assert_eq!(answer, b"answer");
    });
}

/// A closed connection is detected from the socket alone, without the runtime processing events.
#[test]
fn closed_connection_is_detected() {
    block_on(async {
        let (caller, stream) = connected_pair().await;
        drop(caller);
        let detected = (0..CHECKS).any(|_| {
            std::thread::sleep(CHECK_PAUSE);
            stream.has_closed()
        });
        assert!(detected);
    });
}

#[test]
fn unread_bytes_hide_the_end() {
    block_on(async {
        let (mut caller, stream) = connected_pair().await;
        caller.write_all(b"next request").await.expect("sent");
        assert!(!stream.has_closed());
        drop(caller);
        assert!(!stream.has_closed(), "sent bytes are still unread");
    });
}
