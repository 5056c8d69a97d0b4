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
    /// The store comes back from a copy that it made when the fault started.
    StoreRestored,
    /// A target announces its leaving in its responses, long before the store registers it.
    TargetAnnounced(usize),
    /// A target turns all requests away and asks for a pause.
    TargetPaused(usize),
    /// A target's entry is removed without having registered as draining; the target keeps serving
    /// and is replaced by another one.
    TargetRemoved(usize),
    /// A new configuration has many routes more.
    ConfigGrown,
    /// A failure domain of targets is taken out of use.
    DomainEvacuated,
    /// A request crashed a target; never planned, but recorded when it happened.
    TargetEnded,
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
                | FaultKind::StoreRestored
                | FaultKind::TargetAnnounced(_)
                | FaultKind::TargetPaused(_)
                | FaultKind::TargetRemoved(_)
                | FaultKind::ConfigGrown
                | FaultKind::DomainEvacuated
        )
    }

    /// Returns whether the fault may keep routers from learning what the store registers.
    fn delays_updates(self) -> bool {
        matches!(
            self,
            FaultKind::RouterKilled(_)
                | FaultKind::AllRoutersKilled
                | FaultKind::RouterFrozen(_)
                | FaultKind::RouterTerminated(_)
                | FaultKind::StoreLink(..)
                | FaultKind::StoreUnavailable
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
        faults.extend(FaultPlan::draw_announced_faults(seed, size));
        faults.extend(FaultPlan::draw_removals(seed, size));
        faults.extend(FaultPlan::plan_evacuation(size));
        faults.sort_by_key(|fault| fault.start);
        FaultPlan { faults }
    }

    /// Plans an evacuation that lasts long enough for late requests to be seen; `None` in a short run.
    fn plan_evacuation(size: &SoakSize) -> Option<PlannedFault> {
        let start = EVACUATION_START;
        let duration = size.fault_window.checked_sub(start * 2)?;
        let kind = FaultKind::DomainEvacuated;
        (duration > MIN_EVACUATION).then_some(PlannedFault { kind, start, duration })
    }

    /// Returns whether the connections to a target are harmed between `from` and `to`, so that
    /// requests may arrive together that were sent apart.
    pub fn harms_targets(&self, from: Duration, to: Duration) -> bool {
        self.faults.iter().any(|fault| {
            matches!(fault.kind, FaultKind::TargetLink(..) | FaultKind::RouterFrozen(_))
                && fault.start < to
                && fault.start + fault.duration > from
        })
    }

    /// Draws faults that targets and the store announce in their responses. They have a generator of
    /// their own, so that a seed draws the other faults as it did before these existed.
    fn draw_announced_faults(seed: u64, size: &SoakSize) -> Vec<PlannedFault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ANNOUNCED_STREAM);
        let end = size.fault_window.as_millis() as u64;
        let mut faults = Vec::new();
        let mut start = 0;
        loop {
            start += rng.random_range(1..=2 * MEAN_ANNOUNCED_INTERVAL_MS);
            let duration = rng.random_range(FAULT_DURATION_MS.0..=FAULT_DURATION_MS.1);
            if start + duration >= end {
                return faults;
            }
            let target = rng.random_range(0..size.targets);
            let kind = match rng.random_range(0..3) {
                0 => FaultKind::StoreRestored,
                1 => FaultKind::TargetAnnounced(target),
                _ => FaultKind::TargetPaused(target),
            };
            let (start, duration) = (Duration::from_millis(start), Duration::from_millis(duration));
            faults.push(PlannedFault { kind, start, duration });
        }
    }

    /// Draws removals of targets beside growing configurations, with a generator of their own as well.
    fn draw_removals(seed: u64, size: &SoakSize) -> Vec<PlannedFault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ REMOVAL_STREAM);
        let end = size.fault_window.as_millis() as u64;
        let mut faults = Vec::new();
        let mut start = 0;
        loop {
            start += rng.random_range(1..=2 * MEAN_REMOVAL_INTERVAL_MS);
            if start >= end {
                return faults;
            }
            let kind = match rng.random_range(0..3) {
                0 => FaultKind::ConfigGrown,
                _ => FaultKind::TargetRemoved(rng.random_range(0..size.targets)),
            };
            let start = Duration::from_millis(start);
            faults.push(PlannedFault { kind, start, duration: Duration::ZERO });
        }
    }

    /// Returns whether routers may not have learned within `[from, to]` what the store registered
    /// at `from`, or before it.
    pub fn may_delay_updates(&self, from: Duration, to: Duration) -> bool {
        self.faults.iter().any(|fault| {
            fault.kind.delays_updates()
                && fault.start < to
                && fault.start + fault.duration + UPDATE_GRACE > from
        })
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

/// Time from the start of a run to its evacuation, and from the end of that to the end of the faults.
const EVACUATION_START: Duration = Duration::from_millis(300);

/// Shortest evacuation: requests that arrive later than six seconds after its start are late.
const MIN_EVACUATION: Duration = Duration::from_secs(7);

/// Number of kinds of faults that [`draw_kind`] draws from.
const KIND_COUNT: usize = 14;

/// Mean time between two faults of [`FaultPlan::draw_announced_faults`] in milliseconds.
const MEAN_ANNOUNCED_INTERVAL_MS: u64 = 1500;

/// Separates the random numbers of announced faults from those of the others.
const ANNOUNCED_STREAM: u64 = 0x616e_6e6f_756e_6365;

/// Mean time between two faults of [`FaultPlan::draw_removals`] in milliseconds.
const MEAN_REMOVAL_INTERVAL_MS: u64 = 1500;

/// Separates the random numbers of removals from those of the others.
const REMOVAL_STREAM: u64 = 0x7265_6d6f_7661_6c73;

/// Time after a fault within which routers catch up with the store.
const UPDATE_GRACE: Duration = Duration::from_secs(4);

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
