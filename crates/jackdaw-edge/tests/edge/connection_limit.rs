//! Limit of caller connections by the number of file descriptors.

use std::time::Duration;

use jackdaw_edge::caller_connections::{CallerConnections, CallerGuard};

use crate::support::block_on;

/// Returns the positions of the connections that were signaled to drain.
async fn drained(guards: &[CallerGuard]) -> Vec<usize> {
    let mut found = Vec::new();
    for (position, guard) in guards.iter().enumerate() {
        // `Notify` keeps the signal until the next waiter.
        if tokio::time::timeout(Duration::ZERO, guard.wait_drain()).await.is_ok() {
            found.push(position);
        }
    }
    found
}

#[test]
fn oldest_connections_are_drained_first() {
    block_on(async {
        let connections = CallerConnections::new(20);
        let guards: Vec<_> = (0..13).map(|_| connections.add()).collect();
        assert_eq!(drained(&guards).await, [0, 1, 2]);
    });
}

#[test]
fn closed_connections_do_not_count() {
    block_on(async {
        let connections = CallerConnections::new(20);
        for _ in 0..1000 {
            let guard = connections.add();
            assert!(drained(std::slice::from_ref(&guard)).await.is_empty());
        }
        assert_eq!(connections.open_count(), 0);
    });
}

#[test]
fn descriptor_shortage_drains_a_batch() {
    block_on(async {
        let connections = CallerConnections::new(1000);
        let guards: Vec<_> = (0..100).map(|_| connections.add()).collect();
        connections.drain_some();
        let count = drained(&guards).await.len();
        assert!((1..100).contains(&count), "{count}");
    });
}

/// Callers that are idle between requests do not count, and those that finish their requests stay.
#[test]
fn oldest_unfinished_request_gives_way() {
    block_on(async {
        let connections = CallerConnections::new(1000);
        connections.set_unfinished_limit(3);
        let guards: Vec<_> = (0..10).map(|_| connections.add()).collect();
        for guard in &guards {
            connections.begin_request(guard);
            guard.end_request();
        }
        assert!(closed(&guards).await.is_empty(), "all requests are complete");
        for guard in &guards[2..7] {
            connections.begin_request(guard);
            connections.begin_request(guard);
        }
        assert_eq!(closed(&guards).await, [2, 3]);
    });
}

/// Returns the positions of the connections that were told to close at once.
async fn closed(guards: &[CallerGuard]) -> Vec<usize> {
    let mut found = Vec::new();
    for (position, guard) in guards.iter().enumerate() {
        if tokio::time::timeout(Duration::ZERO, guard.wait_close()).await.is_ok() {
            found.push(position);
        }
    }
    found
}
