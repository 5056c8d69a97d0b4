//! State of an engine: the running batch, the queue of waiting requests and the tally.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdaw_base::plain_data;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EngineSettings;
use super::cache::PrefixCache;
use super::wire::{EngineOrder, LoadReport, OrderAction};

plain_data! {
    copy
    /// The requests and tokens of one user.
    #[derive(Default)]
    pub struct UserTally {
        /// The number of requests received.
        pub requests: u64,
        /// The number of tokens produced.
        pub tokens: u64,
        /// The number of requests in the batch.
        pub running: usize,
    }
}

plain_data! {
    copy
    /// The number of times an engine received one prompt.
    #[derive(Default)]
    pub struct PromptTally {
        /// The number of requests for the answer from its first event.
        pub starts: u32,
        /// The number of requests that resumed the answer at a later event.
        pub resumes: u32,
    }
}

plain_data! {
    /// An order with its result.
    pub struct OrderRecord {
        /// The order as received.
        pub order: EngineOrder,
        /// Whether it took effect.
        pub accepted: bool,
    }
}

plain_data! {
    /// Counters of an engine, whose size does not grow with the number of requests.
    #[derive(Default)]
    pub struct EngineUsage {
        /// The tokens and requests by user.
        pub users: BTreeMap<String, UserTally>,
        /// The number of requests in the batch.
        pub running: usize,
        /// The number of requests waiting in the engine's queue.
        pub queued: usize,
        /// The total time that requests spent in the batch, summed over its places.
        pub place_time: Duration,
        /// The time during which at least one request was in the batch.
        pub busy_time: Duration,
        /// The number of answers produced completely.
        pub completed: u64,
        /// The number of requests whose callers disconnected.
        pub cancelled: u64,
        /// The number of crashes.
        pub crashes: u32,
    }
}

plain_data! {
    /// The requests and orders that an engine received and what it did with them.
    #[derive(Default)]
    pub struct EngineTally {
        /// The counters.
        pub usage: EngineUsage,
        /// The received requests by prompt identifier.
        pub prompts: BTreeMap<u64, PromptTally>,
        /// The arrival time of each request in microseconds since the Unix epoch.
        pub arrivals: Vec<u64>,
        /// The orders in the order of their arrival.
        pub orders: Vec<OrderRecord>,
        /// The models served; empty for every model.
        pub models: Vec<String>,
    }
}

/// A request in the queue or in the batch.
pub(super) struct EngineRun {
    /// The customer's name.
    pub(super) user: String,
    /// The identifier (hash) of the prompt.
    pub(super) prompt: u64,
    /// The hash of the prompt's prefix.
    pub(super) prefix: u64,
    /// The number of tokens to prefill before the first token is produced.
    pub(super) prompt_tokens: u32,
    /// The number of prompt tokens in the prefix.
    pub(super) prefix_tokens: u32,
    /// The number of tokens left to produce.
    pub(super) remaining: u32,
    /// Whether the run resumes an answer after its first event.
    pub(super) is_resumed: bool,
    /// Whether the prompt contains the crash marker.
    pub(super) has_crash_marker: bool,
    /// Sends one message per token. The receiver sees the channel close before the last token
    /// only after a crash.
    pub(super) tokens: mpsc::UnboundedSender<()>,
    /// The time at which the prompt is prefilled; set on admission to the batch.
    pub(super) prefilled_at: Instant,
    /// The part of the step in which the run gets its token; set on admission to the batch.
    pub(super) slot: u32,
}

/// The running batch of an engine and its queue.
pub(super) struct EngineBatch {
    /// The requests in the batch.
    running: Vec<EngineRun>,
    /// The waiting requests in order of arrival.
    queue: VecDeque<EngineRun>,
    pub(super) cache: PrefixCache,
    /// The models served; empty for every model.
    models: Vec<String>,
    /// The highest fencing number accepted.
    highest_fencing: u64,
    /// The history of load changes that `load_lag` needs, oldest first.
    loads: VecDeque<(Instant, LoadReport)>,
    /// The time up to which the busy times of the tally are accounted for.
    accounted_until: Instant,
    /// The tally; `tally` and `usage` update the fields that describe the present state.
    tally: EngineTally,
    /// The maximum number of requests in the batch.
    max_size: usize,
    /// The base duration of a step.
    step_base: Duration,
    /// The time that each running request adds to a step.
    step_per_request: Duration,
    /// The number of parts of a step.
    slots: u32,
    /// The current part of the step.
    slot: u32,
    /// The prefill time per uncached prompt token.
    prefill_per_token: Duration,
    /// The age of the reported load.
    load_lag: Duration,
    /// Whether orders with an outdated fencing number are rejected.
    checks_fencing: bool,
}

impl EngineBatch {
    /// Creates an empty batch.
    pub(super) fn new(settings: &EngineSettings) -> EngineBatch {
        EngineBatch {
            running: Vec::new(),
            queue: VecDeque::new(),
            cache: PrefixCache::new(
                settings.max_cached_prefixes,
                settings.cache_event_loss_percent,
                settings.seed,
            ),
            models: settings.models.clone(),
            highest_fencing: 0,
            loads: VecDeque::new(),
            accounted_until: Instant::now(),
            tally: EngineTally::default(),
            max_size: settings.max_batch_size,
            step_base: settings.step_base,
            step_per_request: settings.step_per_request,
            slots: settings.step_slots.max(1),
            slot: 0,
            prefill_per_token: settings.prefill_per_token,
            load_lag: settings.load_lag,
            checks_fencing: settings.checks_fencing,
        }
    }

