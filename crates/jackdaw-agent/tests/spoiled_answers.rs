//! Answers of a target in trouble that must not be forwarded as if they were complete.

use bytes::Bytes;
use futures_util::StreamExt;
use jackdaw_agent::target_client::{TargetClient, TargetFailure};
use jackdaw_base::{OfferId, ProcessIncarnation, RequestId, ServiceKind};
use jackdaw_link::RunRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Size of an upload that sockets do not buffer.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Uploads, since the end of an answer races with the upload.
const UPLOADS: usize = 20;

fn run_request(body: Bytes) -> RunRequest {
    let request = RequestId { router: ProcessIncarnation(1), sequence: 1 };
    RunRequest {
        offer: OfferId { request, attempt: 0 },
        method: "POST".to_owned(),
        path: "/payments".to_owned(),
        headers: Vec::new(),
        idempotency_key: None,
        fingerprint: 1,
        resume_from: 0,
        body,
    }
}

/// Starts a target that reads the head of one request, sends `answer` and resets the connection.
async fn spawn_target(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 1024];
        assert_ne!(stream.read(&mut received).await.unwrap(), 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
        // Unread bytes of the request make the close a reset.
    });
    url
}

/// A target may answer before it has read a long body. The answer has no length, so the reset that ends it
/// is the only sign that it is not complete.
#[actix_rt::test]
async fn reset_during_an_upload() {
    for _ in 0..UPLOADS {
        let url = spawn_target("HTTP/1.1 200 OK\r\n\r\npart of ").await;
        let client = TargetClient::new(&url, ServiceKind::Plain);
        let request = run_request(Bytes::from(vec![b'x'; UPLOAD_BYTES]));
        match client.send(&request).await {
            Err(failure) => assert!(matches!(failure, TargetFailure::Lost(_))),
            Ok(mut response) => {
                let mut has_failed = false;
                while let Some(chunk) = response.body.next().await {
                    has_failed |= chunk.is_err();
                }
                assert!(has_failed, "the body ended without an error");
            }
        }
    }
}

/// A status that does not exist, or announces another protocol, answers nothing.
#[actix_rt::test]
async fn invalid_status() {
    for answer in [
        "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 099 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 101 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 999 OK\r\ncontent-length: 4\r\n\r\ndone",
    ] {
        let url = spawn_target(answer).await;
        let client = TargetClient::new(&url, ServiceKind::Plain);
        let failure = client.send(&run_request(Bytes::from_static(b"12.50"))).await.err();
        assert!(matches!(failure, Some(TargetFailure::Lost(_))), "{answer}");
    }
}

/// Starts a target that reads one request, sends `answer` and closes the connection.
async fn spawn_closing_target(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"12.50") {
            assert_ne!(stream.read_buf(&mut received).await.unwrap(), 0);
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    url
}

/// Returns the body of an answer, or `None` if there is none or it broke off.
async fn read_body(answer: &str) -> Option<String> {
    let url = spawn_closing_target(answer.to_owned()).await;
    let client = TargetClient::new(&url, ServiceKind::Plain);
    let request = run_request(Bytes::from_static(b"12.50"));
    let mut response = client.send(&request).await.ok()?;
    let mut body = Vec::new();
    while let Some(chunk) = response.body.next().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(String::from_utf8(body).unwrap())
}

#[actix_rt::test]
async fn whole_answers() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    ] {
        assert_eq!(read_body(answer).await.as_deref(), Some("done"), "{answer:?}");
    }
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
    ] {
        assert_eq!(read_body(answer).await.as_deref(), Some(""), "{answer:?}");
    }
}

/// The library takes the body of an answer that ends with its connection for empty.
#[actix_rt::test]
async fn unframed_answers() {
    for head in ["connection: close\r\n", "", "content-type: text/event-stream\r\n"] {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\ndone");
        assert_eq!(read_body(&answer).await, None, "{answer:?}");
    }
}

/// An answer that a target breaks off within its head answers nothing, wherever that is.
#[actix_rt::test]
async fn cut_heads() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\r\n";
    for cut in 0..head.len() {
        assert_eq!(read_body(&head[..cut]).await, None, "cut at {cut}");
    }
}
