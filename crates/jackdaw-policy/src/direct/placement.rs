//! Choice of a target for one request, or its refusal.
//!
//! A prompt's shared parts lie where requests with them were sent before. The choice weighs the
//! wait at each target against the reading that a target without the parts would repeat, and
//! refuses at once where the wait would grow beyond what the customer may cause.
//!
//! The weights and parts come from the comparison in `docs/HEAVY-DAYS.md`.

use std::time::Duration;

use jackdaw_base::plain_data;

use crate::direct::customer_ledger::{ShareStatus, ShareTier};
use crate::direct::load_table::TargetLoad;
use crate::direct::prompt_shape::PromptShape;
use crate::direct::target_table::TargetId;

/// Weight of reading shared parts again against waiting: it costs the requests behind as well.
const REREAD_WEIGHT: f64 = 12.0;

/// Wait that a run in progress stands for, since it slows every step of its target.
const RUNNING_WAIT: Duration = Duration::from_micros(500);

/// Wait that another failure domain stands for: its bytes are priced and its way is longer.
const DOMAIN_WAIT: Duration = Duration::from_millis(4);

/// Part of a target's slots that requests may take.
const SLOT_PART: f64 = 0.92;

/// Part of a target's memory that runs may need.
const MEMORY_PART: f64 = 0.9;

/// Parts of the service's shortest latency objective that requests may wait at a target, by the
/// tier of their customer; what is owed leaves the rest of the objective for its own reading.
const OWED_WAIT_PART: f64 = 0.6;
/// As [`OWED_WAIT_PART`], for surplus.
const SURPLUS_WAIT_PART: f64 = 0.15;

/// The same at targets where the request's shared parts do not lie: only such as are all but
/// idle read them once more.
const SPILL_WAIT_PART: f64 = 0.06;

/// Mean wait over all targets and some seconds, in parts of the objective, from which the fleet
/// counts as under pressure, and at which the pressure is full.
const PRESSURE_RANGE: (f64, f64) = (0.05, 0.2);

/// Pressure up to which requests beyond their customer's share go to other targets than the first
/// of their shared part.
const SPILL_PRESSURE: f64 = 0.5;

/// Factor of the wait for each rank below the first.
const RANK_FACTOR: f64 = 0.8;

/// Bounds of the time after which a refused caller may come back: a queue's length, and the window
/// in which customers' shares are kept.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));

/// What a request needs of a target.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// The prompt; `None` for a plain service.
    pub prompt: Option<&'a PromptShape>,
    /// The shortest latency objective among the service's routes.
    pub service_objective: Duration,
    /// The time that the caller still waits.
    pub time_left: Duration,
    /// What the customer has had.
    pub share: ShareStatus,
    /// The steps by which the request ranks below the first.
    pub rank: u32,
    /// Whether the request comes back after a refusal.
    pub is_caller_retry: bool,
    /// The mean wait at the service's targets over the last seconds.
    pub mean_wait: Duration,
}

/// A target as the choice sees it.
#[derive(Debug, Clone)]
pub struct PlacementTarget {
    /// The target.
    pub target: TargetId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The tokens that it keeps; `None` for a plain service.
    pub memory_tokens: Option<u64>,
    /// Its unfinished runs from all routers.
    pub load: TargetLoad,
    /// The time in which it reads what is queued.
    pub queue_time: Duration,
    /// The tokens of the request that it would have to read.
    pub prefill_tokens: u64,
    /// The time in which it reads them.
    pub prefill_time: Duration,
    /// The part of that time that goes into shared parts.
    pub repeated_prefill_time: Duration,
    /// The time to the first event beyond reading, or the service time of a plain target.
    pub base_time: Duration,
    /// The share of requests that lately failed there.
    pub failure_rate: f64,
    /// Whether it is in the router's failure domain.
    pub is_same_domain: bool,
    /// Whether requests with the same shared part are brought together here.
    pub is_candidate: bool,
}

plain_data! {
    copy
    /// Why a request is refused before anything of it was sent.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// No target of the service takes requests.
        NoTarget,
        /// Every target's queue is as long as it may get.
        Overloaded,
        /// The customer has had its share and the targets are busy.
        OverShare,
        /// The request is known to crash targets.
        Quarantined,
    }
}

/// What is done with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// It goes to a target.
    Send {
        /// The target.
        target: TargetId,
        /// The expected time to its first event or answer.
        expected: Duration,
        /// The tokens that the target is expected to read.
        prefill_tokens: u64,
    },
    /// It is refused.
    Refuse {
        /// The reason.
        reason: RefusalReason,
        /// The time after which there should be room for it.
        retry_after: Duration,
    },
}

impl PlacementTarget {
    /// Returns the time that a request waits before the target begins to read it.
    pub fn wait(&self) -> Duration {
        if self.memory_tokens.is_some() {
            return self.queue_time;
        }
        let ahead = (self.load.runs() + 1).saturating_sub(self.slots);
        self.base_time * ahead / self.slots.max(1)
    }

