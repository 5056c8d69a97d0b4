//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, in bytes; far above the events of targets, which hold a few tokens.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a partial event until the event is complete.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Adds bytes and returns the buffered ones up to the end of the last complete event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_id(&bytes);
            return bytes;
        }
        // What was buffered before has no boundary, but may end with the first half of one.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = find_last_boundary(&self.partial[searched..]) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(searched + end).freeze();
        self.record_id(&events);
        events
    }

    /// Takes the buffered partial event; used at the regular end of a stream.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Discards the buffered partial event; used after a stream failed.
    pub fn discard_partial(&mut self) {
        self.partial = BytesMut::new();
    }

    /// Returns whether the buffered part of an event is over the limit, so that the stream must not be
    /// read further.
    pub fn is_over_limit(&self) -> bool {
        self.partial.len() > EVENT_LIMIT_BYTES
    }

    /// Returns the bytes of memory that the buffered part of an event takes.
    pub fn buffered_bytes(&self) -> usize {
        if self.partial.is_empty() { 0 } else { self.partial.capacity() }
    }

    /// Returns whether the bytes end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.partial.iter().any(|byte| !matches!(byte, b'\n' | b'\r'))
    }

    /// Returns the identifier of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_id(&mut self, events: &[u8]) {
        let lines = events.rsplit(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let last = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok()).next();
        self.last_id = last.or(self.last_id);
    }
}

fn find_last_boundary(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2)
}
