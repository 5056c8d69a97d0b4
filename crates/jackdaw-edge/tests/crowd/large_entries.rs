//! Entries of another writer in the list of targets that fill more pages than all targets would.

use jackdaw_platform_standins::StoreStandin;

use crate::support::{CrowdFleet, DESCRIPTORS, run_alone};

/// Entries, each of which fills a page, and their size in bytes.
const ENTRIES: usize = 90;
const ENTRY_BYTES: usize = 600_000;

/// Starts a router beside entries with this text.
fn start_beside(entry: &str) {
    run_alone(async {
        let store = StoreStandin::bind().await;
        for number in 0..ENTRIES {
            store.put_raw_target(&format!("a-{number}"), entry.as_bytes());
        }
        CrowdFleet::spawn_beside(store, DESCRIPTORS).await.check().await;
    });
}

/// Returns a text of [`ENTRY_BYTES`] that repeats another one.
fn fill(repeated: &str) -> String {
    repeated.repeat(ENTRY_BYTES / repeated.len())
}

#[test]
fn long_texts_stay_within_memory() {
    start_beside(&format!(r#"{{"note":"{}"}}"#, fill("x")));
}

/// Parsed, such values take many times the memory of their text.
#[test]
fn many_values_stay_within_memory() {
    start_beside(&format!("[0{}]", fill(",0")));
}

#[test]
fn many_fields_stay_within_memory() {
    start_beside(&format!(r#"{{"note":[0{}]}}"#, fill(r#",{"a":0}"#)));
}

#[test]
fn deep_values_stay_within_memory() {
    start_beside(&format!("{}{}", "[".repeat(ENTRY_BYTES / 2), "]".repeat(ENTRY_BYTES / 2)));
}
