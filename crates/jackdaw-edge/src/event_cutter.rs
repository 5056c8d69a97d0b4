//! Cuts a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// The longest event that is held back until its end, in bytes.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Holds back the bytes of an event until its end is there.
#[derive(Debug, Default)]
pub struct EventCutter {
    held: BytesMut,
    last_id: Option<u64>,
}

impl EventCutter {
    /// Takes in bytes and returns those up to the end of the last whole event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.held.is_empty() && bytes.ends_with(b"\n\n") {
            self.note_id(&bytes);
            return bytes;
        }
        self.held.extend_from_slice(&bytes);
        let Some(end) = find_last_end(&self.held) else {
            if self.held.len() > EVENT_LIMIT_BYTES {
                return self.take_rest();
            }
            return Bytes::new();
        };
        let whole = self.held.split_to(end).freeze();
        self.note_id(&whole);
        whole
    }

    /// Returns what is held back, where the stream has come to its regular end.
    pub fn take_rest(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    /// Drops what is held back, where the stream has broken off.
    pub fn drop_rest(&mut self) {
        self.held.clear();
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn note_id(&mut self, whole: &[u8]) {
        let lines = whole.rsplit(|byte| *byte == b'\n');
        let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        let last = ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok()).next();
        self.last_id = last.or(self.last_id);
    }
}

fn find_last_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2)
}
