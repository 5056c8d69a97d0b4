//! Derives the input of one placement decision from the router's state.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};

use crate::direct::direct_router::{DirectRequest, DirectRouter};
use crate::direct::placement::{PlacementRequest, PlacementTarget};
use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_table::{TargetEntry, TargetId};
use crate::rendezvous::rendezvous_top;

/// Latency objective of services whose routes configure none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);

/// Number of targets that are preferred for requests with the same shared prompt part.
const CANDIDATE_TARGETS: usize = 2;

impl DirectRouter {
    pub(super) fn placement_request<'a>(
        &mut self,
        now: MonotonicTime,
        request: &DirectRequest<'a>,
        mean_wait: Duration,
    ) -> PlacementRequest<'a> {
        let share = self.share_status(now, request.customer);
        let table = self.table.as_ref();
        let objective = table.and_then(|table| table.service_objective(request.service));
        PlacementRequest {
            prompt: request.prompt,
            service_objective: objective.unwrap_or(DEFAULT_OBJECTIVE),
            time_left: request.time_left,
            share,
            rank: request.rank,
            is_caller_retry: self.refusals.is_caller_retry(now, request.fingerprint),
            mean_wait,
        }
    }

    /// Updates the running mean of the wait at a service's targets and returns it.
    pub(super) fn update_mean_wait(
        &mut self,
        now: MonotonicTime,
        service: &str,
        targets: &[PlacementTarget],
    ) -> Duration {
        let total: Duration = targets.iter().map(PlacementTarget::wait).sum();
        let mean = total / targets.len().max(1) as u32;
        match self.mean_waits.get_mut(service) {
            Some(wait) => wait.observe(now, mean),
            None => {
                let wait = self.mean_waits.entry(service.to_owned()).or_default();
                wait.observe(now, mean)
            }
        }
    }

    pub(super) fn placement_targets(
        &self,
        now: MonotonicTime,
        request: &DirectRequest<'_>,
        tried: &[TargetId],
    ) -> Vec<PlacementTarget> {
        let service = self.table.as_ref().and_then(|table| table.service(request.service));
        let memory_tokens = service.and_then(|service| service.memory_tokens);
        let usable = self.targets.ready_targets(request.service).map(TargetEntry::id);
        let usable: Vec<TargetId> = usable
            .filter(|target| !tried.contains(target) && self.health.is_usable(now, *target))
            .collect();
        let candidates = candidate_targets(request.prompt, usable.clone());
        let entries = self.targets.ready_targets(request.service);
        entries
            .filter(|entry| usable.contains(&entry.id()))
            .map(|entry| self.placement_target(now, request, entry, memory_tokens, &candidates))
            .collect()
    }

    fn placement_target(
        &self,
        now: MonotonicTime,
        request: &DirectRequest<'_>,
        entry: &TargetEntry,
        memory_tokens: Option<u64>,
        candidates: &[TargetId],
    ) -> PlacementTarget {
        let target = entry.id();
        let is_home = candidates.first() == Some(&target);
        let load = self.loads.load(target);
        let missing = request
            .prompt
            .map_or(0, |prompt| self.prefixes.missing_tokens(now, target, prompt, is_home));
        let own = request.prompt.map_or(0, |prompt| u64::from(prompt.own_tokens()));
        let base_time = match memory_tokens {
            Some(_) => self.speeds.first_event_overhead(),
            None => self.speeds.service_time(target),
        };
        PlacementTarget {
            target,
            slots: entry.slots,
            memory_tokens,
            load,
            queue_time: self.speeds.prefill_time(target, load.queued_tokens),
            prefill_tokens: own + missing,
            prefill_time: self.speeds.prefill_time(target, own + missing),
            repeated_prefill_time: self.speeds.prefill_time(target, missing),
            base_time,
            failure_rate: self.health.failure_rate(now, target),
            is_same_domain: entry.domain == self.policy.domain,
            is_candidate: candidates.contains(&target),
        }
    }
}

/// Returns the preferred targets of a request, its home target first.
///
/// Rendezvous hashing makes all routers prefer the same few targets for requests with the same
/// shared part, so that its prefill is done only there. For requests without prompt parts all
/// targets are equal.
fn candidate_targets(prompt: Option<&PromptShape>, usable: Vec<TargetId>) -> Vec<TargetId> {
    let Some(part) = prompt.and_then(PromptShape::shared_part) else {
        return usable;
    };
    let nodes: Vec<VmId> = usable.into_iter().map(|target| VmId(target.0)).collect();
    let top = rendezvous_top(part.id, &nodes, CANDIDATE_TARGETS);
    top.into_iter().map(|node| TargetId(node.0)).collect()
}
