//! Splitting of event streams at event boundaries.

use bytes::Bytes;
use jackdaw_edge::event_framer::EventFramer;

fn push(framer: &mut EventFramer, text: &'static str) -> String {
    String::from_utf8(framer.push(Bytes::from_static(text.as_bytes())).to_vec()).expect("text")
}

#[test]
fn complete_events_pass_immediately() {
    let mut framer = EventFramer::default();
    assert_eq!(push(&mut framer, "id: 7\ndata: x\n\n"), "id: 7\ndata: x\n\n");
    assert_eq!(framer.last_id(), Some(7));
    assert!(framer.take_partial().is_empty());
}

#[test]
fn partial_event_is_buffered() {
    let mut framer = EventFramer::default();
    assert_eq!(push(&mut framer, "id: 1\n\nid: 2\nda"), "id: 1\n\n");
    assert_eq!(framer.last_id(), Some(1));
    assert_eq!(push(&mut framer, "ta: y\n"), "");
    assert_eq!(push(&mut framer, "\n"), "id: 2\ndata: y\n\n");
    assert_eq!(framer.last_id(), Some(2));
}

#[test]
fn chunk_boundaries_do_not_change_the_output() {
    let text = "id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\ntail";
    for cut in 0..text.len() {
        let mut framer = EventFramer::default();
        let mut out = push(&mut framer, &text[..cut]);
        out.push_str(&push(&mut framer, &text[cut..]));
        assert_eq!(out, text.trim_end_matches("tail"), "cut at {cut}");
        assert_eq!(framer.take_partial().as_ref(), b"tail");
        assert_eq!(framer.last_id(), Some(2));
    }
}

#[test]
fn discarded_partial_event_is_not_emitted() {
    let mut framer = EventFramer::default();
    push(&mut framer, "id: 1\n\nid: 2\nda");
    framer.discard_partial();
    assert_eq!(push(&mut framer, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

/// Bytes without the end of an event are no event, however many there are.
#[test]
fn event_without_end_exceeds_the_limit() {
    let mut framer = EventFramer::default();
    let mut pushed = 0;
    while !framer.is_over_limit() {
        assert!(push(&mut framer, "data: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa").is_empty());
        pushed += 1;
        assert!(pushed < 100_000, "no limit");
    }
    assert!(framer.is_inside_event());
}

/// What another target sends has to be events that follow those before.
#[test]
fn resumption_has_events_that_follow() {
    for (text, is_joined) in [
        ("id: 8\ndata: x\n\n", true),
        ("id: 8\n\nid: 9\n\nid: 12\n\n", true),
        ("weight-versions: 2\nid: 8\ndata: x\n\n", true),
        (": note\n\nid: 8\n\n", true),
        ("id: 7\n\n", false),
        ("id: 9\n\nid: 8\n\n", false),
        ("id: 8\n\nid: 8\n\n", false),
        ("id: 8\n\ndata: x\n\n", false),
        ("id: 8\n\nfailed\n\n", false),
        ("failed\nid: 8\n\n", false),
        ("HTTP/1.1 500 Status\r\ncontent-length: 9\r\n\r\nid: 8\n\n", false),
        ("data: x\n\n", false),
        ("{\"id\": 8}\n\n", false),
    ] {
        let mut framer = EventFramer::default();
        push(&mut framer, "id: 7\n\n");
        framer.begin_resumption();
        assert_eq!(push(&mut framer, text), if is_joined { text } else { "" }, "{text:?}");
        assert_eq!(framer.is_out_of_order(), !is_joined, "{text:?}");
        if !is_joined {
            assert_eq!(framer.last_id(), Some(7), "{text:?}");
        }
    }
}

/// Comments and empty lines are no part of a stream's events.
#[test]
fn resumption_without_events_adds_nothing() {
    for text in ["\n\n", ": note\n\n", ": a\n: b\n\n\n\n"] {
        let mut framer = EventFramer::default();
        push(&mut framer, "id: 7\n\n");
        framer.begin_resumption();
        assert_eq!((push(&mut framer, text), framer.is_out_of_order()), (String::new(), false));
    }
}

/// A stream that broke off before its first event begins anew, with or without numbers.
#[test]
fn stream_without_events_begins_anew() {
    for text in ["data: x\n\n", "id: 1\n\n", ": note\n\n"] {
        let mut framer = EventFramer::default();
        push(&mut framer, "data: x");
        framer.discard_partial();
        framer.begin_resumption();
        assert_eq!((push(&mut framer, text).as_str(), framer.is_out_of_order()), (text, false));
    }
}
