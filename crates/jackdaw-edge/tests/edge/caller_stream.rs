//! Whether a caller has left, asked of the socket itself.

use std::net::Ipv4Addr;
use std::time::Duration;

use jackdaw_edge::caller_stream::CallerStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::support::block_on;

/// Looks after which the end of a connection counts as not noticed, and the pause between two.
const LOOKS: usize = 400;
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Returns a caller's end and the router's end of a connection.
async fn open_pair() -> (TcpStream, CallerStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (caller, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (caller.expect("a connection"), CallerStream::new(accepted.expect("a connection").0))
}

#[test]
fn waiting_caller_is_still_there() {
    block_on(async {
        let (mut caller, mut stream) = open_pair().await;
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

/// The end is seen by a look at the socket, without an event of the runtime in between.
#[test]
fn caller_that_closed_has_left() {
    block_on(async {
        let (caller, stream) = open_pair().await;
        drop(caller);
        let noticed = (0..LOOKS).any(|_| {
            std::thread::sleep(LOOK_PAUSE);
            stream.has_closed()
        });
        assert!(noticed);
    });
}

#[test]
fn unread_bytes_are_no_end() {
    block_on(async {
        let (mut caller, stream) = open_pair().await;
        caller.write_all(b"next request").await.expect("sent");
        assert!(!stream.has_closed());
        drop(caller);
        assert!(!stream.has_closed(), "what was sent is still to be read");
    });
}
