//! Malformed or forbidden input is rejected with a specific error and has no effect.

use jackdaw_base::{ServiceKind, VmId};
use jackdaw_link::{
    FleetAuthority, FleetIdentity, LinkEndpoint, LinkGreeting, LinkSettings, MESSAGE_VERSION,
    ProcessRole,
};
use jackdaw_proofs::fleet::{ENGINE_SERVICE, PLAIN_SERVICE, wait_agents};
use jackdaw_proofs::{CallerClient, OperatorClient, ProcessFleet};
use jackdaw_standin::{EngineSettings, EngineStandin, ServiceSettings, ServiceStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CUSTOMER: &str = "delegados";

/// Size of a body in bytes, over the limit of four megabytes.
const OVERSIZE_BYTES: usize = 5 << 20;

/// Invalid request with the status and the error kind of its response.
struct BadCall {
    method: hyper::Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    kind: &'static str,
}

fn post(path: &'static str, body: &str, status: u16, kind: &'static str) -> BadCall {
    let method = hyper::Method::POST;
    BadCall { method, path, headers: &[], body: body.to_owned(), status, kind }
}

fn bad_calls() -> Vec<BadCall> {
    let path = "/v1/completions";
    let complete = r#"{"model":"asistente","prompt":"x"}"#;
    let mut calls = vec![
        post(path, "{", 400, "malformed"),
        post(path, "[1]", 400, "malformed"),
        post(path, r#"{"model":"asistente"}"#, 400, "malformed"),
        post(path, r#"{"model":"asistente","prompt":"x","max_tokens":-1}"#, 400, "malformed"),
        post(path, r#"{"model":"unknown","prompt":"x"}"#, 404, "not-found"),
        post("/nowhere", "{}", 400, "idempotency-key-required"),
        post("/cobranza/payments", "{}", 400, "idempotency-key-required"),
        post(path, &"x".repeat(OVERSIZE_BYTES), 413, "too-large"),
        post(path, complete, 400, "malformed"),
        post("/cobranza/payments", "{}", 400, "idempotency-key-required"),
    ];
    let count = calls.len();
    calls[count - 2].headers = &[("x-request-deadline-ms", "soon")];
    calls[count - 1].headers = &[("idempotency-key", "not-a-uuid")];
    calls.push(BadCall {
        method: hyper::Method::GET,
        path,
        headers: &[],
        body: String::new(),
        status: 405,
        kind: "method-not-allowed",
    });
    calls
}

#[actix_rt::test]
async fn bad_calls_refused() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let service = ServiceStandin::bind(ServiceSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let _agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    let _plain = fleet.spawn_agent("p-1", PLAIN_SERVICE, ServiceKind::Plain, service.address());
    wait_agents(&router, 2).await;
    let operator = OperatorClient::open(&router);
    let before = operator.status().await.expect("router returns its status");
    let callers = router.address("callers");
    let caller = CallerClient::open(callers, CUSTOMER);
    for call in bad_calls() {
        let name = format!("{} {} {:.60}", call.method, call.path, call.body);
        let answer = caller.call(call.method, call.path, call.headers, call.body).await;
        let answer = answer.unwrap_or_else(|| panic!("no answer to {name}"));
        assert_eq!(answer.status, call.status, "{name}: {answer:?}");
        assert_eq!(answer.content_type, "application/problem+json", "{name}");
        assert_eq!(answer.outcome().as_deref(), Some("not-run"), "{name}");
        assert!(answer.body.contains(call.kind), "{name}: {answer:?}");
    }
    let unknown_caller = CallerClient::with_key(callers, "unknown-key");
    let answer = unknown_caller.complete("x", 5).await.expect("caller gets an answer");
    assert_eq!((answer.status, answer.outcome().as_deref()), (401, Some("not-run")));
    for text in ["garbage\r\n\r\n", "POST / HTTP/1.1\r\ncontent-length: many\r\n\r\n"] {
        let mut stream = TcpStream::connect(callers).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
    }
    assert_eq!(operator.status().await, Some(before));
    assert!(engine.tally().arrivals.is_empty());
    assert!(service.tally().recordings.is_empty() && service.tally().reads == 0);
    let answer = caller.complete("still served", 5).await.expect("caller gets an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// A process whose certificate is from another authority cannot open a link.
#[actix_rt::test]
async fn foreign_certificates_refused() {
    let mut fleet = ProcessFleet::spawn(&[(CUSTOMER, 1)]).await;
    let engine = EngineStandin::bind(EngineSettings::default()).unwrap();
    let router = fleet.spawn_router("router-1");
    let agent = fleet.spawn_agent("a-1", ENGINE_SERVICE, ServiceKind::Engine, engine.address());
    wait_agents(&router, 1).await;
    let before = OperatorClient::open(&router).status().await;
    let foreign = FleetAuthority::generate(1).unwrap();
    let keys = foreign.issue("router-9", ProcessRole::Router, 1).unwrap();
    // It trusts the authority of the fleet, so only the other end can refuse the link.
    let authority = fleet.authority_pem();
    let identity = FleetIdentity::from_pem(authority, &keys.certificate_pem, &keys.key_pem);
    let greeting = LinkGreeting {
        version: MESSAGE_VERSION,
        vm: VmId::from_name("router-9"),
        incarnation: jackdaw_base::ProcessIncarnation::random(),
        role: ProcessRole::Router,
        service: None,
    };
    let endpoint = LinkEndpoint::bind(
        std::net::SocketAddr::from(([127, 0, 0, 1], 0)),
        &identity.unwrap(),
        greeting,
        LinkSettings::default(),
    )
    .unwrap();
    for (process, name) in [(&agent, "a-1"), (&router, "router-1")] {
        let dialled = endpoint.dial(process.address("link"), VmId::from_name(name)).await;
        assert!(dialled.is_err(), "{name} accepted a link from another fleet");
    }
    assert_eq!(OperatorClient::open(&router).status().await, before);
    let state = OperatorClient::open(&agent).dump().await.expect("agent returns its dump");
    assert_eq!(state["routers"].as_array().map(Vec::len), Some(1), "{state}");
}
