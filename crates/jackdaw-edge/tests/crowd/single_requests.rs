//! What a single client may send is served, also on the smallest router.

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::client_crowd::request_head;
use crate::support::{BODY_LIMIT, CrowdFleet, DESCRIPTORS, run_alone};

/// Chunks of one byte of a body.
const CHUNKS: usize = 20_000;

/// Sends a request and returns the status line of its answer.
async fn status_line(fleet: &CrowdFleet, text: &[Bytes]) -> String {
    use tokio::io::AsyncWriteExt;
    let mut stream = TcpStream::connect(fleet.address).await.expect("connection");
    for bytes in text {
        stream.write_all(bytes).await.expect("request");
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("answer");
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn largest_bodies_are_served() {
    run_alone(async {
        let fleet = CrowdFleet::spawn(DESCRIPTORS).await;
        let framing = format!("content-length: {BODY_LIMIT}");
        for client in 0..5 {
            let body = Bytes::from(vec![b'x'; BODY_LIMIT]);
            let text = [request_head("/once/x", client, &framing), body];
            assert_eq!(status_line(&fleet, &text).await, "HTTP/1.1 200", "{client}");
        }
        let last = fleet.target.received_requests().pop().expect("request");
        assert_eq!(last.body.len(), BODY_LIMIT);
        let tiny = Bytes::from("1\r\nx\r\n".repeat(CHUNKS) + "0\r\n\r\n");
        let text = [request_head("/once/x", 9, "transfer-encoding: chunked"), tiny];
        assert_eq!(status_line(&fleet, &text).await, "HTTP/1.1 200");
        let last = fleet.target.received_requests().pop().expect("request");
        assert_eq!(last.body.len(), CHUNKS);
        fleet.check().await;
    });
}
