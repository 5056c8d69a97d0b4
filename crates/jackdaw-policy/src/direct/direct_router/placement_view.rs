//! Derives the input of one placement decision from the router's state.

use std::rc::Rc;
use std::time::Duration;

use jackdaw_base::{MonotonicTime, VmId};
use smallvec::SmallVec;

use crate::direct::customers::customer_ledger::ShareTier;
use crate::direct::direct_router::target_ranking::{CANDIDATE_TARGETS, RankedTargets, TopTargets};
use crate::direct::direct_router::{DirectRequest, DirectRouter};
use crate::direct::fleet_config::{CacheTransfer, ColdStart};
use crate::direct::home_rule::HomeRule;
use crate::direct::placement::{
    Placement, PlacementLimits, PlacementRequest, PlacementTarget, RefusalReason, choose_candidate,
    choose_spill_target, plain_wait, refuse,
};
use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_id::TargetId;
use crate::direct::targets::software_version::VersionRule;
use crate::direct::targets::target_table::ReadyTarget;
use crate::rendezvous::rendezvous_weight;

/// Latency objective of services whose routes configure none.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(500);

/// Retry delay while it is not known which failure domains are out of use, which a router learns
/// shortly after its start.
const EVACUATION_RETRY: Duration = Duration::from_millis(500);

/// How much slower a cold target is assumed to be, which its service does not state.
const COLD_SLOWDOWN: f64 = 1.5;

impl DirectRouter {
    fn placement_request<'a>(
        &mut self,
        now: MonotonicTime,
        request: &DirectRequest<'a>,
        mean_wait: Duration,
    ) -> PlacementRequest<'a> {
        let mut share = self.share_status(now, request.customer);
        if request.version_rule != VersionRule::Any {
            // The stream was admitted when it began; refused now, its caller loses what it has.
            share.tier = ShareTier::Owed;
        }
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
            stream_pause_limit: self.stream_pause_limit(request.service),
            shortest_target_pause: None,
            no_target_reason: RefusalReason::NoTarget,
        }
    }

    /// Chooses a target or refuses the request. Targets that are not candidates are weighed only if
    /// no candidate accepts the request.
    pub(super) fn choose(
        &mut self,
        now: MonotonicTime,
        request: &DirectRequest<'_>,
        tried: &[TargetId],
    ) -> Placement {
        let ready = self.targets.ready(request.service);
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(request.service));
        let memory_tokens = service.and_then(|service| service.memory_tokens);
        let cold_start = service.and_then(|service| service.cold_start);
        let cache_transfer = service.and_then(|service| service.cache_transfer);
        let mean_wait = self.update_mean_wait(now, request.service, &ready, memory_tokens);
        let ready = match select_version(&ready, request.version_rule) {
            Ok(ready) => ready,
            // Another try does not help, as long as no target of the version registers.
            Err(reason) => return Placement::Refuse { reason, retry_after: Duration::ZERO },
        };
        if !self.knows_evacuations() {
            let reason = RefusalReason::NoTarget;
            return Placement::Refuse { reason, retry_after: EVACUATION_RETRY };
        }
        let ready = match self.select_homes(&ready, request.homes) {
            Some(ready) => ready,
            None => {
                let reason = RefusalReason::NoHome;
                return Placement::Refuse { reason, retry_after: Duration::ZERO };
            }
        };
        let mut placement_request = self.placement_request(now, request, mean_wait);
        let tier = placement_request.share.tier;
        let (placement, withheld) = {
            let view = PlacementView {
                router: self,
                now,
                request,
                tier,
                memory_tokens,
                cold_start: cold_start.filter(|_| !self.targets.cold().is_empty()),
                cache_transfer,
                ready: &ready,
                tried,
            };
            let limits = PlacementLimits::new(&placement_request);
            let RankedTargets { candidates: ranked, withheld } = view.rank_targets();
            if ranked.is_empty() {
                placement_request.shortest_target_pause = view.shortest_target_pause();
                placement_request.no_target_reason = view.no_target_reason();
            }
            let candidates: Vec<PlacementTarget> =
                ranked.iter().map(|target| view.placement_target(target, &ranked)).collect();
            let placement = choose_candidate(&placement_request, &limits, &candidates)
                .or_else(|| {
                    let others = view.spill_targets(&limits, &ranked);
                    choose_spill_target(&placement_request, &limits, others)
                })
                .unwrap_or_else(|| refuse(&placement_request, &limits, &candidates));
            (placement, withheld)
        };
        for target in withheld {
            self.limits.record_withheld(now, target, tier);
        }
        placement
    }

    /// Returns the ready targets in a request's home regions; `None` if the request may go to none of
    /// them and there are others.
    fn select_homes(
        &self,
        ready: &Rc<[ReadyTarget]>,
        homes: HomeRule<'_>,
    ) -> Option<Rc<[ReadyTarget]>> {
        if homes.is_open() {
            return Some(Rc::clone(ready));
        }
        let regions = &self.policy.regions;
        let at_home = ready.iter().filter(|target| homes.allows(regions, &target.domain));
        let at_home: Rc<[ReadyTarget]> = at_home.cloned().collect();
        (ready.is_empty() || !at_home.is_empty()).then_some(at_home)
    }

    /// Returns the longest pause of a service's streams while prefill beside them is limited.
    fn stream_pause_limit(&self, service: &str) -> Option<Duration> {
        self.stream_monitors.get(service).filter(|monitor| monitor.is_limiting())?;
        self.table.as_ref()?.pause_objective(service)
    }

    /// Updates the running mean of the wait at a service's usable targets and returns it.
    fn update_mean_wait(
        &mut self,
        now: MonotonicTime,
        service: &str,
        ready: &[ReadyTarget],
        memory_tokens: Option<u64>,
    ) -> Duration {
        if let Some(wait) = self.mean_waits.get(service).filter(|wait| !wait.is_due(now)) {
            return wait.current();
        }
        let usable = ready.iter().filter(|target| self.health.is_usable(now, target.id));
        let (total, count) = usable.fold((Duration::ZERO, 0), |(total, count), target| {
            (total + self.wait(target, memory_tokens), count + 1)
        });
        let mean = total / count.max(1);
        self.mean_waits.entry(service.to_owned()).or_default().observe(now, mean)
    }

    /// Returns the time until a target starts to process a new request.
    fn wait(&self, target: &ReadyTarget, memory_tokens: Option<u64>) -> Duration {
        let load = self.loads.load(target.id);
        match memory_tokens {
            Some(_) => self.speeds.prefill_time(target.id, load.queued_tokens),
            None => plain_wait(self.speeds.service_time(target.id), &load, target.slots),
        }
    }
}

