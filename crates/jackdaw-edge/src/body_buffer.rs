//! Buffers response bodies within a budget that all requests of the router share.

use std::cell::Cell;
use std::fmt;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Size limit of one body, in bytes.
const BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Size up to which a body is buffered whatever else is, in bytes.
const FREE_BODY_BYTES: usize = 64 * 1024;

/// Budget for what all bodies take beyond [`FREE_BODY_BYTES`]: a sixth of the smallest VM known.
const BUFFER_BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Budget for bodies that are being buffered.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    used_bytes: Cell<usize>,
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
struct BufferLease<'a> {
    buffer: &'a BodyBuffer,
    bytes: usize,
}

impl BodyBuffer {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// [`BufferError`]; the rest of the body is not read.
    pub async fn collect<B>(&self, mut body: B) -> Result<Bytes, BufferError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut lease = BufferLease { buffer: self, bytes: 0 };
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BufferError::Failed)?.into_data() else {
                continue;
            };
            let length = collected.len() + data.len();
            if length > BODY_LIMIT_BYTES {
                return Err(BufferError::TooLong);
            }
            if !lease.extend_to(length.saturating_sub(FREE_BODY_BYTES)) {
                return Err(BufferError::OverBudget);
            }
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    }
}

impl BufferLease<'_> {
    /// Takes as much of the budget as is missing to `bytes`; returns whether there was enough.
    fn extend_to(&mut self, bytes: usize) -> bool {
        let used = self.buffer.used_bytes.get() + bytes.saturating_sub(self.bytes);
        if used > BUFFER_BUDGET_BYTES {
            return false;
        }
        self.buffer.used_bytes.set(used);
        self.bytes = self.bytes.max(bytes);
        true
    }
}

impl Drop for BufferLease<'_> {
    fn drop(&mut self) {
        self.buffer.used_bytes.set(self.buffer.used_bytes.get() - self.bytes);
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
