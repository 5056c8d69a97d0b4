//! Buffers response bodies and unfinished events within a budget that all requests of the router
//! share. A body takes its part of it until the caller's socket has taken the last byte.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Size limit of one body, in bytes.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Size up to which a body is buffered whatever else is, in bytes.
const FREE_BODY_BYTES: usize = 64 * 1024;

/// Budget for what all bodies take beyond [`FREE_BODY_BYTES`], unless the settings lead to another one: a
/// sixth of the smallest VM known.
const BUFFER_BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Budget for bodies that are buffered.
#[derive(Debug)]
pub struct BodyBuffer {
    budget: AtomicUsize,
    used_bytes: Arc<AtomicUsize>,
}

/// Why a body was not buffered completely.
#[derive(Debug)]
pub enum BufferError<E> {
    /// The connection failed.
    Failed(E),
    /// The body exceeds the limit for one body.
    TooLong,
    /// The bodies of all requests together exceed the budget.
    OverBudget,
}

/// Part of the budget that one body takes, until it is dropped.
#[derive(Debug, Default)]
pub struct BufferLease {
    used_bytes: Arc<AtomicUsize>,
    bytes: usize,
}

/// A body with its part of the budget.
struct LeasedBody {
    bytes: BytesMut,
    _lease: BufferLease,
}

impl Default for BodyBuffer {
    fn default() -> BodyBuffer {
        BodyBuffer { budget: AtomicUsize::new(BUFFER_BUDGET_BYTES), used_bytes: Arc::default() }
    }
}

impl BodyBuffer {
    /// Sets the budget; what is buffered already stays.
    pub fn set_budget(&self, bytes: usize) {
        self.budget.store(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes of the budget that are taken.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns a lease that takes nothing yet.
    pub fn lease(&self) -> BufferLease {
        BufferLease { used_bytes: Arc::clone(&self.used_bytes), bytes: 0 }
    }

    /// Makes a lease take so many bytes; returns false, and changes nothing, if there is no room.
    pub fn resize(&self, lease: &mut BufferLease, bytes: usize) -> bool {
        if bytes == lease.bytes {
            return true;
        }
        let others = self.used_bytes() - lease.bytes;
        if bytes > lease.bytes && others + bytes > self.budget.load(Ordering::Relaxed) {
            return false;
        }
        self.used_bytes.store(others + bytes, Ordering::Relaxed);
        lease.bytes = bytes;
        true
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// [`BufferError`]; the rest of the body is not read.
    pub async fn collect<B>(&self, mut body: B) -> Result<Bytes, BufferError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut lease = self.lease();
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BufferError::Failed)?.into_data() else {
                continue;
            };
            let length = collected.len() + data.len();
            if length > BODY_LIMIT_BYTES {
                return Err(BufferError::TooLong);
            }
            if !self.resize(&mut lease, length.saturating_sub(FREE_BODY_BYTES)) {
                return Err(BufferError::OverBudget);
            }
            collected.extend_from_slice(&data);
        }
        if lease.bytes == 0 {
            return Ok(collected.freeze());
        }
        Ok(Bytes::from_owner(LeasedBody { bytes: collected, _lease: lease }))
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for LeasedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<E: fmt::Display> fmt::Display for BufferError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BufferError::Failed(error) => write!(f, "{error}"),
            BufferError::TooLong => f.write_str("the body is over the limit"),
            BufferError::OverBudget => f.write_str("bodies of other requests fill the buffer"),
        }
    }
}
