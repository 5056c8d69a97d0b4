//! What fails and when, drawn from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::soak_run::SoakSize;

/// Shortest and longest time for which a fault lasts, in milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 2500);

/// Mean time between the starts of two faults, in milliseconds; spans overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 500;

/// Faults of a series, one after the other on the same subject.
const SERIES_LENGTH: (usize, usize) = (1, 3);

/// A fault of the connections through one proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes come later.
    Delay,
    /// All connections are reset.
    Reset,
    /// Nothing passes from the connecting side.
    SilentUpstream,
    /// Nothing passes to the connecting side.
    SilentDownstream,
    /// Nothing passes.
    Silent,
}

impl LinkFault {
    /// All faults of connections.
    const ALL: [LinkFault; 5] = [
        LinkFault::Delay,
        LinkFault::Reset,
        LinkFault::SilentUpstream,
        LinkFault::SilentDownstream,
        LinkFault::Silent,
    ];
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A router is killed and started again.
    RouterKilled(usize),
    /// All routers are killed at once and started again.
    AllRoutersKilled,
    /// A router is stopped and goes on.
    RouterFrozen(usize),
    /// A router is told to end and started again.
    RouterTerminated(usize),
    /// A router is told that its settings have changed.
    RouterReloaded(usize),
    /// The way of callers to a router.
    CallerLink(usize, LinkFault),
    /// The way of a router to the store.
    StoreLink(usize, LinkFault),
    /// The way of all routers to a target.
    TargetLink(usize, LinkFault),
    /// The store turns all calls away.
    StoreUnavailable,
    /// The store forgets its history.
    StoreHistoryLost,
    /// An object of the store cannot be read.
    ObjectsMalformed,
    /// A target ends at once; another comes in its place.
    TargetCrashed(usize),
    /// A target leaves as planned; another comes in its place.
    TargetReplaced(usize),
    /// The configuration gets another key and loses the one before.
    KeyRotated,
}

impl FaultKind {
    /// Returns whether connections may break by it without a promise being broken.
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

/// A fault with its time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// What fails.
    pub kind: FaultKind,
    /// Its start after the start of the load.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
}

/// All faults of a run, by their start.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of a run.
    pub fn draw(seed: u64, size: &SoakSize) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Each seed has some kinds only, so that their effects are not drowned by the rest.
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

    /// Returns whether an unplanned fault lasts at some time of a span, or did shortly before.
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

/// Draws a fault of one of the kinds, which are positions among all kinds.
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
