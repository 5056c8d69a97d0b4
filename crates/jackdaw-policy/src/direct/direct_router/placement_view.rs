//! What a router's beliefs amount to for the placement of one request.

use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};

use crate::direct::direct_router::{ArrivedCall, DirectRouter};
use crate::direct::placement::{PlacementRequest, PlacementTarget};
use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_book::{TargetEntry, TargetId};
use crate::rendezvous::rendezvous_top;

/// Latency objective where no route states one.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);

/// Targets among which requests with one shared part are placed.
const CANDIDATE_TARGETS: usize = 2;

impl DirectRouter {
    pub(super) fn placement_request<'a>(
        &mut self,
        now: MonotonicTime,
        call: &ArrivedCall<'a>,
        fleet_wait: Duration,
    ) -> PlacementRequest<'a> {
        let standing = self.standing(now, call.customer);
        let table = self.table.as_ref();
        let objective = table.and_then(|table| table.service_objective(call.service));
        PlacementRequest {
            prompt: call.prompt,
            service_objective: objective.unwrap_or(DEFAULT_OBJECTIVE),
            time_left: call.time_left,
            standing,
            rank: call.rank,
            is_return: self.returns.is_return(now, call.fingerprint),
            fleet_wait,
        }
    }

    /// Takes in the waits at a service's targets; returns their mean over the last seconds.
    pub(super) fn observe_wait(
        &mut self,
        now: MonotonicTime,
        service: &str,
        targets: &[PlacementTarget],
    ) -> Duration {
        let total: Duration = targets.iter().map(PlacementTarget::wait).sum();
        let mean = total / targets.len().max(1) as u32;
        match self.fleet_waits.get_mut(service) {
            Some(wait) => wait.observe(now, mean),
            None => {
                let wait = self.fleet_waits.entry(service.to_owned()).or_default();
                wait.observe(now, mean)
            }
        }
    }

    pub(super) fn placement_targets(
        &self,
        now: MonotonicTime,
        call: &ArrivedCall<'_>,
        tried: &[TargetId],
    ) -> Vec<PlacementTarget> {
        let memory = self.table.as_ref().and_then(|table| table.service(call.service));
        let memory_tokens = memory.and_then(|service| service.memory_tokens);
        let usable = self.targets.ready_targets(call.service).map(TargetEntry::id);
        let usable: Vec<TargetId> = usable
            .filter(|target| !tried.contains(target) && self.health.is_usable(now, *target))
            .collect();
        let candidates = candidate_targets(call.prompt, usable.clone());
        let entries = self.targets.ready_targets(call.service);
        entries
            .filter(|entry| usable.contains(&entry.id()))
            .map(|entry| self.placement_target(now, call, entry, memory_tokens, &candidates))
            .collect()
    }

    fn placement_target(
        &self,
        now: MonotonicTime,
        call: &ArrivedCall<'_>,
        entry: &TargetEntry,
        memory_tokens: Option<u64>,
        candidates: &[TargetId],
    ) -> PlacementTarget {
        let target = entry.id();
        let is_home = candidates.first() == Some(&target);
        let load = self.loads.load(target);
        let missing = call
            .prompt
            .map_or(0, |prompt| self.prefixes.missing_tokens(now, target, prompt, is_home));
        let own = call.prompt.map_or(0, |prompt| u64::from(prompt.own_tokens()));
        let base_time = match memory_tokens {
            Some(_) => self.speeds.first_event_overhead(),
            None => self.speeds.service_time(target),
        };
        PlacementTarget {
            target,
            slots: entry.slots,
            memory_tokens,
            load,
            queue_time: self.speeds.reading_time(target, load.queued_tokens),
            read_tokens: own + missing,
            read_time: self.speeds.reading_time(target, own + missing),
            reread_time: self.speeds.reading_time(target, missing),
            base_time,
            failure_share: self.health.failure_share(now, target),
            is_near: entry.domain == self.policy.domain,
            is_candidate: candidates.contains(&target),
        }
    }
}

/// Returns the targets among which a request is placed, its home target first.
///
/// All routers bring requests with the same shared part together at the same few targets, so
/// that the part is read there once. Without shared parts every target will do.
fn candidate_targets(prompt: Option<&PromptShape>, usable: Vec<TargetId>) -> Vec<TargetId> {
    let Some(part) = prompt.and_then(PromptShape::shared_part) else {
        return usable;
    };
    let nodes: Vec<VmId> = usable.into_iter().map(|target| VmId(target.0)).collect();
    let top = rendezvous_top(part.id, &nodes, CANDIDATE_TARGETS);
    top.into_iter().map(|node| TargetId(node.0)).collect()
}
