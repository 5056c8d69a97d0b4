//! Processor time of threads, as Linux accounts it under `/proc/self/task`.

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;

/// Returns the identifiers of all threads of this process.
pub fn thread_ids() -> BTreeSet<u64> {
    let mut threads = BTreeSet::new();
    let Ok(entries) = fs::read_dir("/proc/self/task") else {
        return threads;
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        if let Some(thread) = name.to_str().and_then(|name| name.parse().ok()) {
            threads.insert(thread);
        }
    }
    threads
}

/// Returns the identifier of the thread that calls.
pub fn current_thread_id() -> Option<u64> {
    let link = fs::read_link("/proc/thread-self").ok()?;
    link.file_name()?.to_str()?.parse().ok()
}

/// Returns the time that threads have run; threads that have ended count as zero.
pub fn thread_cpu_time(threads: &BTreeSet<u64>) -> Duration {
    let mut total = 0;
    for thread in threads {
        total += thread_cpu_nanos(*thread).unwrap_or_default();
    }
    Duration::from_nanos(total)
}

/// Returns the nanoseconds that a thread has run.
fn thread_cpu_nanos(thread: u64) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
