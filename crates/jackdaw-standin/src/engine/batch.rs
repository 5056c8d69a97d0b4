//! State of an engine: the batch, the queue before it and the tally.

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
    /// What an engine did for one user.
    #[derive(Default)]
    pub struct UserTally {
        /// The requests received.
        pub requests: u64,
        /// The tokens produced.
        pub tokens: u64,
        /// The requests that run now.
        pub running: usize,
    }
}

plain_data! {
    copy
    /// How often an engine received one prompt.
    #[derive(Default)]
    pub struct PromptTally {
        /// The times from the first event on.
        pub starts: u32,
        /// The times from a later event on.
        pub resumes: u32,
    }
}

plain_data! {
    /// An order as it was received.
    pub struct OrderRecord {
        /// The order.
        pub order: EngineOrder,
        /// Whether it took effect.
        pub accepted: bool,
    }
}

plain_data! {
    /// Figures of an engine that do not grow with the number of requests.
    #[derive(Default)]
    pub struct EngineUsage {
        /// Tokens and requests by user.
        pub users: BTreeMap<String, UserTally>,
        /// The requests that run.
        pub running: usize,
        /// The requests that wait in the engine.
        pub queued: usize,
        /// The time that places were busy, summed over places.
        pub place_time: Duration,
        /// The time in which at least one place was busy.
        pub busy_time: Duration,
        /// The answers that were produced whole.
        pub completed: u64,
        /// The requests whose callers went away.
        pub cancelled: u64,
        /// The crashes.
        pub crashes: u32,
    }
}

plain_data! {
    /// What an engine really did.
    #[derive(Default)]
    pub struct EngineTally {
        /// The figures of fixed size.
        pub usage: EngineUsage,
        /// Receptions by prompt identifier.
        pub prompts: BTreeMap<u64, PromptTally>,
        /// The time of each reception in microseconds since the Unix epoch.
        pub arrivals: Vec<u64>,
        /// The orders in the sequence they were received.
        pub orders: Vec<OrderRecord>,
        /// The models that the engine answers for; empty for every model.
        pub models: Vec<String>,
    }
}

/// A request in the queue or the batch.
pub(super) struct EngineRun {
    /// The customer's name.
    pub(super) user: String,
    /// The identifier of the prompt.
    pub(super) prompt: u64,
    /// The hash of the prompt's prefix.
    pub(super) prefix: u64,
    /// The tokens to read before the first token.
    pub(super) prompt_tokens: u32,
    /// The tokens of the prompt that make its prefix.
    pub(super) prefix_tokens: u32,
    /// The tokens that are still to be produced.
    pub(super) remaining: u32,
    /// Whether the run goes on where another one stopped.
    pub(super) is_resumed: bool,
    /// Whether the prompt carries the crash marker.
    pub(super) is_marked: bool,
    /// Receives one message for each token; closed early only by a crash.
    pub(super) tokens: mpsc::UnboundedSender<()>,
    /// The time at which the prompt has been read.
    pub(super) ready: Instant,
    /// The part of the step in which it gets its token.
    pub(super) slot: u32,
}

