//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, in bytes; far above the events of targets, which hold a few tokens.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a partial event until the event is complete.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the next event is the first of another target, which has to follow the last one.
    is_resumed: bool,
    is_out_of_order: bool,
}

impl EventFramer {
    /// Adds bytes and returns the buffered ones up to the end of the last complete event.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() && bytes.ends_with(b"\n\n") {
            return self.accept(bytes);
        }
        // What was buffered before has no boundary, but may end with the first half of one.
        let searched = self.partial.len().saturating_sub(1);
        self.partial.extend_from_slice(&bytes);
        let Some(end) = find_last_boundary(&self.partial[searched..]) else {
            return Bytes::new();
        };
        let events = self.partial.split_to(searched + end).freeze();
        self.accept(events)
    }

    /// Prepares for the events of another target, which goes on after the last event.
    pub fn begin_resumption(&mut self) {
        self.is_resumed = true;
        self.is_out_of_order = false;
    }

    /// Returns whether a target that was to go on sent events that came before. They are discarded.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
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

    /// Records the numbers of complete events and returns the events, or nothing if they do not follow
    /// the last one.
    fn accept(&mut self, events: Bytes) -> Bytes {
        if self.is_resumed
            && let Some(first) = event_ids(&events).next()
        {
            if Some(first) <= self.last_id {
                self.is_out_of_order = true;
                return Bytes::new();
            }
            self.is_resumed = false;
        }
        self.last_id = event_ids(&events).next_back().or(self.last_id);
        events
    }
}

/// Returns the numbers of events, for those that have one.
fn event_ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let lines = events.split(|byte| *byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}

fn find_last_boundary(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|start| start + 2)
}
