//! Outcomes of complete, mismatched, truncated, rejected and missing answers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use jackdaw_demo::client::{CallOutcome, CallerClient, CompletionCall, ServiceCall};
use jackdaw_standin::service::TRUNCATION_MARKER;
use jackdaw_standin::{
    EngineSettings, EngineStandin, ServiceSettings, ServiceStandin, expected_answer, expected_reply,
};
use serde_json::json;

/// Starts a server that returns the same response to every request.
fn bind_fixed(status: u16, body: String) -> SocketAddr {
    let server = HttpServer::new(move || {
        let body = body.clone();
        App::new().default_service(web::to(move || {
            let body = body.clone();
            async move {
                let status = actix_web::http::StatusCode::from_u16(status).unwrap();
                HttpResponse::build(status).insert_header(("Retry-After", "3")).body(body)
            }
        }))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    address
}

/// Returns a completion whose answer is long enough to be truncated.
fn completion() -> CompletionCall {
    CompletionCall {
        model: "m".to_owned(),
        prompt: "[[draft]] of member 9".to_owned(),
        max_tokens: 40,
        user: "ana".to_owned(),
        deadline: Duration::from_secs(5),
    }
}

/// Returns the body of a streamed answer: one event per token, followed by `done`.
fn stream(tokens: &[String], done: &str) -> String {
    let mut body = String::new();
    for token in tokens {
        body.push_str(&format!("data: {}\n\n", json!({"choices": [{"text": token}]})));
    }
    body.push_str(done);
    body
}

/// Sends the completion to a server with a fixed response and returns its outcome.
async fn completion_outcome(status: u16, body: String) -> CallOutcome {
    let address = bind_fixed(status, body);
    CallerClient::new().complete(address, "key", &completion()).await.outcome
}

#[actix_web::test]
async fn complete_answer() {
    let settings = EngineSettings { step_base: Duration::from_millis(1), ..Default::default() };
    let engine = EngineStandin::bind(settings).unwrap();
    let result = CallerClient::new().complete(engine.address(), "key", &completion()).await;
    assert_eq!(result.outcome, CallOutcome::Answered);
    assert!(result.first_byte < result.total);
    engine.close().await;
}

#[actix_web::test]
async fn wrong_streams() {
    let call = completion();
    let own = expected_answer(&call.prompt, call.max_tokens);
    let other = expected_answer("[[draft]] of member 10", call.max_tokens);
    let done = "data: [DONE]\n\n";
    assert_eq!(completion_outcome(200, stream(&own, done)).await, CallOutcome::Answered);
    assert_eq!(completion_outcome(200, stream(&other, done)).await, CallOutcome::Crossed);
    assert_eq!(completion_outcome(200, stream(&own[1..], done)).await, CallOutcome::Crossed);
    assert_eq!(completion_outcome(200, stream(&own[..5], done)).await, CallOutcome::Truncated);
    assert_eq!(completion_outcome(200, stream(&own, "")).await, CallOutcome::Truncated);
    let error = "event: error\ndata: {\"outcome\":\"unknown\"}\n\n";
    assert_eq!(completion_outcome(200, stream(&own[..5], error)).await, CallOutcome::Unknown);
}

#[actix_web::test]
async fn stated_outcomes() {
    let not_run = json!({"outcome": "not-run"}).to_string();
    let retry_after = Duration::from_secs(3);
    assert_eq!(completion_outcome(503, not_run).await, CallOutcome::NotRun { retry_after });
    assert_eq!(
        completion_outcome(502, json!({"outcome": "unknown"}).to_string()).await,
        CallOutcome::Unknown
    );
}

#[actix_web::test]
async fn missing_answer() {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = CallerClient::new().complete(address, "key", &completion()).await;
    assert_eq!(result.outcome, CallOutcome::Lost);
}

#[actix_web::test]
async fn service_bodies() {
    let call = ServiceCall {
        path: "/dues/7".to_owned(),
        idempotency_key: Some("k".to_owned()),
        body: String::new(),
        expected: "recorded".to_owned(),
        deadline: Duration::from_secs(5),
    };
    let cases = [
        ("recorded", CallOutcome::Answered),
        ("rec", CallOutcome::Truncated),
        ("other", CallOutcome::Crossed),
    ];
    for (body, outcome) in cases {
        let address = bind_fixed(200, body.to_owned());
        let result = CallerClient::new().call_service(address, "key", &call).await;
        assert_eq!(result.outcome, outcome, "{body}");
    }
}

#[actix_web::test]
async fn cut_body() {
    let service = ServiceStandin::bind(ServiceSettings::default()).unwrap();
    let path = format!("/{TRUNCATION_MARKER}/7");
    let call = ServiceCall {
        expected: expected_reply("GET", &path, b""),
        path,
        idempotency_key: None,
        body: String::new(),
        deadline: Duration::from_secs(5),
    };
    let result = CallerClient::new().call_service(service.address(), "key", &call).await;
    assert_eq!(result.outcome, CallOutcome::Unknown);
    service.close().await;
}
