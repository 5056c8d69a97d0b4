//! HTTP client that sends requests to a router as a caller.
//!
//! It uses `hyper`, since `awc` does not distinguish a truncated body from a complete one.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

use crate::fleet::{ENGINE_SERVICE, customer_key};

/// Response to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header; empty if it is missing.
    pub content_type: String,
    /// Value of the `retry-after` header in seconds, if present.
    pub retry_after: Option<u64>,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the body ended according to its HTTP framing.
    pub is_complete: bool,
}

/// Client of one router that authenticates as one customer.
pub struct CallerClient {
    /// Address of the router for callers.
    address: SocketAddr,
    /// API key sent as a bearer token.
    key: String,
}

impl CallerClient {
    /// Creates a client that sends the key of a customer.
    pub fn open(address: SocketAddr, customer: &str) -> CallerClient {
        CallerClient::with_key(address, &customer_key(customer))
    }

    /// Creates a client that sends a given key.
    pub fn with_key(address: SocketAddr, key: &str) -> CallerClient {
        CallerClient { address, key: key.to_owned() }
    }

    /// Requests a streamed completion.
    pub async fn complete(&self, prompt: &str, max_tokens: u32) -> Option<CallerAnswer> {
        self.send_prompt(prompt, max_tokens, true).await
    }

    /// Requests a completion in a single response body.
    pub async fn complete_unstreamed(&self, prompt: &str, max_tokens: u32) -> Option<CallerAnswer> {
        self.send_prompt(prompt, max_tokens, false).await
    }

    async fn send_prompt(
        &self,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Option<CallerAnswer> {
        let body = json!({
            "model": ENGINE_SERVICE,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
            "user": self.key,
        });
        let headers = [("content-type", "application/json")];
        self.call(Method::POST, "/v1/completions", &headers, body.to_string()).await
    }

    /// Sends a recording with an idempotency key.
    pub async fn record(&self, path: &str, key: &str, body: &str) -> Option<CallerAnswer> {
        self.call(Method::POST, path, &[("idempotency-key", key)], body.to_owned()).await
    }

    /// Reads from a plain service.
    pub async fn read(&self, path: &str) -> Option<CallerAnswer> {
        self.call(Method::GET, path, &[], String::new()).await
    }

    /// Sends a request on a new connection. Returns `None` if no response head arrives.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<CallerAnswer> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        // Connection errors are seen where the response is read.
        let connection = actix_rt::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body))).expect("request is well-formed");
        let response = sender.send_request(request).await.ok()?;
        let answer = read_answer(response).await;
        connection.abort();
        Some(answer)
    }
}

async fn read_answer(mut response: Response<Incoming>) -> CallerAnswer {
    let status = response.status().as_u16();
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let retry_after = header("retry-after").and_then(|value| value.parse().ok());
    let content_type = header("content-type").unwrap_or_default();
    let mut bytes = BytesMut::new();
    let mut is_complete = true;
    while let Some(part) = response.body_mut().frame().await {
        let Ok(frame) = part else {
            is_complete = false;
            break;
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
    let body = String::from_utf8_lossy(&bytes).into_owned();
    CallerAnswer { status, retry_after, content_type, body, is_complete }
}

impl CallerAnswer {
    /// Returns the tokens of a streamed completion, or `None` if it is incomplete.
    pub fn tokens(&self) -> Option<Vec<String>> {
        if !self.is_complete || !self.body.ends_with("data: [DONE]\n\n") {
            return None;
        }
        let mut tokens = Vec::new();
        for line in self.body.lines() {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            let Ok(event) = serde_json::from_str::<Value>(data) else { continue };
            if let Some(text) = event["choices"][0]["text"].as_str()
                && !text.is_empty()
            {
                tokens.push(text.to_owned());
            }
        }
        Some(tokens)
    }

    /// Returns the outcome stated in a problem document, or `None` for any other body.
    pub fn outcome(&self) -> Option<String> {
        let document: Value = serde_json::from_str(&self.body).ok()?;
        document["outcome"].as_str().map(str::to_owned)
    }
}
