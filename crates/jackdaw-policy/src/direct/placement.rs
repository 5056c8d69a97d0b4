//! Selection of a target for one request, or its refusal.
//!
//! Targets cache the shared prompt parts of requests that were sent to them before. The selection
//! weighs the wait at each target against the prefill that a target without the parts would have
//! to repeat. It refuses a request immediately if the wait would exceed the limit for its customer.

use std::time::Duration;

use jackdaw_base::plain_data;

use crate::direct::customers::customer_ledger::{ShareStatus, ShareTier};
use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_id::TargetId;
use crate::direct::targets::load_table::TargetLoad;

/// Weight of the prefill of shared parts relative to waiting: repeating it also delays the requests
/// behind.
const REPEATED_PREFILL_WEIGHT: f64 = 12.0;

/// Weight of the time to copy shared parts from another target, relative to waiting: it occupies the
/// links of both.
const COPY_WEIGHT: f64 = 2.0;

/// Cost of each running request at a target, as a wait, since it slows every step of the target.
const RUNNING_WAIT: Duration = Duration::from_micros(500);

/// Cost of a target in another failure domain, as a wait: traffic between domains is billed and
/// takes longer.
const DOMAIN_WAIT: Duration = Duration::from_millis(4);

/// Fraction of a target's slots that may be occupied.
const SLOT_FRACTION: f64 = 0.92;

/// Fraction of a target's memory that may be reserved by runs.
const MEMORY_FRACTION: f64 = 0.9;

/// Longest wait at a target for [`ShareTier::Owed`], and for all tiers without pressure, as a
/// fraction of the service's shortest latency objective. The rest of the objective is left for the
/// request's own prefill.
const OWED_WAIT_FRACTION: f64 = 0.6;
/// As [`OWED_WAIT_FRACTION`], for [`ShareTier::Surplus`] under full pressure.
const SURPLUS_WAIT_FRACTION: f64 = 0.15;

/// As [`OWED_WAIT_FRACTION`], for targets that are not candidates of the request: only a nearly
/// idle target repeats the prefill of shared parts.
const SPILL_WAIT_FRACTION: f64 = 0.06;

/// Moving average of the wait over all targets, as a fraction of the latency objective, at which
/// pressure rises above zero and at which it reaches one.
const PRESSURE_RANGE: (f64, f64) = (0.05, 0.2);

/// Pressure from which requests of customers above their share may go to the best-ranked target
/// only.
const SPILL_PRESSURE: f64 = 0.5;

/// Prefill within the window and in the queue of a target with running streams, as a fraction of the
/// pause objective, up to which a request may add its own where streams pause too long.
const BURST_FRACTION: f64 = 0.7;

/// As [`BURST_FRACTION`], for requests whose own prefill would leave less: long prompts are not
/// excluded from targets that are nearly idle.
const MIN_BURST_FRACTION: f64 = 0.05;

/// Factor applied to the longest wait for each priority step below the highest.
const RANK_FACTOR: f64 = 0.8;

/// Shortest and longest retry delay of a refused request: the time to drain a queue, and the window
/// over which customers' shares are computed.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// Requirements of one request.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Prompt of the request; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// Shortest latency objective among the service's routes.
    pub service_objective: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Share status of the customer.
    pub share: ShareStatus,
    /// Priority steps below the highest priority; zero is the highest.
    pub rank: u32,
    /// Whether the caller retries the request after a refusal.
    pub is_caller_retry: bool,
    /// Moving average of the wait at the service's targets.
    pub mean_wait: Duration,
    /// Longest pause between events of the service's streams, if prefill beside them is limited.
    pub stream_pause_limit: Option<Duration>,
    /// Time until the first target accepts requests again, if all that could be used asked for a
    /// pause.
    pub shortest_target_pause: Option<Duration>,
    /// Why there is no target if none can be used.
    pub no_target_reason: RefusalReason,
}

