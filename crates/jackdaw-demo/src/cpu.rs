//! CPU time of threads, read from `/proc/self/task` on Linux.

use std::collections::BTreeSet;
use std::fs;
use std::time::Duration;

/// Returns the identifiers of all threads of this process; empty if the system does not list them.
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

/// Returns the identifier of the current thread; `None` if the system does not provide it.
pub fn current_thread_id() -> Option<u64> {
    let link = fs::read_link("/proc/thread-self").ok()?;
    link.file_name()?.to_str()?.parse().ok()
}

/// Returns the total CPU time of threads; threads that have exited count as zero.
pub fn thread_cpu_time(threads: &BTreeSet<u64>) -> Duration {
    let mut total = 0;
    for thread in threads {
        total += thread_cpu_nanos(*thread).unwrap_or_default();
    }
    Duration::from_nanos(total)
}

/// Returns the CPU time of a thread in nanoseconds.
fn thread_cpu_nanos(thread: u64) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/self/task/{thread}/schedstat")).ok()?;
    text.split_whitespace().next()?.parse().ok()
}
