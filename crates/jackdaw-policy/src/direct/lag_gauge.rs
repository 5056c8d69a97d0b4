//! How far a router's process is behind its work.
//!
//! A process that is short of processor time runs its timers late, and what it reads has waited
//! unread for as long. It is told by ticks that should come at a fixed pace.

use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Lateness from which a tick counts as late: a third of the shortest latency objectives.
const LATE_TICK: Duration = Duration::from_millis(50);

/// Late ticks in a row after which the router sheds work. A single one may be a process that
/// was stopped and goes on.
const SHED_TICKS: u32 = 2;

/// Bounds of the time for which a router sheds work; it doubles while callers come back in the
/// same number. The first outlasts the bursts of single customers, which last up to eight seconds.
const SHED_RANGE: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(60));

/// Time without shedding after which the next time for it is the shortest again.
const CALM_SPAN: Duration = Duration::from_secs(60);

/// State of one router's process.
#[derive(Debug, Clone)]
pub struct LagGauge {
    period: Duration,
    last_tick: MonotonicTime,
    lateness: Duration,
    late_ticks: u32,
    shed_end: Option<MonotonicTime>,
    shed_span: Duration,
}

impl LagGauge {
    /// Creates the gauge of a process whose ticks come after each `period`.
    pub fn new(now: MonotonicTime, period: Duration) -> LagGauge {
        LagGauge {
            period,
            last_tick: now,
            lateness: Duration::ZERO,
            late_ticks: 0,
            shed_end: None,
            shed_span: SHED_RANGE.0,
        }
    }

    /// Takes in a tick; returns whether shedding starts with it.
    pub fn tick(&mut self, now: MonotonicTime) -> bool {
        self.lateness = self.overdue(now);
        self.last_tick = now;
        self.late_ticks = if self.lateness < LATE_TICK { 0 } else { self.late_ticks + 1 };
        if self.late_ticks < SHED_TICKS || self.sheds(now) {
            return false;
        }
        self.shed_span = match self.shed_end {
            Some(end) if now.since(end) < CALM_SPAN => (self.shed_span * 2).min(SHED_RANGE.1),
            _ => SHED_RANGE.0,
        };
        self.shed_end = Some(now.after(self.shed_span));
        true
    }

    /// Returns whether new work is better sent to other routers.
    pub fn sheds(&self, now: MonotonicTime) -> bool {
        self.shed_end.is_some_and(|end| now < end)
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