/// The batch of an engine with the queue before it.
pub(super) struct EngineBatch {
    /// The requests that run.
    running: Vec<EngineRun>,
    /// The requests that wait, first come first.
    queue: VecDeque<EngineRun>,
    /// The prefix cache.
    pub(super) cache: PrefixCache,
    /// The models; empty for every model.
    models: Vec<String>,
    /// The highest fencing number seen.
    fence: u64,
    /// The load over time, the oldest first.
    loads: VecDeque<(Instant, LoadReport)>,
    /// The time up to which busy places have been summed.
    summed: Instant,
    /// The tally but for what is worked out when it is read.
    tally: EngineTally,
    /// The most requests that run.
    places: usize,
    /// The time of a step before any request is counted.
    step_base: Duration,
    /// The time that each running request adds to a step.
    step_per_request: Duration,
    /// The parts of a step.
    slots: u32,
    /// The present part.
    slot: u32,
    /// The time to read one prompt token.
    prefill_per_token: Duration,
    /// The age of the load that is reported.
    load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
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
            fence: 0,
            loads: VecDeque::new(),
            summed: Instant::now(),
            tally: EngineTally::default(),
            places: settings.max_batch_size,
            step_base: settings.step_base,
            step_per_request: settings.step_per_request,
            slots: settings.step_slots.max(1),
            slot: 0,
            prefill_per_token: settings.prefill_per_token,
            load_lag: settings.load_lag,
            checks_fencing: settings.checks_fencing,
        }
    }

    /// Returns whether the engine answers for a model.
    pub(super) fn knows_model(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.iter().any(|known| known == model)
    }

    /// Takes a request into the queue.
    pub(super) fn receive(&mut self, run: EngineRun, now: Instant) {
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
        self.note_load(now);
    }

    /// Fills the batch from the queue and returns the time of the next part of the step, or
    /// `None` without work.
    pub(super) fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        self.sum_places(now);
        self.remove_cancelled();
        while self.running.len() < self.places {
            let Some(mut run) = self.queue.pop_front() else {
                break;
            };
            let is_cached = self.cache.touch(run.prefix, now);
            let cached_tokens = if is_cached { run.prefix_tokens } else { 0 };
            run.ready = now + self.prefill_per_token * (run.prompt_tokens - cached_tokens);
            run.slot = self.slot;
            self.running.push(run);
        }
        self.note_load(now);
        if self.running.is_empty() {
            return None;
        }
        let step = self.step_base + self.step_per_request * self.running.len() as u32;
        Some(step / self.slots)
    }

    /// Gives each running request of the present part of the step one token and returns
    /// whether the engine crashed.
    pub(super) fn end_step(&mut self, now: Instant) -> bool {
        self.sum_places(now);
        if self.running.iter().any(|run| run.is_marked && run.ready <= now) {
            self.crash(now);
            return true;
        }
        self.slot = (self.slot + 1) % self.slots;
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].ready > now || self.running[index].slot != self.slot {
                index += 1;
                continue;
            }
            if self.give_token(index) {
                self.running.remove(index);
            } else {
                index += 1;
            }
        }
        self.note_load(now);
        false
    }

    /// Takes an order and returns whether it takes effect.
    pub(super) fn take_order(&mut self, order: EngineOrder) -> bool {
        let accepted = !self.checks_fencing || order.fencing >= self.fence;
        if accepted {
            self.fence = self.fence.max(order.fencing);
            if order.action == OrderAction::LoadModel && !self.models.contains(&order.value) {
                self.models.push(order.value.clone());
            }
        }
        self.tally.orders.push(OrderRecord { order, accepted });
        accepted
    }

    /// Returns the load as it was one lag ago.
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

    /// Returns the figures of fixed size.
    pub(super) fn usage(&mut self, now: Instant) -> EngineUsage {
        self.sum_places(now);
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

    /// Returns the whole tally.
    pub(super) fn tally(&mut self, now: Instant) -> EngineTally {
        self.usage(now);
        self.tally.models.clone_from(&self.models);
        self.tally.clone()
    }

    /// Gives one running request a token and returns whether it has left the batch.
    fn give_token(&mut self, index: usize) -> bool {
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

    /// Frees what callers that went away held.
    fn remove_cancelled(&mut self) {
        let before = self.running.len() + self.queue.len();
        self.running.retain(|run| !run.tokens.is_closed());
        self.queue.retain(|run| !run.tokens.is_closed());
        let after = self.running.len() + self.queue.len();
        self.tally.usage.cancelled += (before - after) as u64;
    }

    /// Loses all requests and the cache.
    fn crash(&mut self, now: Instant) {
        self.running.clear();
        self.queue.clear();
        self.cache.clear();
        self.tally.usage.crashes += 1;
        self.note_load(now);
    }

    /// Adds the time since the last call to the busy times.
    fn sum_places(&mut self, now: Instant) {
        let span = now.duration_since(self.summed);
        self.summed = now;
        if self.running.is_empty() {
            return;
        }
        self.tally.usage.busy_time += span;
        self.tally.usage.place_time += span * self.running.len() as u32;
    }

    /// Notes the load where it has changed, and drops what is older than the lag needs.
    fn note_load(&mut self, now: Instant) {
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

/// Returns the microseconds since the Unix epoch.
fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_micros() as u64)
}