/// Properties of one target for the placement of one request.
#[derive(Debug, Clone)]
pub struct PlacementTarget {
    /// Identifier of the target.
    pub target: TargetId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Memory of the target in tokens; `None` for a plain service.
    pub memory_tokens: Option<u64>,
    /// Runs in progress at the target, from all routers.
    pub load: TargetLoad,
    /// Time for the prefill of all queued tokens.
    pub queue_time: Duration,
    /// Time that the target has spent on prefill within the last moments.
    pub recent_time: Duration,
    /// Tokens of the request that the target would have to prefill.
    pub prefill_tokens: u64,
    /// Time for the prefill of the request.
    pub prefill_time: Duration,
    /// Share of [`prefill_time`](Self::prefill_time) that is spent on shared parts.
    pub repeated_prefill_time: Duration,
    /// Time to copy shared parts from another target instead.
    pub copy_time: Duration,
    /// Target from which it copies them.
    pub cache_source: Option<TargetId>,
    /// Time to the first event in addition to prefill, or the service time of a plain target.
    pub base_time: Duration,
    /// Whether the target prefills clearly faster than the slow ones.
    pub is_fast: bool,
    /// Recent failure rate of requests to the target, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the target is in the router's failure domain.
    pub is_same_domain: bool,
    /// Whether the target is preferred for the request's shared part.
    pub is_candidate: bool,
}

plain_data! {
    copy
    /// Why a request is refused before any of it was sent to a target.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// No target of the service accepts requests.
        NoTarget,
        /// Every eligible target is full or its wait exceeds the limit.
        Overloaded,
        /// The customer is above its share and the targets are busy.
        OverShare,
        /// The request has crashed several targets.
        Quarantined,
        /// No target of the software version that began the stream is registered.
        VersionGone,
        /// It is not known which software version began the stream.
        VersionUnknown,
        /// The targets that could be used are cold, and this router has sent them its part.
        ColdTargets,
        /// All targets are in failure domains that are out of use.
        Evacuated,
        /// No target is in the home regions of the route and the customer.
        NoHome,
    }
}

impl RefusalReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NoTarget => "no-target",
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::OverShare => "over-share",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::VersionGone => "version-gone",
            RefusalReason::VersionUnknown => "version-unknown",
            RefusalReason::ColdTargets => "cold-targets",
            RefusalReason::Evacuated => "evacuated",
            RefusalReason::NoHome => "no-home",
        }
    }
}

/// Decision on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Send the request to a target.
    Send {
        /// Target that receives the request.
        target: TargetId,
        /// Expected time to its first event or its response.
        expected: Duration,
        /// Tokens that the target is expected to prefill.
        prefill_tokens: u64,
        /// Target from which it can copy cached parts of the prompt.
        cache_source: Option<TargetId>,
    },
    /// Refuse the request.
    Refuse {
        /// Why the request is refused.
        reason: RefusalReason,
        /// Delay after which the caller should retry; zero if a retry is not known to help.
        retry_after: Duration,
    },
}

impl PlacementTarget {
    /// Returns the time until the target starts to process a new request.
    pub fn wait(&self) -> Duration {
        if self.memory_tokens.is_some() {
            return self.queue_time;
        }
        plain_wait(self.base_time, &self.load, self.slots)
    }

    /// Returns the expected time to the first event or the response.
    fn expected(&self) -> Duration {
        self.wait() + self.copy_time + self.prefill_time + self.base_time
    }

    /// Returns the cost by which targets are ranked, in microseconds.
    pub fn cost(&self) -> f64 {
        let mut cost = self.expected().as_micros() as f64;
        cost += REPEATED_PREFILL_WEIGHT * self.repeated_prefill_time.as_micros() as f64;
        cost += COPY_WEIGHT * self.copy_time.as_micros() as f64;
        match self.memory_tokens {
            Some(_) => cost += RUNNING_WAIT.as_micros() as f64 * f64::from(self.load.running),
            // A plain target with free slots has no queue; the less loaded one is preferred.
            None => cost += f64::from(self.load.runs()) * self.base_time.as_micros() as f64 / 10.0,
        }
        if !self.is_same_domain {
            cost += DOMAIN_WAIT.as_micros() as f64;
        }
        cost / (1.0 - self.failure_rate.min(0.95))
    }

