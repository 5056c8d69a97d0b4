//! The way of a request from its arrival to its one answer.
//!
//! A caller is told *not run* only while no run was ever started, or when each that was
//! started has been refused by its agent before the target saw it.

use std::time::Duration;

use jackdaw_base::{ErrorKind, MonotonicTime, OfferId, RequestId, RequestOutcome, VmId, WorkUnits};
use rand::Rng;

use super::customer_queue::CustomerQueue;
use super::{AgentList, RequestEntry, RequestStage, RouterCore, TimerKind};
use crate::event::{ArrivedRequest, RouterCommand, RunFault};

/// Factor by which the expected wait must exceed the patience before a request is refused.
const REFUSAL_MARGIN: u32 = 2;
/// Longest pause of a request that waits for the retry budget.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Shortest time after which a caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time after which a caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

impl RouterCore {
    pub(super) fn take_request(
        &mut self,
        now: MonotonicTime,
        request: ArrivedRequest,
        commands: &mut Vec<RouterCommand>,
    ) {
        if self.requests.contains_key(&request.id) {
            let message = format!("request {} arrived twice", request.id);
            commands.push(RouterCommand::ReportViolation { message });
            return;
        }
        if let Some(kind) = self.refusal(now, &request) {
            let retry_after = self.retry_after(now, &request);
            commands.push(RouterCommand::Answer { request: request.id, kind, retry_after });
            return;
        }
        let id = request.id;
        let entry = RequestEntry {
            estimate: self.estimator.predict(request.customer, request.class, request.hint),
            stage: RequestStage::Waiting,
            attempt: 0,
            crashes: 0,
            refusals: 0,
            deadline: now.after(request.patience),
            timer: None,
            pause: self.policy.widen_after,
            holders: AgentList::new(),
            runner: None,
            may_have_run: false,
            arrived: now,
            request,
        };
        self.timers.insert((entry.deadline, id, TimerKind::Deadline));
        self.requests.insert(id, entry);
        self.budget.earn();
        self.enqueue(now, id, commands);
    }

    pub(super) fn cancel(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        self.remove(now, request, commands);
    }

    /// The first grant of the present attempt wins; every other one is declined.
    pub(super) fn take_grant(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        offer: OfferId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let is_wanted = self.requests.get(&offer.request).is_some_and(|entry| {
            entry.stage == RequestStage::Waiting
                && entry.attempt == offer.attempt
                && entry.holders.contains(&agent)
        });
        if !is_wanted {
            commands.push(RouterCommand::SendDecline { agent, offer });
            return;
        }
        let freed = self.dequeue(offer.request, Some(agent), commands);
        let Some(entry) = self.requests.get_mut(&offer.request) else {
            return;
        };
        if entry.runner.is_some() {
            let message = format!("request {} would run twice at a time", offer.request);
            commands.push(RouterCommand::ReportViolation { message });
            return;
        }
        entry.stage = RequestStage::Running;
        entry.runner = Some(agent);
        entry.may_have_run = true;
        let request = entry.request;
        self.clear_timer(offer.request);
        if let Some(link) = self.agents.get_mut(&agent) {
            link.running += 1;
        }
        if let Some(pool) = self.services.get_mut(&request.service) {
            pool.load += 1;
            if let Some(queue) = pool.queues.get_mut(&request.customer) {
                queue.note_start(now);
            }
        }
        commands.push(RouterCommand::StartRun { agent, offer });
        let lane = CustomerQueue::lane_index(request.class);
        self.refill(now, request.service, request.customer, lane, &freed, commands);
        self.drop_empty_queue(&request);
    }

    pub(super) fn complete_run(
        &mut self,
        request: RequestId,
        units: WorkUnits,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        if entry.stage != RequestStage::Running {
            let message = format!("request {request} was completed without a run");
            commands.push(RouterCommand::ReportViolation { message });
            return;
        }
        let arrived = entry.request;
        self.estimator.observe(arrived.customer, arrived.class, arrived.hint, units);
        self.end_run(request);
        self.forget(request);
    }

