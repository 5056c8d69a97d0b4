//! Finds links that have gone silent while something is expected of them.
//!
//! Frequent keep-alives on every link would cost more than all other control traffic of a
//! large fleet. So an idle link has rare ones, and a link in use is watched: where this end has
//! sent something or waits for an answer and nothing at all arrives, it sends a probe, and ends
//! the link if that goes unanswered too.

use std::sync::Arc;

use bytes::Bytes;
use quinn::{Connection, ConnectionError};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{LinkCounters, ORDINARY};
use crate::dial_pool::DialPool;
use crate::frame::encode_frame;
use crate::{ControlMessage, LinkSettings};

/// Number of a probe whose answer nobody waits for.
const SILENCE_PROBE: u64 = 0;

/// Watches one link.
pub(super) struct SilenceWatch {
    pub(super) connection: Connection,
    pub(super) outgoing: mpsc::Sender<Bytes>,
    pub(super) counters: Arc<LinkCounters>,
    pub(super) settings: LinkSettings,
    /// The pool that the link was opened from; `None` where the peer opened it.
    pub(super) pool: Option<Arc<DialPool>>,
}

impl SilenceWatch {
    /// Watches until the link ends.
    pub(super) async fn run(self) {
        let (mut sent, mut received) = self.datagrams();
        loop {
            tokio::select! {
                error = self.connection.closed() => return self.note_end(&error),
                () = self.wait_interval() => {}
            }
            let (sent_now, received_now) = self.datagrams();
            let is_waiting = self.counters.open_runs() > 0 || sent_now > sent;
            if is_waiting && received_now == received && self.is_silent(received).await {
                log::warn!("link to {} is silent", self.connection.remote_address());
                self.connection.close(ORDINARY, b"silent");
                self.renew_pool();
                return;
            }
            (sent, received) = self.datagrams();
        }
    }

    /// Waits until the link is used, and then for one interval.
    async fn wait_interval(&self) {
        self.counters.used().await;
        sleep(self.settings.watch_interval).await;
    }

    fn note_end(&self, error: &ConnectionError) {
        if *error == ConnectionError::TimedOut {
            self.renew_pool();
        }
    }

    /// Sends a probe and returns whether nothing has arrived by the end of its time.
    async fn is_silent(&self, received: u64) -> bool {
        let probe = ControlMessage::Probe(SILENCE_PROBE);
        if let Ok(frame) = encode_frame(&probe, self.settings.frame_limit_bytes) {
            // A full queue is as good as a probe: this end is sending.
            let _ = self.outgoing.try_send(frame);
        }
        sleep(self.settings.probe_timeout).await;
        self.datagrams().1 == received
    }

    /// Returns the datagrams sent and received.
    fn datagrams(&self) -> (u64, u64) {
        let stats = self.connection.stats();
        (stats.udp_tx.datagrams, stats.udp_rx.datagrams)
    }

    fn renew_pool(&self) {
        if let Some(pool) = &self.pool {
            pool.renew();
        }
    }
}
