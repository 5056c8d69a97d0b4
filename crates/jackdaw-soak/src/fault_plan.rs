//! Random plans of faults.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::soak_run::SoakSize;

/// Minimum and maximum duration of a fault in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 2500);

/// Mean time between the starts of two series of faults in milliseconds; series overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 500;

/// Minimum and maximum number of faults in a series, which repeats the same fault.
const SERIES_LENGTH: (usize, usize) = (1, 3);

/// Fault of the connections through one proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are delayed.
    Delay,
    /// All connections are reset.
    Reset,
    /// Bytes from the connecting side are dropped.
    SilentUpstream,
    /// Bytes to the connecting side are dropped.
    SilentDownstream,
    /// Bytes are dropped in both directions.
    Silent,
}

impl LinkFault {
    /// All connection faults.
    const ALL: [LinkFault; 5] = [
        LinkFault::Delay,
        LinkFault::Reset,
        LinkFault::SilentUpstream,
        LinkFault::SilentDownstream,
        LinkFault::Silent,
    ];
}

/// Kind of a fault with the index of the router or target that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL to a router, which is restarted after the fault.
    RouterKilled(usize),
    /// SIGKILL to all routers at once, which are restarted after the fault.
    AllRoutersKilled,
    /// SIGSTOP to a router, then SIGCONT after the fault.
    RouterFrozen(usize),
    /// SIGTERM to a router, which is restarted once it has exited.
    RouterTerminated(usize),
    /// SIGHUP to a router, which reloads its settings.
    RouterReloaded(usize),
    /// Fault of the connections from callers to a router.
    CallerLink(usize, LinkFault),
    /// Fault of the connections from a router to the store.
    StoreLink(usize, LinkFault),
    /// Fault of the connections from all routers to a target.
    TargetLink(usize, LinkFault),
    /// The store rejects all calls.
    StoreUnavailable,
    /// The store loses its change history.
    StoreHistoryLost,
    /// The store contains objects that cannot be parsed.
    ObjectsMalformed,
    /// A target crashes and is replaced by another one.
    TargetCrashed(usize),
    /// A target drains and is replaced by another one.
    TargetReplaced(usize),
    /// A new configuration replaces one of the API keys.
    KeyRotated,
}

impl FaultKind {
    /// Returns whether the fault may cut connections without violating a guarantee.
    pub fn is_unplanned(self) -> bool {
        !matches!(
            self,
            FaultKind::RouterTerminated(_)
                | FaultKind::RouterReloaded(_)
                | FaultKind::StoreUnavailable
                | FaultKind::StoreHistoryLost
                | FaultKind::ObjectsMalformed
                | FaultKind::TargetReplaced(_)
                | FaultKind::KeyRotated
                | FaultKind::StoreLink(..)
        )
    }
}

/// Fault scheduled at a time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, relative to the start of the load.
    pub start: Duration,
    /// Time for which the fault lasts.
    pub duration: Duration,
}

/// Faults of a run.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Faults sorted by their start.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a run from a seed.
    pub fn draw(seed: u64, size: &SoakSize) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Each seed uses up to four kinds, so that other faults don't mask their effects.
        let kinds: Vec<usize> = (0..4).map(|_| rng.random_range(0..KIND_COUNT)).collect();
        let end = size.fault_window.as_millis() as u64;
        let mut faults = Vec::new();
        let mut start = 0;
        while start < end {
            start += rng.random_range(1..=2 * MEAN_FAULT_INTERVAL_MS);
            let kind = draw_kind(&mut rng, &kinds, size);
            let mut time = start;
            for _ in 0..rng.random_range(SERIES_LENGTH.0..=SERIES_LENGTH.1) {
                let duration = rng.random_range(FAULT_DURATION_MS.0..=FAULT_DURATION_MS.1);
                if time + duration < end {
                    let (start, duration) =
                        (Duration::from_millis(time), Duration::from_millis(duration));
                    faults.push(PlannedFault { kind, start, duration });
                }
                time += duration + rng.random_range(0..MEAN_FAULT_INTERVAL_MS);
            }
        }
        faults.sort_by_key(|fault| fault.start);
        FaultPlan { faults }
    }

    /// Returns whether an unplanned fault is active between `from` and `to`, or ended less than
    /// `after` before `from`.
    pub fn allows_cut_connections(&self, from: Duration, to: Duration, after: Duration) -> bool {
        self.faults.iter().any(|fault| {
            fault.kind.is_unplanned()
                && fault.start < to
                && fault.start + fault.duration + after > from
        })
    }
}

/// Number of kinds of faults.
const KIND_COUNT: usize = 14;

/// Draws a fault whose kind is one of `kinds`, given as indices into the list of all kinds.
fn draw_kind(rng: &mut ChaCha8Rng, kinds: &[usize], size: &SoakSize) -> FaultKind {
    let router = rng.random_range(0..size.routers);
    let target = rng.random_range(0..size.targets);
    let link = LinkFault::ALL[rng.random_range(0..LinkFault::ALL.len())];
    let all: [FaultKind; KIND_COUNT] = [
        FaultKind::RouterKilled(router),
        FaultKind::AllRoutersKilled,
        FaultKind::RouterFrozen(router),
        FaultKind::RouterTerminated(router),
        FaultKind::RouterReloaded(router),
        FaultKind::CallerLink(router, link),
        FaultKind::StoreLink(router, link),
        FaultKind::TargetLink(target, link),
        FaultKind::StoreUnavailable,
        FaultKind::StoreHistoryLost,
        FaultKind::ObjectsMalformed,
        FaultKind::TargetCrashed(target),
        FaultKind::TargetReplaced(target),
        FaultKind::KeyRotated,
    ];
    all[kinds[rng.random_range(0..kinds.len())]]
}