    pub(super) fn fail_run(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        fault: RunFault,
        repeatable: bool,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        if entry.stage != RequestStage::Running {
            return;
        }
        self.end_run(request);
        match fault {
            RunFault::Refused(kind) => self.take_refusal(now, request, kind, commands),
            RunFault::Interrupted | RunFault::TargetCrashed => {
                let Some(entry) = self.requests.get_mut(&request) else {
                    return;
                };
                entry.crashes += u32::from(fault == RunFault::TargetCrashed);
                entry.attempt += 1;
                let is_spent = entry.attempt >= self.policy.max_attempts
                    || entry.crashes >= self.policy.max_crashes;
                if repeatable && !is_spent && now >= entry.deadline {
                    self.finish(now, request, ErrorKind::DeadlineUnreachable, commands);
                } else if repeatable && !is_spent {
                    self.pause(now, request, self.policy.retry_backoff);
                } else {
                    self.finish(now, request, ErrorKind::Interrupted, commands);
                }
            }
        }
    }

    pub(super) fn fire_timers(&mut self, now: MonotonicTime, commands: &mut Vec<RouterCommand>) {
        while let Some((time, request, kind)) = self.timers.first().copied() {
            if time > now {
                return;
            }
            self.timers.pop_first();
            match kind {
                TimerKind::Deadline => self.pass_deadline(now, request, commands),
                TimerKind::Widen => self.widen(now, request, commands),
                TimerKind::Retry => self.retry(now, request, commands),
            }
        }
    }

    /// Answers a request that has not started in time; one that runs is let run.
    fn pass_deadline(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let is_running = |entry: &RequestEntry| entry.stage == RequestStage::Running;
        if !self.requests.get(&request).is_some_and(is_running) {
            self.finish(now, request, ErrorKind::DeadlineUnreachable, commands);
        }
    }

