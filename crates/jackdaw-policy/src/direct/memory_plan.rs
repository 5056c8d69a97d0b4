//! Divides the memory of a router between callers and targets.

/// Memory of a router without callers, with its tables of a large fleet, in bytes.
const BASE_BYTES: usize = 30 * 1024 * 1024;

/// Least memory that is divided, in bytes.
const MIN_DIVIDED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that a connection with an unfinished request takes, in bytes: a buffer for a head of the usual
/// limit, a body up to the size that is read without a lease, and the state of the HTTP server.
const UNFINISHED_BYTES: usize = 32 * 1024;

/// Parts of the divided memory for bodies of requests, for responses and unfinished events, and for
/// connections with unfinished requests. The rest is left for what the allocator cannot reuse at once.
const REQUEST_PART: f64 = 0.25;
const RESPONSE_PART: f64 = 0.25;
const UNFINISHED_PART: f64 = 0.4;

/// What callers and targets may take of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes for bodies of requests.
    pub request_bytes: usize,
    /// Bytes for bodies of responses, and for events that are not complete.
    pub response_bytes: usize,
    /// Number of connections on which a request has begun and is not complete.
    pub unfinished_requests: usize,
}

impl MemoryPlan {
    /// Divides the memory of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> MemoryPlan {
        let divided = memory.saturating_sub(BASE_BYTES).max(MIN_DIVIDED_BYTES) as f64;
        MemoryPlan {
            request_bytes: (divided * REQUEST_PART) as usize,
            response_bytes: (divided * RESPONSE_PART) as usize,
            unfinished_requests: (divided * UNFINISHED_PART) as usize / UNFINISHED_BYTES,
        }
    }
}