    /// Returns whether the engine serves a model.
    pub(super) fn serves_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|served| served == model)
    }

    /// Counts a request and appends it to the queue.
    pub(super) fn enqueue(&mut self, run: EngineRun, now: Instant) {
        let user = self.tally.usage.users.entry(run.user.clone()).or_default();
        user.requests += 1;
        let prompt = self.tally.prompts.entry(run.prompt).or_default();
        if run.is_resumed {
            prompt.resumes += 1;
        } else {
            prompt.starts += 1;
        }
        self.tally.arrivals.push(unix_micros());
        self.queue.push_back(run);
        self.record_load(now);
    }

    /// Admits waiting requests to the batch and returns the duration of the next part of the
    /// step, or `None` if the batch is empty.
    pub(super) fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        self.account_busy_time(now);
        self.remove_cancelled();
        while self.running.len() < self.max_size {
            let Some(mut run) = self.queue.pop_front() else {
                break;
            };
            let is_cached = self.cache.touch(run.prefix, now);
            let cached_tokens = if is_cached { run.prefix_tokens } else { 0 };
            run.prefilled_at = now + self.prefill_per_token * (run.prompt_tokens - cached_tokens);
            run.slot = self.slot;
            self.running.push(run);
        }
        self.record_load(now);
        if self.running.is_empty() {
            return None;
        }
        let step = self.step_base + self.step_per_request * self.running.len() as u32;
        Some(step / self.slots)
    }

    /// Ends the current part of the step and produces one token for each prefilled request of the
    /// part that begins. Returns whether the engine crashed.
    pub(super) fn end_step(&mut self, now: Instant) -> bool {
        self.account_busy_time(now);
        if self.running.iter().any(|run| run.has_crash_marker && run.prefilled_at <= now) {
            self.crash(now);
            return true;
        }
        self.slot = (self.slot + 1) % self.slots;
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].prefilled_at > now || self.running[index].slot != self.slot {
                index += 1;
                continue;
            }
            if self.produce_token(index) {
                self.running.remove(index);
            } else {
                index += 1;
            }
        }
        self.record_load(now);
        false
    }

    /// Applies and records an order; returns whether it was accepted.
    pub(super) fn apply_order(&mut self, order: EngineOrder) -> bool {
        let accepted = !self.checks_fencing || order.fencing >= self.highest_fencing;
        if accepted {
            self.highest_fencing = self.highest_fencing.max(order.fencing);
            if order.action == OrderAction::LoadModel && !self.models.contains(&order.value) {
                self.models.push(order.value.clone());
            }
        }
        self.tally.orders.push(OrderRecord { order, accepted });
        accepted
    }

    /// Returns the load as it was `load_lag` ago.
    pub(super) fn lagging_load(&self, now: Instant) -> LoadReport {
        let mut report = LoadReport::default();
        for (time, load) in &self.loads {
            if now.duration_since(*time) < self.load_lag {
                break;
            }
            report = *load;
        }
        report
    }

    /// Returns the counters.
    pub(super) fn usage(&mut self, now: Instant) -> EngineUsage {
        self.account_busy_time(now);
        self.tally.usage.running = self.running.len();
        self.tally.usage.queued = self.queue.len();
        for user in self.tally.usage.users.values_mut() {
            user.running = 0;
        }
        for run in &self.running {
            self.tally.usage.users.entry(run.user.clone()).or_default().running += 1;
        }
        self.tally.usage.clone()
    }

    /// Returns the complete tally.
    pub(super) fn tally(&mut self, now: Instant) -> EngineTally {
        self.usage(now);
        self.tally.models.clone_from(&self.models);
        self.tally.clone()
    }

    /// Produces one token for a running request; returns whether the request ends, because it is
    /// complete or its caller has disconnected.
    fn produce_token(&mut self, index: usize) -> bool {
        let run = &mut self.running[index];
        if run.tokens.send(()).is_err() {
            self.tally.usage.cancelled += 1;
            return true;
        }
        run.remaining -= 1;
        let user = self.tally.usage.users.entry(run.user.clone()).or_default();
        user.tokens += 1;
        if run.remaining > 0 {
            return false;
        }
        self.tally.usage.completed += 1;
        true
    }

    /// Removes requests whose callers have disconnected from batch and queue.
    fn remove_cancelled(&mut self) {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|run| !run.tokens.is_closed());
        self.queue.retain(|run| !run.tokens.is_closed());
        let after = self.running.len() + self.queue.len();
        self.tally.usage.cancelled += (before - after) as u64;
    }

    /// Drops all requests and clears the cache.
    fn crash(&mut self, now: Instant) {
        self.running.clear();
        self.queue.clear();
        self.cache.clear();
        self.tally.usage.crashes += 1;
        self.record_load(now);
    }

    /// Adds the time since the last call to the busy times of the tally.
    fn account_busy_time(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.accounted_until);
        self.accounted_until = now;
        if self.running.is_empty() {
            return;
        }
        self.tally.usage.busy_time += elapsed;
        self.tally.usage.place_time += elapsed * self.running.len() as u32;
    }

    /// Records the load if it has changed and drops entries older than `load_lag` needs.
    fn record_load(&mut self, now: Instant) {
        let load = LoadReport { running: self.running.len(), queued: self.queue.len() };
        if self.loads.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.loads.push_back((now, load));
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= self.load_lag {
            self.loads.pop_front();
        }
    }
}

/// Returns the current time in microseconds since the Unix epoch.
fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |duration| duration.as_micros() as u64)
}