/// Returns the targets whose version may serve a request.
///
/// # Errors
///
/// Why there is none, if that follows from the version alone.
fn select_version(
    ready: &Rc<[ReadyTarget]>,
    rule: VersionRule,
) -> Result<Rc<[ReadyTarget]>, RefusalReason> {
    match rule {
        VersionRule::Any => Ok(Rc::clone(ready)),
        VersionRule::Unknown => Err(RefusalReason::VersionUnknown),
        VersionRule::Only(_) => {
            let fitting = ready.iter().filter(|target| rule.allows(target.version));
            let fitting: Rc<[ReadyTarget]> = fitting.cloned().collect();
            match fitting.is_empty() {
                true => Err(RefusalReason::VersionGone),
                false => Ok(fitting),
            }
        }
    }
}

/// The state that the placement of one request depends on.
struct PlacementView<'a> {
    router: &'a DirectRouter,
    now: MonotonicTime,
    request: &'a DirectRequest<'a>,
    /// Tier of the request's customer.
    tier: ShareTier,
    /// Memory of the service's targets; `None` for a plain service.
    memory_tokens: Option<u64>,
    /// What the service's targets take while they are cold; `None` if none of them is.
    cold_start: Option<ColdStart>,
    /// How targets copy cached prompt parts from each other.
    cache_transfer: Option<CacheTransfer>,
    /// Ready targets of the service.
    ready: &'a [ReadyTarget],
    /// Targets to exclude.
    tried: &'a [TargetId],
}

impl<'a> PlacementView<'a> {
    fn is_usable(&self, target: TargetId) -> bool {
        self.is_healthy(target) && self.is_within_limit(target)
    }

    fn is_healthy(&self, target: TargetId) -> bool {
        !self.tried.contains(&target) && self.router.health.is_usable(self.now, target)
    }

    /// Returns how long a target stays cold; `None` if it is warm.
    fn cold_left(&self, target: TargetId) -> Option<Duration> {
        let duration = self.cold_start?.duration;
        let (left, _) = self.router.targets.cold().cold_left(self.now, target, duration)?;
        Some(left)
    }

    /// Returns whether a target takes one more request by the limit that it states, and by this
    /// router's part if it is cold.
    fn is_within_limit(&self, target: TargetId) -> bool {
        let router = self.router;
        if self.cold_left(target).is_some() {
            let is_settled = router.roster.is_settled(self.now);
            if !is_settled || !router.cold_shares.admits(self.now, target) {
                return false;
            }
        }
        if router.limits.is_empty() {
            return true;
        }
        let key = self.request.fingerprint ^ self.now.0 ^ target.0;
        let draw = rendezvous_weight(key, VmId(router.incarnation.0)) as f64 / u64::MAX as f64;
        router.limits.admits(self.now, target, self.tier, router.loads.peer_count(), draw)
    }

