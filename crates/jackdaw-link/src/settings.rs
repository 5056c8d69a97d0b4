//! Limits and timeouts of links.

use std::time::Duration;

/// Limits and timeouts that apply to every link of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// Timeout of the handshake, which consists of TLS and the exchange of greetings.
    pub handshake_timeout: Duration,
    /// Maximum number of concurrent handshakes of accepted links; further ones are refused.
    pub handshake_limit: usize,
    /// Time without received datagrams after which an idle link is considered lost.
    pub idle_timeout: Duration,
    /// Time without datagrams after which a keep-alive is sent on an idle link.
    pub keep_alive: Duration,
    /// Interval at which a link in use is checked; it is probed if nothing arrived in between.
    pub liveness_interval: Duration,
    /// Time after such a probe within which any datagram must arrive.
    pub probe_timeout: Duration,
    /// Maximum number of control messages that may wait to be sent on one link.
    pub send_queue_limit: usize,
    /// Maximum number of control messages that may wait for [`crate::PeerLink::receive`].
    pub receive_queue_limit: usize,
    /// Maximum number of run streams that a peer may have open on one link.
    pub run_stream_limit: u32,
    /// Maximum size of one encoded message, in bytes.
    pub frame_limit_bytes: usize,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings {
            handshake_timeout: Duration::from_secs(3),
            handshake_limit: 512,
            idle_timeout: Duration::from_secs(45),
            keep_alive: Duration::from_secs(15),
            liveness_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_secs(1),
            send_queue_limit: 8192,
            receive_queue_limit: 1024,
            run_stream_limit: 1024,
            frame_limit_bytes: 17 * 1024 * 1024,
        }
    }
}
