//! Targets that send the beginning of an event and no end.

use jackdaw_platform_standins::{RawAnswer, RawEnd, RawTarget, StoreStandin};

use crate::client_crowd::{ClientCrowd, WritePace, request_head};
use crate::support::{CrowdFleet, DESCRIPTORS, OTHER_PATH, OTHER_SERVICE, run_alone};

/// Streams, and the bytes of an unfinished event, which are below the limit of one event.
const STREAMS: usize = 200;
const EVENT_BYTES: usize = 250 * 1000;

const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: 3e1b.07\r\n\r\ndata: ";

/// The unfinished events of all streams together had no bound.
#[test]
fn unfinished_events_stay_within_memory() {
    run_alone(async {
        let store = StoreStandin::bind().await;
        let event: &'static str = "x".repeat(EVENT_BYTES).leak();
        let answer = RawAnswer { chunks: vec![HEAD, event], end: RawEnd::Silent };
        let faulty = RawTarget::bind(answer).await;
        let mut entry = faulty.entry(OTHER_SERVICE);
        entry["slots"] = 1000.into();
        store.put_target("i-2", &entry);
        let fleet = CrowdFleet::spawn_beside(store, DESCRIPTORS).await;
        let texts =
            (0..STREAMS).map(|client| vec![request_head(OTHER_PATH, client, "content-length: 0")]);
        let crowd = ClientCrowd::connect(fleet.address, texts.collect(), WritePace::Whole);
        crowd.settle().await;
        assert!(faulty.request_count() >= STREAMS / 2, "{} begun", faulty.request_count());
        fleet.check().await;
    });
}