    /// Returns whether the target can serve the request within a wait limit and before its deadline.
    fn accepts(&self, request: &PlacementRequest<'_>, limit: Duration) -> bool {
        self.wait() <= limit
            && self.expected() < request.time_left
            && self.has_room(request)
            && self.spares_streams(request)
    }

    /// Returns whether the request's prefill leaves the events of running streams on time. Prefill
    /// shortly before and in the queue delays the same events. Targets interleave prefill and events in
    /// small steps, so that the streams that pause too long are those of the slower targets.
    fn spares_streams(&self, request: &PlacementRequest<'_>) -> bool {
        let has_slow_streams = self.load.running > 0 && !self.is_fast;
        let Some(pause) = request.stream_pause_limit.filter(|_| has_slow_streams) else {
            return true;
        };
        let room = pause.mul_f64(BURST_FRACTION).saturating_sub(self.prefill_time);
        self.queue_time + self.recent_time <= room.max(pause.mul_f64(MIN_BURST_FRACTION))
    }

    fn placement(&self) -> Placement {
        Placement::Send {
            target: self.target,
            expected: self.expected(),
            prefill_tokens: self.prefill_tokens,
            cache_source: self.cache_source,
        }
    }

    fn has_room(&self, request: &PlacementRequest<'_>) -> bool {
        let Some(memory) = self.memory_tokens else {
            return true;
        };
        let needed = request.prompt.map_or(0, PromptShape::memory_tokens);
        let has_slot = f64::from(self.load.runs() + 1) <= SLOT_FRACTION * f64::from(self.slots);
        let is_empty = self.load.runs() == 0;
        let has_memory = (self.load.memory_tokens + needed) as f64
            <= MEMORY_FRACTION * memory as f64
            || is_empty;
        has_slot && has_memory
    }
}

/// Returns the time until a plain target starts to process a new request.
pub fn plain_wait(service_time: Duration, load: &TargetLoad, slots: u32) -> Duration {
    let ahead = (load.runs() + 1).saturating_sub(slots);
    service_time * ahead / slots.max(1)
}

/// Limits that the customer's share and the pressure on the fleet set for one request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementLimits {
    /// Longest wait at a candidate of the request.
    wait: Duration,
    /// Longest wait at any other target.
    spill_wait: Duration,
    /// Whether only the best-ranked target may be used.
    is_first_only: bool,
}

impl PlacementLimits {
    /// Determines the limits of a request.
    pub fn new(request: &PlacementRequest<'_>) -> PlacementLimits {
        let pressure = pressure(request);
        let wait = wait_limit(request, pressure);
        PlacementLimits {
            wait,
            spill_wait: request.service_objective.mul_f64(SPILL_WAIT_FRACTION).min(wait),
            // Under pressure, only customers within their share may use more than the first target.
            is_first_only: pressure >= SPILL_PRESSURE && request.share.tier != ShareTier::Owed,
        }
    }

    /// Returns whether the request may go to a target that is not one of its candidates.
    pub fn allows_spill(&self) -> bool {
        !self.is_first_only
    }

    /// Returns whether a target that is not a candidate is idle enough for the request. The check
    /// needs none of the properties that are costly to determine.
    pub fn allows_spill_wait(&self, wait: Duration) -> bool {
        wait <= self.spill_wait
    }
}

/// Chooses a target for a request among `targets`, which must be usable, or refuses the request.
pub fn choose_target(request: &PlacementRequest<'_>, targets: &[PlacementTarget]) -> Placement {
    let limits = PlacementLimits::new(request);
    let (candidates, others): (Vec<_>, Vec<_>) =
        targets.iter().cloned().partition(|target| target.is_candidate);
    choose_candidate(request, &limits, &candidates)
        .or_else(|| choose_spill_target(request, &limits, others.iter().cloned()))
        .unwrap_or_else(|| refuse(request, &limits, &candidates))
}

