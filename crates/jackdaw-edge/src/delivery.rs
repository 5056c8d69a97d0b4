//! Counts the responses that are on their way to callers.
//!
//! A response is on its way until the socket has taken it, which for a caller that reads slowly may be
//! long after it is complete.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::response_relay::{RelayError, ResponseBody};
use crate::socket_progress::{HeldDelivery, SocketProgress};

/// Number of requests that were read and whose responses have not been written completely. Clones count
/// the same ones.
#[derive(Debug, Clone, Default)]
pub struct DeliveryCount {
    count: Arc<AtomicUsize>,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct DeliveryGuard {
    counts: [DeliveryCount; 2],
}

/// A response body that counts until the socket has taken the end of the response, however it ends.
pub struct DeliveredBody {
    content: ResponseBody,
    /// Handed to `progress` with the end of the body.
    guard: Option<DeliveryGuard>,
    progress: Rc<SocketProgress>,
}

impl DeliveryCount {
    /// Returns the number of requests.
    pub fn get(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl DeliveryGuard {
    /// Counts a request of a connection and of the whole process.
    pub fn new(connection: &DeliveryCount, process: &DeliveryCount) -> DeliveryGuard {
        let counts = [connection.clone(), process.clone()];
        for delivery in &counts {
            delivery.count.fetch_add(1, Ordering::Relaxed);
        }
        DeliveryGuard { counts }
    }
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        for delivery in &self.counts {
            delivery.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl DeliveredBody {
    /// Wraps the body of a response on a connection with this progress.
    pub fn new(
        content: ResponseBody,
        guard: DeliveryGuard,
        progress: &Rc<SocketProgress>,
    ) -> DeliveredBody {
        DeliveredBody { content, guard: Some(guard), progress: Rc::clone(progress) }
    }
}

impl Drop for DeliveredBody {
    /// The HTTP server drops a body once it has taken its last bytes, and may hold these for long.
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.progress.hold(HeldDelivery::new(guard, self.content.take_watchdog()));
        }
    }
}

impl Body for DeliveredBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.content).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