    pub(super) fn set_timer(&mut self, request: RequestId, time: MonotonicTime, kind: TimerKind) {
        self.clear_timer(request);
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.timer = Some((time, kind));
            self.timers.insert((time, request, kind));
        }
    }

    /// Gives the final answer, in the wording that what has happened allows.
    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: ErrorKind,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.remove(now, request, commands) else {
            return;
        };
        let is_known = kind.outcome() == RequestOutcome::Unknown;
        let kind = match kind {
            _ if is_known || !entry.may_have_run => kind,
            ErrorKind::DeadlineUnreachable => ErrorKind::DeadlineExceeded,
            _ => ErrorKind::Interrupted,
        };
        let retry_after = match kind.is_retryable() {
            true => self.retry_after(now, &entry.request),
            false => Duration::ZERO,
        };
        commands.push(RouterCommand::Answer { request, kind, retry_after });
    }

    fn refusal(&self, now: MonotonicTime, request: &ArrivedRequest) -> Option<ErrorKind> {
        if self.draining {
            return Some(ErrorKind::NotReady);
        }
        let waiting = self.waiting.get(&request.customer).copied().unwrap_or(0);
        if waiting >= request.queue_limit {
            return Some(ErrorKind::QueueFull);
        }
        let wait = self.expected_wait(now, request)?;
        let limit = request.patience.saturating_mul(REFUSAL_MARGIN);
        (wait > limit).then_some(ErrorKind::DeadlineUnreachable)
    }

    fn expected_wait(&self, now: MonotonicTime, request: &ArrivedRequest) -> Option<Duration> {
        let pool = self.services.get(&request.service)?;
        pool.queues.get(&request.customer)?.expected_wait(now)
    }

    fn retry_after(&self, now: MonotonicTime, request: &ArrivedRequest) -> Duration {
        let wait = self.expected_wait(now, request).unwrap_or(MIN_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn take_refusal(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: ErrorKind,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        // The refused attempt has not reached the target; an earlier one may have.
        entry.may_have_run = entry.attempt > entry.refusals;
        entry.refusals += 1;
        entry.attempt += 1;
        let is_passing =
            matches!(kind, ErrorKind::NotReady | ErrorKind::NoCapacity | ErrorKind::LinkFailed);
        if is_passing && now >= entry.deadline {
            self.finish(now, request, ErrorKind::DeadlineUnreachable, commands);
        } else if is_passing && entry.attempt < self.policy.max_attempts {
            self.pause(now, request, self.policy.retry_backoff);
        } else {
            self.finish(now, request, kind, commands);
        }
    }

    fn pause(&mut self, now: MonotonicTime, request: RequestId, pause: Duration) {
        let jitter = self.rng.random_range(50..=150);
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.stage = RequestStage::Paused;
        entry.pause = pause;
        self.set_timer(request, now.after(pause * jitter / 100), TimerKind::Retry);
    }

    fn retry(&mut self, now: MonotonicTime, request: RequestId, commands: &mut Vec<RouterCommand>) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.budget.spend() {
            let pause = (entry.pause * 2).min(MAX_RETRY_PAUSE);
            self.pause(now, request, pause);
            return;
        }
        entry.stage = RequestStage::Waiting;
        self.enqueue(now, request, commands);
    }

    fn enqueue(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let arrived = entry.request;
        let pool = self.services.entry(arrived.service).or_default();
        let queue = pool.queues.entry(arrived.customer).or_default();
        queue.lanes[CustomerQueue::lane_index(arrived.class)].unoffered.insert(request);
        *self.waiting.entry(arrived.customer).or_insert(0) += 1;
        self.offer_first(now, request, commands);
    }

    /// Takes a request out of its queue and withdraws its offers, but for the granted one;
    /// returns the agents that held them.
    fn dequeue(
        &mut self,
        request: RequestId,
        granter: Option<VmId>,
        commands: &mut Vec<RouterCommand>,
    ) -> AgentList {
        let Some(entry) = self.requests.get(&request) else {
            return AgentList::new();
        };
        let arrived = entry.request;
        let offer = OfferId { request, attempt: entry.attempt };
        let holders = entry.holders.clone();
        for agent in &holders {
            self.release_offer(request, *agent);
            if granter != Some(*agent) {
                commands.push(RouterCommand::SendWithdraw { agent: *agent, offer });
            }
        }
        if let Some(waiting) = self.waiting.get_mut(&arrived.customer) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(&arrived.customer);
            }
        }
        let lane = CustomerQueue::lane_index(arrived.class);
        if let Some(pool) = self.services.get_mut(&arrived.service)
            && let Some(queue) = pool.queues.get_mut(&arrived.customer)
        {
            queue.lanes[lane].unoffered.remove(&request);
        }
        holders
    }

    fn drop_empty_queue(&mut self, request: &ArrivedRequest) {
        let Some(pool) = self.services.get_mut(&request.service) else {
            return;
        };
        if pool.queues.get(&request.customer).is_some_and(|queue| queue.waiting() == 0) {
            pool.queues.remove(&request.customer);
        }
    }

    fn end_run(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(agent) = entry.runner.take() else {
            return;
        };
        let Some(link) = self.agents.get_mut(&agent) else {
            return;
        };
        // A link that was opened anew does not count the runs of the one before.
        if link.running == 0 {
            return;
        }
        link.running -= 1;
        if let Some(pool) = self.services.get_mut(&link.service) {
            pool.load -= 1;
        }
    }

    fn remove(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) -> Option<RequestEntry> {
        let arrived = self.requests.get(&request)?.request;
        if self.requests.get(&request)?.stage == RequestStage::Waiting {
            let freed = self.dequeue(request, None, commands);
            let lane = CustomerQueue::lane_index(arrived.class);
            self.refill(now, arrived.service, arrived.customer, lane, &freed, commands);
            self.drop_empty_queue(&arrived);
        }
        self.end_run(request);
        self.forget(request)
    }

    fn forget(&mut self, request: RequestId) -> Option<RequestEntry> {
        self.clear_timer(request);
        let entry = self.requests.remove(&request)?;
        self.timers.remove(&(entry.deadline, request, TimerKind::Deadline));
        Some(entry)
    }

    fn clear_timer(&mut self, request: RequestId) {
        if let Some(entry) = self.requests.get_mut(&request)
            && let Some((time, kind)) = entry.timer.take()
        {
            self.timers.remove(&(time, request, kind));
        }
    }
}
