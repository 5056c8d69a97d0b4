//! Life cycle of a request from arrival to its single answer.
//!
//! A request is answered as *not run* only if no run was started, or if the agent refused each started
//! run before it reached the target.

use std::time::Duration;

use jackdaw_base::{ErrorKind, MonotonicTime, OfferId, RequestId, RequestOutcome, VmId, WorkUnits};
use rand::Rng;

use super::customer_queue::CustomerQueue;
use super::{AgentList, RequestEntry, RequestStage, RouterCore, TimerKind};
use crate::event::{ArrivedRequest, RouterCommand, RunFault};

/// Ratio of expected wait to patience above which a request is rejected on arrival.
const ADMISSION_WAIT_FACTOR: u32 = 2;
/// Upper limit of the retry delay while the retry budget is empty, before jitter.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Lower limit of the retry-after time in an answer.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper limit of the retry-after time in an answer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

impl RouterCore {
    pub(super) fn admit_request(
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
        if let Some(kind) = self.admission_error(now, &request) {
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
            delay: self.policy.widen_after,
            holders: AgentList::new(),
            runner: None,
            may_have_run: false,
            arrived_at: now,
            request,
        };
        self.timers.insert((entry.deadline, id, TimerKind::Deadline));
        self.requests.insert(id, entry);
        self.budget.deposit();
        self.enqueue(now, id, commands);
    }

    pub(super) fn cancel_request(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) {
        self.remove_request(now, request, commands);
    }

    /// Starts a run on the first grant of the current attempt; declines every other grant.
    pub(super) fn handle_grant(
        &mut self,
        now: MonotonicTime,
        agent: VmId,
        offer: OfferId,
        commands: &mut Vec<RouterCommand>,
    ) {
        let is_current = self.requests.get(&offer.request).is_some_and(|entry| {
            entry.stage == RequestStage::Waiting
                && entry.attempt == offer.attempt
                && entry.holders.contains(&agent)
        });
        if !is_current {
            commands.push(RouterCommand::SendDecline { agent, offer });
            return;
        }
        let freed = self.dequeue(offer.request, Some(agent), commands);
        let Some(entry) = self.requests.get_mut(&offer.request) else {
            return;
        };
        if entry.runner.is_some() {
            let message = format!("request {} would run on two agents at once", offer.request);
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
                queue.record_start(now);
            }
        }
        commands.push(RouterCommand::StartRun { agent, offer });
        let lane = CustomerQueue::lane_index(request.class);
        self.offer_next(now, request.service, request.customer, lane, &freed, commands);
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
        self.remove_entry(request);
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
            RunFault::Refused(kind) => self.handle_refusal(now, request, kind, commands),
            RunFault::Interrupted | RunFault::TargetCrashed => {
                let Some(entry) = self.requests.get_mut(&request) else {
                    return;
                };
                entry.crashes += u32::from(fault == RunFault::TargetCrashed);
                entry.attempt += 1;
                let is_exhausted = entry.attempt >= self.policy.max_attempts
                    || entry.crashes >= self.policy.max_crashes;
                if repeatable && !is_exhausted && now >= entry.deadline {
                    self.finish(now, request, ErrorKind::DeadlineUnreachable, commands);
                } else if repeatable && !is_exhausted {
                    self.schedule_retry(now, request, self.policy.retry_backoff);
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
                TimerKind::Deadline => self.expire_deadline(now, request, commands),
                TimerKind::Widen => self.widen(now, request, commands),
                TimerKind::Retry => self.retry(now, request, commands),
            }
        }
    }

    /// Fails a request that has not started by its deadline; a running request continues.
    fn expire_deadline(
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

    /// Sends the final answer. If the request may have run, replaces a kind that states that it did
    /// not run by one that leaves this open.
    pub(super) fn finish(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: ErrorKind,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.remove_request(now, request, commands) else {
            return;
        };
        let is_unknown = kind.outcome() == RequestOutcome::Unknown;
        let kind = match kind {
            _ if is_unknown || !entry.may_have_run => kind,
            ErrorKind::DeadlineUnreachable => ErrorKind::DeadlineExceeded,
            _ => ErrorKind::Interrupted,
        };
        let retry_after = match kind.is_retryable() {
            true => self.retry_after(now, &entry.request),
            false => Duration::ZERO,
        };
        commands.push(RouterCommand::Answer { request, kind, retry_after });
    }

    fn admission_error(&self, now: MonotonicTime, request: &ArrivedRequest) -> Option<ErrorKind> {
        if self.draining {
            return Some(ErrorKind::NotReady);
        }
        let waiting = self.waiting.get(&request.customer).copied().unwrap_or(0);
        if waiting >= request.queue_limit {
            return Some(ErrorKind::QueueFull);
        }
        let wait = self.expected_wait(now, request)?;
        let limit = request.patience.saturating_mul(ADMISSION_WAIT_FACTOR);
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

    fn handle_refusal(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        kind: ErrorKind,
        commands: &mut Vec<RouterCommand>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        // The refused attempt did not reach the target, but an earlier one may have.
        entry.may_have_run = entry.attempt > entry.refusals;
        entry.refusals += 1;
        entry.attempt += 1;
        let is_transient =
            matches!(kind, ErrorKind::NotReady | ErrorKind::NoCapacity | ErrorKind::LinkFailed);
        if is_transient && now >= entry.deadline {
            self.finish(now, request, ErrorKind::DeadlineUnreachable, commands);
        } else if is_transient && entry.attempt < self.policy.max_attempts {
            self.schedule_retry(now, request, self.policy.retry_backoff);
        } else {
            self.finish(now, request, kind, commands);
        }
    }

    fn schedule_retry(&mut self, now: MonotonicTime, request: RequestId, delay: Duration) {
        let jitter = self.rng.random_range(50..=150);
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        entry.stage = RequestStage::Paused;
        entry.delay = delay;
        self.set_timer(request, now.after(delay * jitter / 100), TimerKind::Retry);
    }

    fn retry(&mut self, now: MonotonicTime, request: RequestId, commands: &mut Vec<RouterCommand>) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.budget.try_withdraw() {
            let delay = (entry.delay * 2).min(MAX_RETRY_DELAY);
            self.schedule_retry(now, request, delay);
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

    /// Removes a request from its queue and withdraws all offers except the one that `granter`
    /// granted; returns the agents that held offers.
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
        // A reopened link does not count the runs of its predecessor.
        if link.running == 0 {
            return;
        }
        link.running -= 1;
        if let Some(pool) = self.services.get_mut(&link.service) {
            pool.load -= 1;
        }
    }

    fn remove_request(
        &mut self,
        now: MonotonicTime,
        request: RequestId,
        commands: &mut Vec<RouterCommand>,
    ) -> Option<RequestEntry> {
        let arrived = self.requests.get(&request)?.request;
        if self.requests.get(&request)?.stage == RequestStage::Waiting {
            let freed = self.dequeue(request, None, commands);
            let lane = CustomerQueue::lane_index(arrived.class);
            self.offer_next(now, arrived.service, arrived.customer, lane, &freed, commands);
            self.drop_empty_queue(&arrived);
        }
        self.end_run(request);
        self.remove_entry(request)
    }

    fn remove_entry(&mut self, request: RequestId) -> Option<RequestEntry> {
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
