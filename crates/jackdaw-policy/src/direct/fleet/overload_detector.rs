//! Detection of a router process that cannot keep up with its work.
//!
//! A process that is short of CPU time runs its timers late, and the data it reads has been waiting
//! for just as long. This is detected by a periodic tick that arrives late. A process that serves
//! open requests first may run its timers on time, but then always has connections waiting to be
//! accepted.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Delay from which a tick counts as late: a third of the shortest latency objectives.
const LATE_TICK: Duration = Duration::from_millis(50);

/// Time for which the accept queue must be continuously nonempty to count as a backlog; longer
/// than a burst of callers that connect at the same moment takes to accept.
const BACKLOG_SPAN: Duration = Duration::from_millis(400);

/// Consecutive ticks, late or with an accept backlog, after which the router sheds load. A single
/// late tick may come from a process that was suspended and resumed.
const SHED_TICKS: u32 = 2;

/// Shortest and longest time for which a router sheds load. The time doubles if the overload
/// returns soon. The shortest outlasts bursts of single customers, which last up to 8 seconds.
const SHED_RANGE: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(60));

/// Time from when a router reports not ready until the balancer sends it no more connections: the
/// balancer polls once a second and acts after two failed checks. Callers whose connections are
/// closed earlier may be balanced back to this router.
pub const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time without shedding after which the next shedding period has the shortest length again.
const RESET_SPAN: Duration = Duration::from_secs(60);

/// Overload state of the router's process.
#[derive(Debug, Clone)]
pub struct OverloadDetector {
    period: Duration,
    last_tick: MonotonicTime,
    lateness: Duration,
    late_ticks: u32,
    backlog_since: Option<MonotonicTime>,
    shed: Option<ShedPeriod>,
    shed_span: Duration,
}

/// Period in which the router sheds load.
#[derive(Debug, Clone, Copy)]
struct ShedPeriod {
    start: MonotonicTime,
    end: MonotonicTime,
    has_moved: bool,
}

/// Action required after a tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedAction {
    /// Nothing changes.
    None,
    /// The router starts to shed load and reports that it is not ready.
    Start,
    /// Connections of callers are closed, so that the callers reconnect to other routers.
    MoveCallers,
}

impl OverloadDetector {
    /// Creates a detector for a process that calls [`tick`](Self::tick) every `period`.
    pub fn new(now: MonotonicTime, period: Duration) -> OverloadDetector {
        OverloadDetector {
            period,
            last_tick: now,
            lateness: Duration::ZERO,
            late_ticks: 0,
            backlog_since: None,
            shed: None,
            shed_span: SHED_RANGE.0,
        }
    }

    /// Records whether a connection was already waiting when the process was able to accept one.
    pub fn record_accept(&mut self, now: MonotonicTime, is_pending: bool) {
        self.backlog_since = is_pending.then(|| self.backlog_since.unwrap_or(now));
    }

    /// Returns whether connections have been waiting to be accepted without a break.
    pub fn has_accept_backlog(&self, now: MonotonicTime) -> bool {
        self.backlog_since.is_some_and(|since| now.since(since) >= BACKLOG_SPAN)
    }

    /// Processes a tick and returns the action it requires.
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
            Some(shed) if now.since(shed.end) < RESET_SPAN => {
                (self.shed_span * 2).min(SHED_RANGE.1)
            }
            _ => SHED_RANGE.0,
        };
        let end = now.after(self.shed_span);
        self.shed = Some(ShedPeriod { start: now, end, has_moved: false });
        ShedAction::Start
    }

    /// Returns whether new work should go to other routers.
    pub fn is_shedding(&self, now: MonotonicTime) -> bool {
        self.shed.is_some_and(|shed| now < shed.end)
    }

    /// Returns whether connected callers should move to other routers.
    pub fn is_moving_callers(&self, now: MonotonicTime) -> bool {
        self.shed.is_some_and(|shed| now < shed.end && now.since(shed.start) >= BALANCER_DELAY)
    }

    /// Returns how long data that is read now may have been waiting; zero below the late-tick
    /// threshold.
    pub fn lag(&self, now: MonotonicTime) -> Duration {
        let lag = self.lateness.max(self.overdue(now));
        if lag < LATE_TICK { Duration::ZERO } else { lag }
    }

    fn overdue(&self, now: MonotonicTime) -> Duration {
        now.since(self.last_tick).saturating_sub(self.period)
    }
}
