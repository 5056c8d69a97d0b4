//! Budget of repeated sends over a sliding window.
//!
//! The fleet's budget is a share of the requests plus a fixed allowance. Each router keeps to the
//! share for its own requests and to an even part of the allowance, so that the sum over all
//! routers stays within the fleet's budget without a message.

use std::collections::VecDeque;
use std::time::Duration;

use jackdaw_base::MonotonicTime;

/// Parts into which the window is cut; a part leaves the window as a whole.
const WINDOW_PARTS: u32 = 10;

/// Part of the fleet's budget that is used, so that windows which start elsewhere hold too.
const BUDGET_PART: f64 = 0.6;

/// Budget of repeated sends of one service at one router.
#[derive(Debug, Clone)]
pub struct RepeatBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    parts: VecDeque<WindowPart>,
}

/// Counts of one part of the window.
#[derive(Debug, Clone, Copy)]
struct WindowPart {
    start: MonotonicTime,
    requests: u64,
    repeats: u64,
}

impl RepeatBudget {
    /// Creates a budget: `ratio` repeats a request plus `allowance` for the whole fleet.
    pub fn new(window: Duration, ratio: f64, allowance: u32) -> RepeatBudget {
        RepeatBudget { window, ratio, allowance: f64::from(allowance), parts: VecDeque::new() }
    }

    /// Sets the limits anew; what was taken so far stays taken.
    pub fn set_limits(&mut self, window: Duration, ratio: f64, allowance: u32) {
        self.window = window;
        self.ratio = ratio;
        self.allowance = f64::from(allowance);
    }

    /// Notes a first send.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.part(now).requests += 1;
    }

    /// Takes one repeat, where `routers` share the allowance; returns whether there was one left.
    pub fn take_repeat(&mut self, now: MonotonicTime, routers: usize) -> bool {
        self.part(now);
        let requests: u64 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u64 = self.parts.iter().map(|part| part.repeats).sum();
        let allowance = self.allowance / routers.max(1) as f64;
        let budget = BUDGET_PART * (self.ratio * requests as f64 + allowance);
        if (repeats + 1) as f64 > budget {
            return false;
        }
        self.part(now).repeats += 1;
        true
    }

    /// Returns the present part of the window, after dropping those that have left it.
    fn part(&mut self, now: MonotonicTime) -> &mut WindowPart {
        let span = self.window / WINDOW_PARTS;
        let is_old = |part: &WindowPart| now.since(part.start) >= self.window + span;
        while self.parts.front().is_some_and(is_old) {
            self.parts.pop_front();
        }
        let is_open = self.parts.back().is_some_and(|part| now.since(part.start) < span);
        if !is_open {
            self.parts.push_back(WindowPart { start: now, requests: 0, repeats: 0 });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
