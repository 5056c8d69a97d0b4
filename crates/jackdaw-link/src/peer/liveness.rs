//! Detection of links that have gone silent while data is expected from the peer.
//!
//! Frequent keep-alives on every link would cost more than all other control traffic of a large
//! fleet. Therefore idle links send keep-alives rarely, and only links in use are checked: if this
//! end has sent datagrams or waits for a response and receives no datagram during an interval, it
//! sends a probe, and it closes the link if no datagram follows the probe either.

use std::sync::Arc;

use bytes::Bytes;
use quinn::{Connection, ConnectionError};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{CLOSE_NORMAL, LinkCounters};
use crate::dial_pool::DialPool;
use crate::frame::encode_frame;
use crate::{ControlMessage, LinkSettings};

/// Number of a liveness probe; no caller waits for the reply to this number.
const LIVENESS_PROBE: u64 = 0;

/// Task that detects that one link has gone silent.
pub(super) struct LivenessMonitor {
    pub(super) connection: Connection,
    pub(super) outgoing: mpsc::Sender<Bytes>,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) settings: LinkSettings,
    /// Pool that the link was opened from; `None` if the peer opened it.
    pub(super) pool: Option<Arc<DialPool>>,
}

impl LivenessMonitor {
    /// Checks the link until it is closed.
    pub(super) async fn run(self) {
        let (mut sent, mut received) = self.datagrams();
        loop {
            tokio::select! {
                error = self.connection.closed() => return self.handle_close(&error),
                () = self.wait_for_check() => {}
            }
            let (sent_now, received_now) = self.datagrams();
            let is_waiting = self.counters.open_runs() > 0 || sent_now > sent;
            if is_waiting && received_now == received && self.is_silent(received).await {
                log::warn!(
                    "closing link to {}: nothing was received after a probe",
                    self.connection.remote_address()
                );
                self.connection.close(CLOSE_NORMAL, b"silent");
                self.rotate_socket();
                return;
            }
            (sent, received) = self.datagrams();
        }
    }

    /// Waits until the link is in use, then for one check interval.
    async fn wait_for_check(&self) {
        self.counters.wait_active().await;
        sleep(self.settings.liveness_interval).await;
    }

    fn handle_close(&self, error: &ConnectionError) {
        if *error == ConnectionError::TimedOut {
            self.rotate_socket();
        }
    }

    /// Sends a probe and returns whether no datagram has arrived within the probe timeout.
    async fn is_silent(&self, received: u64) -> bool {
        let probe = ControlMessage::Probe(LIVENESS_PROBE);
        if let Ok(frame) = encode_frame(&probe, self.settings.frame_limit_bytes) {
            // No probe is needed if the queue is full: the queued messages are sent instead.
            let _ = self.outgoing.try_send(frame);
        }
        sleep(self.settings.probe_timeout).await;
        self.datagrams().1 == received
    }

    /// Returns the number of datagrams sent and received.
    fn datagrams(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.datagrams, stats.udp_rx.datagrams)
    }

    fn rotate_socket(&self) {
        if let Some(pool) = &self.pool {
            pool.rotate();
        }
    }
}
