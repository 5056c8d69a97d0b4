//! Entries of another writer in the list of targets that fill more pages than all targets would.

use jackdaw_platform_standins::StoreStandin;

use crate::support::{CrowdFleet, DESCRIPTORS, run_alone};

/// Entries, each of which fills a page, and their size in bytes.
const ENTRIES: usize = 90;
const ENTRY_BYTES: usize = 600_000;

/// Starts a router beside entries that repeat a text.
fn start_beside(start: &str, repeated: &str, end: &str) {
    run_alone(async {
        let store = StoreStandin::bind().await;
        let entry = start.to_owned() + &repeated.repeat(ENTRY_BYTES / repeated.len()) + end;
        for number in 0..ENTRIES {
            store.put_raw_target(&format!("a-{number}"), entry.as_bytes());
        }
        CrowdFleet::spawn_beside(store, DESCRIPTORS).await.check().await;
    });
}

#[test]
fn long_texts_stay_within_memory() {
    start_beside(r#"{"note":""#, "x", r#""}"#);
}

/// Parsed, such values take many times the memory of their text.
#[test]
fn many_values_stay_within_memory() {
    start_beside("[0", ",0", "]");
}

#[test]
fn many_fields_stay_within_memory() {
    start_beside(r#"{"note":[{}"#, r#",{"a":0}"#, "]}");
}