/// Chooses the best-ranked candidate that has room for the request and whose wait is within the
/// limit.
pub fn choose_candidate(
    request: &PlacementRequest<'_>,
    limits: &PlacementLimits,
    candidates: &[PlacementTarget],
) -> Option<Placement> {
    let mut ranked: Vec<(f64, &PlacementTarget)> =
        candidates.iter().map(|target| (target.cost(), target)).collect();
    ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let eligible = if limits.is_first_only { 1 } else { ranked.len() };
    let mut eligible = ranked.into_iter().take(eligible).map(|(_, target)| target);
    let chosen = eligible.find(|target| target.accepts(request, limits.wait))?;
    Some(chosen.placement())
}

/// Chooses the best-ranked of the targets that are not candidates, if the request may use one.
pub fn choose_spill_target(
    request: &PlacementRequest<'_>,
    limits: &PlacementLimits,
    targets: impl Iterator<Item = PlacementTarget>,
) -> Option<Placement> {
    if !limits.allows_spill() {
        return None;
    }
    let accepting = targets.filter(|target| target.accepts(request, limits.spill_wait));
    let ranked = accepting.map(|target| (target.cost(), target));
    let best = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, target)| target.placement())
}

/// Refuses a request that no target accepts. The retry delay follows from the best candidate.
pub fn refuse(
    request: &PlacementRequest<'_>,
    limits: &PlacementLimits,
    candidates: &[PlacementTarget],
) -> Placement {
    let (shortest, longest) = RETRY_RANGE;
    let best = candidates.iter().min_by(|a, b| a.cost().total_cmp(&b.cost()));
    let Some(best) = best else {
        let retry_after = match request.shortest_target_pause {
            Some(pause) => pause.max(shortest),
            None => longest / 4,
        };
        return Placement::Refuse { reason: request.no_target_reason, retry_after };
    };
    if request.share.tier != ShareTier::Owed {
        let delay = Duration::from_secs(1).mul_f64(request.share.share_used.min(4.0));
        let retry_after = delay.clamp(shortest, longest);
        return Placement::Refuse { reason: RefusalReason::OverShare, retry_after };
    }
    let over_limit = best.wait().saturating_sub(limits.wait / 2);
    let retry_after = over_limit.clamp(shortest, longest);
    Placement::Refuse { reason: RefusalReason::Overloaded, retry_after }
}

/// Returns the pressure on the fleet over the last seconds, from 0 to 1.
fn pressure(request: &PlacementRequest<'_>) -> f64 {
    let objective = request.service_objective.as_secs_f64().max(f64::MIN_POSITIVE);
    let wait = request.mean_wait.as_secs_f64() / objective;
    let (low, high) = PRESSURE_RANGE;
    ((wait - low) / (high - low)).clamp(0.0, 1.0)
}

/// Returns the longest wait that a request may have at a target: equal for all tiers without
/// pressure, and dependent on the customer's tier under pressure.
fn wait_limit(request: &PlacementRequest<'_>, pressure: f64) -> Duration {
    let tier_fraction = match request.share.tier {
        ShareTier::Owed => OWED_WAIT_FRACTION,
        // A retry is already late; requests that can still be on time go first.
        ShareTier::Surplus if request.is_caller_retry => 0.0,
        ShareTier::Surplus => SURPLUS_WAIT_FRACTION,
        // A customer far above its share sends so many requests that they would fill every short
        // queue.
        ShareTier::Excess => 0.0,
    };
    let fraction = OWED_WAIT_FRACTION + pressure * (tier_fraction - OWED_WAIT_FRACTION);
    let factor = fraction * RANK_FACTOR.powi(request.rank.min(8) as i32);
    request.service_objective.mul_f64(factor)
}
