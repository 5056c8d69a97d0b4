//! How far a router's process is behind its work.
//!
//! A process that is short of processor time runs its timers late, and what it reads has waited
//! unread for as long. It is told by ticks that should come at a fixed pace. One that puts the
//! requests at hand first keeps pace, but connections wait to be taken all the while.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Lateness from which a tick counts as late: a third of the shortest latency objectives.
const LATE_TICK: Duration = Duration::from_millis(50);

/// Time for which connections were waiting without a break, from which the router is crowded:
/// more than a burst of callers that come at the same moment.
const CROWDED_SPAN: Duration = Duration::from_millis(400);

/// Late or crowded ticks in a row after which the router sheds work. A single one may be a process
/// that was stopped and goes on.
const SHED_TICKS: u32 = 2;

/// Bounds of the time for which a router sheds work; it doubles while callers come back in the
/// same number. The first outlasts the bursts of single customers, which last up to eight seconds.
const SHED_RANGE: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(60));

/// Time from a router's not being ready until the balancer sends it no more connections: it asks
/// once a second and acts on two misses. Callers whose connections are closed before come back.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time without shedding after which the next time for it is the shortest again.
const CALM_SPAN: Duration = Duration::from_secs(60);

/// State of one router's process.
#[derive(Debug, Clone)]
pub struct OverloadDetector {
    period: Duration,
    last_tick: MonotonicTime,
    lateness: Duration,
    late_ticks: u32,
    crowded_since: Option<MonotonicTime>,
    shed: Option<ShedSpan>,
    shed_span: Duration,
}

/// A time for which the router sheds work.
#[derive(Debug, Clone, Copy)]
struct ShedSpan {
    start: MonotonicTime,
    end: MonotonicTime,
    has_moved: bool,
}

/// What a tick brings about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedAction {
    /// Nothing changes.
    None,
    /// From now on the router sheds work.
    Start,
    /// Callers that are still connected are to go to other routers.
    MoveCallers,
}

impl OverloadDetector {
    /// Creates the gauge of a process whose ticks come after each `period`.
    pub fn new(now: MonotonicTime, period: Duration) -> OverloadDetector {
        OverloadDetector {
            period,
            last_tick: now,
            lateness: Duration::ZERO,
            late_ticks: 0,
            crowded_since: None,
            shed: None,
            shed_span: SHED_RANGE.0,
        }
    }

    /// Notes whether a connection was waiting when the process was free to take one.
    pub fn record_accept(&mut self, now: MonotonicTime, is_at_hand: bool) {
        self.crowded_since = is_at_hand.then(|| self.crowded_since.unwrap_or(now));
    }

    /// Returns whether connections wait to be taken without a break.
    pub fn has_accept_backlog(&self, now: MonotonicTime) -> bool {
        self.crowded_since.is_some_and(|since| now.since(since) >= CROWDED_SPAN)
    }

    /// Takes in a tick.
    pub fn tick(&mut self, now: MonotonicTime) -> ShedAction {
        self.lateness = self.overdue(now);
        self.last_tick = now;
        let is_behind = self.lateness >= LATE_TICK || self.has_accept_backlog(now);
        self.late_ticks = if is_behind { self.late_ticks + 1 } else { 0 };
        if self.is_moving_callers(now) {
            return match &mut self.shed {
                Some(shed) if !shed.has_moved => {
                    shed.has_moved = true;
                    ShedAction::MoveCallers
                }
                _ => ShedAction::None,
            };
        }
        if self.late_ticks < SHED_TICKS || self.is_shedding(now) {
            return ShedAction::None;
        }
        self.shed_span = match self.shed {
            Some(shed) if now.since(shed.end) < CALM_SPAN => (self.shed_span * 2).min(SHED_RANGE.1),
            _ => SHED_RANGE.0,
        };
        let end = now.after(self.shed_span);
        self.shed = Some(ShedSpan { start: now, end, has_moved: false });
        ShedAction::Start
    }

    /// Returns whether new work is better sent to other routers.
    pub fn is_shedding(&self, now: MonotonicTime) -> bool {
        self.shed.is_some_and(|shed| now < shed.end)
    }

    /// Returns whether callers that are connected are better off at other routers.
    pub fn is_moving_callers(&self, now: MonotonicTime) -> bool {
        self.shed.is_some_and(|shed| now < shed.end && now.since(shed.start) >= BALANCER_DELAY)
    }

    /// Returns the time for which what is read now may have waited.
    pub fn lag(&self, now: MonotonicTime) -> Duration {
        let lag = self.lateness.max(self.overdue(now));
        if lag < LATE_TICK { Duration::ZERO } else { lag }
    }

    fn overdue(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_tick).saturating_sub(self.period)
    }
}
