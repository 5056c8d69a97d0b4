//! A stream breaks off, and the next target answers with an error or with the head of one.

use std::net::SocketAddr;
use std::time::Duration;

use jackdaw_base::ServiceKind;
use jackdaw_proofs::fleet::{ENGINE_SERVICE, wait_agents};
use jackdaw_proofs::{CallerClient, ProcessFleet};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CUSTOMER: &str = "delegados";

/// Head of a stream and its first events, in one chunk that lacks its end.
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\nff\r\ndata: a\n\ndata: b\n\ndata: c";

/// Time between the last bytes of an answer and the end of its connection.
const EVENT_TIME: Duration = Duration::from_millis(50);

/// Events that a stream has before it breaks off.
const EVENTS: &str = "data: a\n\ndata: b\n\n";

/// Answers to requests that go on with a stream.
const ANSWERS: [&str; 10] = [
    "HTTP/1.1 500 Status\r\ncontent-type: application/json\r\ncontent-length: 18\r\n\r\n{\"error\":\"failed\"}",
    "HTTP/1.1 502 Status\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
    "HTTP/1.1 404 Status\r\nconnection: close\r\n\r\nfailed",
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 18\r\n\r\n{\"error\":\"failed\"}",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 206 Status\r\ncontent-type: text/event-stream\r\ncontent-length: 23\r\n\r\ndata: c\n\ndata: [DONE]\n\n",
    "HTTP/1.1 503 Status\r\ncontent-type: text/event-stream\r\ncontent-length: 28\r\n\r\ndata: failed\n\ndata: [DONE]\n\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 8\r\n\r\nfailed\n\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/ev",
];

/// Starts an engine that breaks off each stream that it begins, and answers requests that go on with one
/// with the answer whose index the prompt names.
async fn spawn_engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // An error means that the agent closed the connection.
            actix_rt::spawn(async move { drop(answer(stream).await) });
        }
    });
    address
}

async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut received = Vec::new();
    let request = loop {
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.contains("case-") && text.ends_with('}') {
            break text;
        }
    };
    let (_, case) = request.split_once("case-").expect("prompt");
    let case: String = case.chars().take_while(char::is_ascii_digit).collect();
    let answer = match request.contains("\"resume_from\"") {
        true => ANSWERS[case.parse::<usize>().expect("index")].to_owned(),
        false => BROKEN_STREAM.to_owned(),
    };
    stream.write_all(answer.as_bytes()).await?;
    // The caller gets the events before the stream breaks off.
    actix_rt::time::sleep(EVENT_TIME).await;
    stream.shutdown().await
}

/// The text of the error was sent as part of the stream, which then ended as if it were complete.
#[actix_rt::test]
async fn error_after_a_break() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let router = fleet.spawn_router("router-1");
    let mut agents = Vec::new();
    for name in ["a-1", "a-2", "a-3"] {
        let engine = spawn_engine().await;
        agents.push(fleet.spawn_agent(name, ENGINE_SERVICE, ServiceKind::Engine, engine));
    }
    wait_agents(&router, 3).await;
    let caller = CallerClient::open(router.address("callers"), CUSTOMER);
    for (case, text) in ANSWERS.iter().enumerate() {
        let answer = caller.complete(&format!("case-{case}"), 10).await.expect("answer");
        assert_eq!(answer.status, 200, "{text}");
        assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, false), "{text}");
    }
}
