//! Whether a target can have seen a request that got no answer.

use bytes::Bytes;
use jackdaw_agent::target_client::{TargetClient, TargetFailure};
use jackdaw_base::{OfferId, ProcessIncarnation, RequestId, ServiceKind};
use jackdaw_link::RunRequest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn run_request() -> RunRequest {
    let request = RequestId { router: ProcessIncarnation(1), sequence: 1 };
    RunRequest {
        offer: OfferId { request, attempt: 0 },
        method: "POST".to_owned(),
        path: "/payments".to_owned(),
        headers: Vec::new(),
        idempotency_key: None,
        fingerprint: 1,
        resume_from: 0,
        body: Bytes::from_static(b"12.50"),
    }
}

/// A target that closes the connection after it read the request may have run it.
#[actix_rt::test]
async fn closed_after_reading() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let target = actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut seen = Vec::new();
        while !seen.ends_with(b"12.50") {
            assert_ne!(stream.read_buf(&mut seen).await.unwrap(), 0);
        }
    });
    let client = TargetClient::open(&url, ServiceKind::Plain);
    let failure = client.send(&run_request()).await.err().unwrap();
    target.await.unwrap();
    assert!(matches!(failure, TargetFailure::Lost(_)));
}

/// A target that takes no connection has seen nothing.
#[actix_rt::test]
async fn closed_port() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let client = TargetClient::open(&url, ServiceKind::Plain);
    let failure = client.send(&run_request()).await.err().unwrap();
    assert!(matches!(failure, TargetFailure::NotSent(_)));
}
