//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, in bytes; far above the events of targets, which hold a few tokens.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a partial event until the event is complete.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Whether the events come from another target than the first ones, so that each has to follow the last
    /// one.
    is_resumed: bool,
    /// Whether the target that was to go on has sent no event yet.
    lacks_resumption: bool,
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

    /// Prepares for the events of another target, which goes on after the last event, or begins anew if
    /// there was none.
    pub fn begin_resumption(&mut self) {
        self.is_resumed = self.last_id.is_some();
        self.lacks_resumption = self.is_resumed;
        self.is_out_of_order = false;
    }

    /// Returns whether a target that was to go on sent events that came before, or other bytes. They are
    /// discarded.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
    }

    /// Returns whether a target that was to go on with the stream has sent no event. One that fails before
    /// its first event leaves the same bytes as one that has none to add.
    pub fn lacks_resumption(&self) -> bool {
        self.lacks_resumption
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
        if !self.is_resumed {
            self.last_id = event_ids(&events).next_back().or(self.last_id);
            return events;
        }
        match follow_events(&events, self.last_id) {
            // What has no event, such as a comment, is of no use to the caller.
            Some(last_id) if last_id == self.last_id => Bytes::new(),
            Some(last_id) => {
                self.last_id = last_id;
                self.lacks_resumption = false;
                events
            }
            None => {
                self.is_out_of_order = true;
                Bytes::new()
            }
        }
    }
}

/// Returns the number of the last of the events, or `last_id` if there is none. Returns `None` if one of
/// them does not follow the one before, or is no event with a number.
fn follow_events(events: &[u8], mut last_id: Option<u64>) -> Option<Option<u64>> {
    let mut rest = events;
    while !rest.is_empty() {
        let length =
            rest.windows(2).position(|pair| pair == b"\n\n").map_or(rest.len(), |end| end + 2);
        let (event, others) = rest.split_at(length);
        rest = others;
        let mut lines = event.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        if lines.clone().all(|line| line.starts_with(b":")) {
            continue;
        }
        if !lines.all(|line| line.contains(&b':')) {
            return None;
        }
        let id = event_ids(event).next_back()?;
        if last_id.is_some_and(|last_id| id <= last_id) {
            return None;
        }
        last_id = Some(id);
    }
    Some(last_id)
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
