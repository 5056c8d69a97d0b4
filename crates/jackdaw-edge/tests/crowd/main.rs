//! Crowds of clients and targets that keep to no limits, against a router as a process of its own: it
//! lives, stays within its memory and descriptors, and answers ordinary callers.
//!
//! Each test fails if the router's memory, which includes what its sockets have received, exceeds the
//! limit in the test's settings. One test runs at a time.

mod client_crowd;
mod large_answers;
mod large_entries;
mod many_connections;
mod oversized_bodies;
mod single_requests;
mod stalled_bodies;
mod stalled_heads;
mod support;
mod tiny_chunks;
mod unfinished_events;
