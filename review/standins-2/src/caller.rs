//! Stand-in of a caller.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_chunk, read_head};

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline: Duration,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub sent: Instant,
    /// 0 if the connection ended before a head.
    pub status: u16,
    pub is_sealed: bool,
    pub body: String,
    /// Whether the body ended as a complete one does.
    pub is_complete: bool,
}

/// Host that all callers name.
pub const HOST: &str = "ficu95.example";
/// Key that all callers send.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Sends a request on a connection of its own and reads the answer.
pub fn send(address: SocketAddr, call: &Call<'_>) -> Answer {
    send_until(address, call, u64::MAX)
}

/// As [`send`], but closes the connection after this number of chunks.
pub fn send_until(address: SocketAddr, call: &Call<'_>, chunks: u64) -> Answer {
    let sent = Instant::now();
    let mut answer =
        Answer { sent, status: 0, is_sealed: false, body: String::new(), is_complete: false };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let Call { method, path, attempt, deadline, headers, body } = call;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {}\r\n\
        Authorization: Token {KEY}\r\nContent-Length: {}\r\n",
        deadline.as_millis(),
        body.len()
    );
    for (name, value) in *headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("\r\n{body}"));
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(*deadline));
    if stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return answer;
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.is_sealed = head.get("response-seal").is_some();
    let mut bytes = Vec::new();
    if head.get("transfer-encoding").is_some() {
        for _ in 0..chunks {
            match read_chunk(&mut reader) {
                Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
                Ok(None) => {
                    answer.is_complete = true;
                    break;
                }
                Err(_) => break,
            }
        }
    } else if let Some(length) = head.get("content-length").and_then(|text| text.parse().ok()) {
        bytes = vec![0; length];
        answer.is_complete = reader.read_exact(&mut bytes).is_ok();
    }
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    answer
}

impl Answer {
    /// Returns whether the caller got an engine's complete success.
    pub fn is_served(&self) -> bool {
        (200..300).contains(&self.status) && self.is_sealed && self.is_complete
    }
}

/// Returns a config with a route of kind `unsafe` to a plain service.
pub fn plain_config() -> String {
    plain_config_of(7, "wuno96b")
}

/// Returns a version of that config with a route to the service named.
pub fn plain_config_of(version: u64, service: &str) -> String {
    large_config_of(version, service, 0)
}

/// As [`plain_config_of`], with a number of routes more.
pub fn large_config_of(version: u64, service: &str, routes: usize) -> String {
    // Routes as long as the longest that `fleetbench wire` shows.
    let route = |number: usize| {
        format!(
            ",{{\"name\":\"r-{number:07}\",\"host\":\"{HOST}\",\"path_prefix\":\"/m{number:06}/\",\
            \"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":1,\
            \"split\":[{{\"service\":\"wuno96b\",\"weight\":90}},\
            {{\"service\":\"nimo40c\",\"weight\":10}}],\"max_attempts\":1,\"public\":false,\
            \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}"
        )
    };
    let more: String = (0..routes).map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-3j6q5rm\",\"host\":\"{HOST}\",\
        \"path_prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\
        \"target_latency_ms\":100,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":1,\
        \"public\":false,\"sticky\":false,\"resumable\":false}}{more}],\
        \"services\":[{{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_conns\":220,\
        \"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"nimo40c\",\"health_path\":\"/health\",\
        \"max_conns\":220,\"protocol\":\"h1\",\"tls\":false}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
        \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":630000}},\
        \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Returns a config with a route of resumable streams.
pub fn stream_config(max_attempts: u32) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-mvtdhbj\",\"host\":\"{HOST}\",\
        \"path_prefix\":\"/pufi791/\",\"kind\":\"streaming\",\"timeout_ms\":12000,\
        \"target_latency_ms\":300,\"priority\":1,\"service\":\"huvo11a\",\"max_attempts\":{max_attempts},\
        \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":300}}],\
        \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_conns\":740,\
        \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity_tokens\":702649,\
        \"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
        \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":630000}},\
        \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}
