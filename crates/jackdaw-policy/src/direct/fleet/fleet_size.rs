//! How many routers share what the fleet may use together.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Time for which routers that are not heard any more still count. They may be cut off, and go on
/// using their part.
const SIZE_MEMORY: Duration = Duration::from_secs(60);

/// Largest number of routers heard recently, including this one.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetSize {
    routers: usize,
    /// When so many were last heard.
    heard: MonotonicTime,
}

impl FleetSize {
    /// Records how many routers are heard now; returns the number that share.
    pub fn record(&mut self, now: MonotonicTime, routers: usize) -> usize {
        if routers >= self.routers || now.since(self.heard) >= SIZE_MEMORY {
            *self = FleetSize { routers, heard: now };
        }
        self.routers
    }
}