    /// Returns the expected time to the first event or the answer.
    fn expected(&self) -> Duration {
        self.wait() + self.prefill_time + self.base_time
    }

    /// Returns the cost by which targets are compared, in microseconds.
    fn cost(&self) -> f64 {
        let mut cost = self.expected().as_micros() as f64;
        cost += REREAD_WEIGHT * self.repeated_prefill_time.as_micros() as f64;
        match self.memory_tokens {
            Some(_) => cost += RUNNING_WAIT.as_micros() as f64 * f64::from(self.load.running),
            // Below its slots a plain target has no queue; the emptier one goes first.
            None => cost += f64::from(self.load.runs()) * self.base_time.as_micros() as f64 / 10.0,
        }
        if !self.is_same_domain {
            cost += DOMAIN_WAIT.as_micros() as f64;
        }
        cost / (1.0 - self.failure_rate.min(0.95))
    }

    fn has_room(&self, request: &PlacementRequest<'_>) -> bool {
        let Some(memory) = self.memory_tokens else {
            return true;
        };
        let needed = request.prompt.map_or(0, PromptShape::memory_tokens);
        let has_slot = f64::from(self.load.runs() + 1) <= SLOT_PART * f64::from(self.slots);
        let is_alone = self.load.runs() == 0;
        let has_memory =
            (self.load.memory_tokens + needed) as f64 <= MEMORY_PART * memory as f64 || is_alone;
        has_slot && has_memory
    }
}

/// Chooses a target for a request among those that are usable.
pub fn choose_target(request: &PlacementRequest<'_>, targets: &[PlacementTarget]) -> Placement {
    let mut ranked: Vec<&PlacementTarget> = targets.iter().collect();
    ranked.sort_by(|a, b| b.is_candidate.cmp(&a.is_candidate).then(a.cost().total_cmp(&b.cost())));
    let Some(best) = ranked.first() else {
        let (_, longest) = RETRY_RANGE;
        return Placement::Refuse { reason: RefusalReason::NoTarget, retry_after: longest / 4 };
    };
    let pressure = pressure(request);
    let limit = wait_limit(request, pressure);
    let spill_limit = request.service_objective.mul_f64(SPILL_WAIT_PART).min(limit);
    // Under pressure only what is owed may go to other targets than its first.
    let is_first_only = pressure >= SPILL_PRESSURE && request.share.tier != ShareTier::Owed;
    let tried = if is_first_only { 1 } else { ranked.len() };
    for target in ranked.iter().take(tried) {
        let limit = if target.is_candidate { limit } else { spill_limit };
        let fits_time = target.expected() < request.time_left;
        if target.has_room(request) && fits_time && target.wait() <= limit {
            return Placement::Send {
                target: target.target,
                expected: target.expected(),
                prefill_tokens: target.prefill_tokens,
            };
        }
    }
    refuse(request, best, limit)
}

/// Returns how busy the fleet has been for some seconds, from 0 to 1.
fn pressure(request: &PlacementRequest<'_>) -> f64 {
    let objective = request.service_objective.as_secs_f64().max(f64::MIN_POSITIVE);
    let wait = request.mean_wait.as_secs_f64() / objective;
    let (from, to) = PRESSURE_RANGE;
    ((wait - from) / (to - from)).clamp(0.0, 1.0)
}

/// Returns how long a request may wait at a target: the same for all while the fleet has room,
/// and by the tier of its customer under pressure.
fn wait_limit(request: &PlacementRequest<'_>, pressure: f64) -> Duration {
    let tier_part = match request.share.tier {
        ShareTier::Owed => OWED_WAIT_PART,
        // It is late already; requests that can still be on time go first.
        ShareTier::Surplus if request.is_caller_retry => 0.0,
        ShareTier::Surplus => SURPLUS_WAIT_PART,
        // A customer far beyond its share has so many tries that it would find each short queue.
        ShareTier::Excess => 0.0,
    };
    let part = OWED_WAIT_PART + pressure * (tier_part - OWED_WAIT_PART);
    let factor = part * RANK_FACTOR.powi(request.rank.min(8) as i32);
    request.service_objective.mul_f64(factor)
}

fn refuse(request: &PlacementRequest<'_>, best: &PlacementTarget, limit: Duration) -> Placement {
    let (shortest, longest) = RETRY_RANGE;
    if request.share.tier != ShareTier::Owed {
        let after = Duration::from_secs(1).mul_f64(request.share.share_used.min(4.0));
        let retry_after = after.clamp(shortest, longest);
        return Placement::Refuse { reason: RefusalReason::OverShare, retry_after };
    }
    let over = best.wait().saturating_sub(limit / 2);
    let retry_after = over.clamp(shortest, longest);
    Placement::Refuse { reason: RefusalReason::Overloaded, retry_after }
}
