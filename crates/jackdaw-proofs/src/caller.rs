//! A caller of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use bytes::BytesMut;
use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::fleet::{ENGINE_SERVICE, customer_key};

/// The longest time that a caller waits for the head of an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The seconds after which to come back, where the answer says so.
    pub retry_after: Option<u64>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the body ended as HTTP says it must.
    pub is_whole: bool,
}

/// A caller of one router on behalf of one customer.
pub struct CallerClient {
    /// The router.
    address: SocketAddr,
    /// The customer's key.
    key: String,
    /// The connections.
    client: Client,
}

impl CallerClient {
    /// Creates a caller for a customer.
    pub fn open(address: SocketAddr, customer: &str) -> CallerClient {
        CallerClient::with_key(address, &customer_key(customer))
    }

    /// Creates a caller that shows a given key.
    pub fn with_key(address: SocketAddr, key: &str) -> CallerClient {
        let client = Client::builder().timeout(CALL_TIMEOUT).finish();
        CallerClient { address, key: key.to_owned(), client }
    }

    /// Asks for a streamed completion.
    pub async fn complete(&self, prompt: &str, max_tokens: u32) -> Option<CallerAnswer> {
        let body = json!({
            "model": ENGINE_SERVICE,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
            "user": self.key,
        });
        let headers = [("content-type", "application/json")];
        self.call(Method::POST, "/v1/completions", &headers, body.to_string()).await
    }

    /// Sends a recording under an idempotency key.
    pub async fn record(&self, path: &str, key: &str, body: &str) -> Option<CallerAnswer> {
        self.call(Method::POST, path, &[("idempotency-key", key)], body.to_owned()).await
    }

    /// Reads from a plain service.
    pub async fn read(&self, path: &str) -> Option<CallerAnswer> {
        self.call(Method::GET, path, &[], String::new()).await
    }

    /// Sends a request; `None` where no head of an answer came.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<CallerAnswer> {
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url).bearer_auth(&self.key);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body).await.ok()?;
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let mut bytes = BytesMut::new();
        let mut is_whole = true;
        while let Some(part) = response.next().await {
            match part {
                Ok(part) => bytes.extend_from_slice(&part),
                Err(_) => is_whole = false,
            }
            if !is_whole {
                break;
            }
        }
        Some(CallerAnswer {
            status: response.status().as_u16(),
            retry_after,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_whole,
        })
    }
}

impl CallerAnswer {
    /// Returns the tokens of a streamed completion, or `None` where it is not whole.
    pub fn tokens(&self) -> Option<Vec<String>> {
        if !self.is_whole || !self.body.ends_with("data: [DONE]\n\n") {
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

    /// Returns the outcome that a problem document states.
    pub fn outcome(&self) -> Option<String> {
        let document: Value = serde_json::from_str(&self.body).ok()?;
        document["outcome"].as_str().map(str::to_owned)
    }
}
