//! Cuts a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until its end, in bytes.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Holds back the bytes of an event until its end is there.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Takes in bytes and returns those up to the end of the last whole event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            self.record_id(&bytes);
            return bytes;
        }
        self.partial.extend_from_slice(&bytes);
        let Some(end) = find_last_boundary(&self.partial) else {
            if self.partial.len() > EVENT_LIMIT_BYTES {
                return self.take_partial();
            }
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        self.record_id(&whole);
        whole
    }

    /// Returns what is held back, where the stream has come to its regular end.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops what is held back, where the stream has broken off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_id(&mut self, whole: &[u8]) {
        let lines = whole.rsplit(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let last = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok()).next();
        self.last_id = last.or(self.last_id);
    }
}

fn find_last_boundary(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2)
}
