//! Counts the responses that are on their way to callers.
//!
//! A response is on its way until the socket has taken it, which for a caller that reads slowly may be
//! long after it is complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

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

/// A body that counts until the last of its bytes is dropped.
struct DeliveredBody {
    bytes: Bytes,
    _guard: DeliveryGuard,
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

    /// Returns the same bytes, which count until they have been written.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(DeliveredBody { bytes, _guard: self })
    }
}

impl Drop for DeliveryGuard {
    fn drop(&mut self) {
        for delivery in &self.counts {
            delivery.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl AsRef<[u8]> for DeliveredBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
