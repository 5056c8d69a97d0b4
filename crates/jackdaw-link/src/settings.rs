//! Limits and times of links.

use std::time::Duration;

/// Limits and times of every link of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct LinkSettings {
    /// The time in which TLS and greetings must be finished.
    pub handshake_timeout: Duration,
    /// The most handshakes that may be in progress; further ones are refused.
    pub handshake_limit: usize,
    /// The silence after which an idle link counts as lost.
    pub idle_timeout: Duration,
    /// The silence after which a keep-alive is sent on an idle link.
    pub keep_alive: Duration,
    /// The silence after which a link in use is probed.
    pub watch_interval: Duration,
    /// The time in which such a probe must bring any sign of life.
    pub probe_timeout: Duration,
    /// The most control messages that may wait to be sent on one link.
    pub send_queue: usize,
    /// The most control messages that may wait for [`crate::PeerLink::receive`].
    pub receive_queue: usize,
    /// The most run streams that a peer may have open.
    pub run_streams: u32,
    /// The most bytes of one encoded message.
    pub frame_limit_bytes: usize,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings {
            handshake_timeout: Duration::from_secs(3),
            handshake_limit: 512,
            idle_timeout: Duration::from_secs(45),
            keep_alive: Duration::from_secs(15),
            watch_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_secs(1),
            send_queue: 8192,
            receive_queue: 1024,
            run_streams: 1024,
            frame_limit_bytes: 17 * 1024 * 1024,
        }
    }
}