    /// Returns the preferred targets of the request.
    ///
    /// Rendezvous hashing makes all routers prefer the same few targets for requests with the same
    /// shared part, so that its prefill is done only there. For requests without prompt parts all
    /// targets are equal.
    fn rank_targets(&self) -> RankedTargets<'a> {
        let Some(part) = self.request.prompt.and_then(PromptShape::shared_part) else {
            let healthy = self.ready.iter().filter(|target| self.is_healthy(target.id));
            let (candidates, withheld): (_, SmallVec<[_; CANDIDATE_TARGETS]>) =
                healthy.partition(|target| self.is_within_limit(target.id));
            let withheld = withheld.into_iter().map(|target| target.id).collect();
            return RankedTargets { candidates, withheld };
        };
        let mut usable = TopTargets::default();
        // What the request would use if no target had a limit.
        let mut wanted = TopTargets::default();
        for target in self.ready {
            let weight = rendezvous_weight(part.id, VmId(target.id.0));
            // Usability is checked last, since it is needed for few targets only.
            if !usable.includes(weight) || !self.is_healthy(target.id) {
                continue;
            }
            wanted.insert(weight, target);
            if self.is_within_limit(target.id) {
                usable.insert(weight, target);
            }
        }
        let withheld = wanted.targets().filter(|target| !self.is_within_limit(target.id));
        RankedTargets {
            withheld: withheld.map(|target| target.id).collect(),
            candidates: usable.targets().collect(),
        }
    }

    /// Returns the shortest time until a ready target that asked for a pause or states a limit takes
    /// requests again.
    fn shortest_target_pause(&self) -> Option<Duration> {
        let left = |target: &ReadyTarget| {
            let pause = self.router.health.pause_left(self.now, target.id);
            let interval = self.router.limits.mean_interval(target.id);
            pause.max(interval).max(self.cold_left(target.id))
        };
        self.ready.iter().filter_map(left).min()
    }

    /// Returns why a request whose candidates all refuse it finds no target.
    fn no_target_reason(&self) -> RefusalReason {
        let is_cold = |target: &ReadyTarget| self.cold_left(target.id).is_some();
        if self.ready.iter().any(is_cold) {
            return RefusalReason::ColdTargets;
        }
        match self.router.targets.has_evacuated(self.request.service) {
            true => RefusalReason::Evacuated,
            false => RefusalReason::NoTarget,
        }
    }

    /// Returns the usable targets other than `candidates` that are idle enough for the request.
    fn spill_targets(
        &self,
        limits: &PlacementLimits,
        candidates: &[&ReadyTarget],
    ) -> impl Iterator<Item = PlacementTarget> {
        let is_candidate =
            |target: &ReadyTarget| candidates.iter().any(|candidate| candidate.id == target.id);
        let idle = self.ready.iter().filter(move |target| {
            limits.allows_spill_wait(self.router.wait(target, self.memory_tokens))
                && !is_candidate(target)
                && self.is_usable(target.id)
        });
        idle.map(|target| self.placement_target(target, candidates))
    }

    /// Returns the target from which `target` can copy shared parts of the prompt: the best-ranked
    /// other candidate. Caches of another software version are of no use.
    fn cache_source(&self, target: &ReadyTarget, candidates: &[&ReadyTarget]) -> Option<TargetId> {
        self.cache_transfer?;
        self.request.prompt.filter(|prompt| prompt.shared_tokens() > 0)?;
        let others = candidates.iter().filter(|candidate| candidate.id != target.id);
        let mut sources = others.filter(|candidate| candidate.version == target.version);
        sources.next().map(|source| source.id)
    }

    fn placement_target(
        &self,
        target: &ReadyTarget,
        candidates: &[&ReadyTarget],
    ) -> PlacementTarget {
        let router = self.router;
        let id = target.id;
        let is_home = candidates.first().is_some_and(|home| home.id == id);
        let load = router.loads.load(id);
        let prompt = self.request.prompt;
        let missing = prompt
            .map_or(0, |prompt| router.prefixes.missing_tokens(self.now, id, prompt, is_home));
        let own = prompt.map_or(0, |prompt| u64::from(prompt.own_tokens()));
        let cache_source = self.cache_source(target, candidates);
        let transfer = self.cache_transfer.filter(|_| cache_source.is_some());
        let (missing, copy_time) = match transfer {
            Some(transfer) => (0, transfer.time(missing)),
            None => (missing, Duration::ZERO),
        };
        let base_time = match self.memory_tokens {
            Some(_) => router.speeds.first_event_overhead(),
            None => router.speeds.service_time(id),
        };
        let slowdown = if self.cold_left(id).is_some() { COLD_SLOWDOWN } else { 1.0 };
        let prefill_time = |tokens| router.speeds.prefill_time(id, tokens).mul_f64(slowdown);
        PlacementTarget {
            target: id,
            slots: target.slots,
            memory_tokens: self.memory_tokens,
            load,
            queue_time: prefill_time(load.queued_tokens),
            recent_time: prefill_time(router.prefills.tokens(id)),
            prefill_tokens: own + missing,
            prefill_time: prefill_time(own + missing),
            repeated_prefill_time: prefill_time(missing),
            copy_time,
            cache_source,
            base_time: base_time.mul_f64(slowdown),
            is_fast: router.speeds.is_fast(id),
            failure_rate: router.health.failure_rate(self.now, id),
            is_same_domain: target.domain == router.policy.domain,
            is_candidate: candidates.iter().any(|candidate| candidate.id == id),
        }
    }
}
