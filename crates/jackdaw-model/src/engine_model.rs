//! Model of an engine with continuous batching, chunked prefill and a prefix cache.

use std::collections::{HashMap, VecDeque};

use jackdaw_policy::direct::PromptShape;

/// Capacity and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineProfile {
    /// Maximum number of requests in a batch.
    pub slots: usize,
    /// Duration of a step with an empty batch, in microseconds.
    pub step_micros: f64,
    /// Time that each request of the batch adds to a step, in microseconds.
    pub slot_micros: f64,
    /// Prefill time per token, in microseconds.
    pub prefill_micros: f64,
    /// Maximum number of tokens prefilled in one step.
    pub chunk_tokens: u64,
    /// Memory for runs and cached parts together, in tokens.
    pub memory_tokens: u64,
    /// Number of generated tokens per streamed event.
    pub event_tokens: u32,
}

impl Default for EngineProfile {
    /// Returns the profile of the engine class that both known deployments run.
    fn default() -> EngineProfile {
        EngineProfile {
            slots: 128,
            step_micros: 3410.0,
            slot_micros: 97.0,
            prefill_micros: 8.9,
            chunk_tokens: 4096,
            memory_tokens: 826_000,
            event_tokens: 5,
        }
    }
}

/// Execution of a request on an engine.
#[derive(Debug, Clone)]
pub struct ModelRun {
    /// Index of the request in the load.
    pub request: usize,
    /// Size and shareable parts of the prompt.
    pub prompt: PromptShape,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Prompt tokens that remain to be prefilled; 0 until the run is first scheduled.
    pending_prefill: u64,
    /// Tokens generated so far.
    generated: u32,
}

impl ModelRun {
    /// Creates a run whose prefill has not started.
    pub fn new(request: usize, prompt: PromptShape, output_tokens: u32) -> ModelRun {
        ModelRun { request, prompt, output_tokens, pending_prefill: 0, generated: 0 }
    }
}

/// Progress of a request at the end of an engine step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The first event of the request was sent.
    Started {
        /// Index of the request in the load.
        request: usize,
    },
    /// A further event of the request was sent.
    Continued {
        /// Index of the request in the load.
        request: usize,
    },
    /// All tokens of the request were generated.
    Finished {
        /// Index of the request in the load.
        request: usize,
    },
}

/// Engine that advances in virtual time, one batch step at a time.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    profile: EngineProfile,
    waiting: VecDeque<ModelRun>,
    running: Vec<ModelRun>,
    /// Cached parts by identifier, each with its tokens and the step of its last use.
    cached_parts: HashMap<u64, (u64, u64)>,
    /// Number of steps so far.
    step: u64,
    /// Number of tokens prefilled so far.
    pub prefill_tokens: u64,
    /// Number of tokens of shared parts prefilled so far.
    pub shared_prefill_tokens: u64,
}

impl ModelEngine {
    /// Creates an idle engine with an empty cache.
    pub fn new(profile: EngineProfile) -> ModelEngine {
        ModelEngine {
            profile,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cached_parts: HashMap::new(),
            step: 0,
            prefill_tokens: 0,
            shared_prefill_tokens: 0,
        }
    }

    /// Appends a run to the waiting queue.
    pub fn push(&mut self, run: ModelRun) {
        self.waiting.push_back(run);
    }

    /// Returns whether no run is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Executes one step and returns its duration in microseconds with the events at its end.
    pub fn advance(&mut self) -> (u64, Vec<EngineEvent>) {
        self.step += 1;
        let mut events = Vec::new();
        let (processed, started) = self.prefill_chunk();
        let micros = self.profile.step_micros
            + self.profile.slot_micros * self.running.len() as f64
            + self.profile.prefill_micros * processed as f64;
        self.decode(&mut events);
        for run in started {
            events.push(EngineEvent::Started { request: run.request });
            self.running.push(run);
        }
        (micros as u64, events)
    }

    /// Prefills up to one chunk from the head of the queue. Returns the number of tokens and the
    /// runs whose prefill is complete.
    fn prefill_chunk(&mut self) -> (u64, Vec<ModelRun>) {
        let mut budget = self.profile.chunk_tokens;
        let mut started = Vec::new();
        while budget > 0 && self.running.len() + started.len() < self.profile.slots {
            let Some(mut run) = self.waiting.pop_front() else {
                break;
            };
            if run.pending_prefill == 0 {
                run.pending_prefill = self.start_prefill(&run.prompt);
            }
            let processed = run.pending_prefill.min(budget);
            budget -= processed;
            run.pending_prefill -= processed;
            if run.pending_prefill > 0 {
                self.waiting.push_front(run);
                break;
            }
            started.push(run);
        }
        let processed = self.profile.chunk_tokens - budget;
        self.prefill_tokens += processed;
        (processed, started)
    }

    /// Caches the shared parts of a prompt and returns the number of tokens to prefill.
    fn start_prefill(&mut self, prompt: &PromptShape) -> u64 {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut uncached = 0;
        for part in &prompt.parts[..shared] {
            let is_cached = uncached == 0 && self.cached_parts.contains_key(&part.id);
            if !is_cached {
                uncached += u64::from(part.tokens);
            }
            self.cached_parts.insert(part.id, (u64::from(part.tokens), self.step));
        }
        self.shared_prefill_tokens += uncached;
        self.evict();
        (uncached + u64::from(prompt.own_tokens())).max(1)
    }

    /// Evicts the least recently used parts until runs and cache fit into memory.
    fn evict(&mut self) {
        let runs = self.running.iter().chain(&self.waiting);
        let in_use: u64 = runs.map(|run| run.prompt.memory_tokens()).sum();
        let mut cached: u64 = self.cached_parts.values().map(|(tokens, _)| tokens).sum();
        while in_use + cached > self.profile.memory_tokens {
            let oldest = self.cached_parts.iter().min_by_key(|(id, (_, used))| (*used, **id));
            let Some((id, (tokens, _))) = oldest.map(|(id, part)| (*id, *part)) else {
                return;
            };
            cached -= tokens;
            self.cached_parts.remove(&id);
        }
    }

    /// Generates one token for each running request.
    fn decode(&mut self, events: &mut Vec<EngineEvent>) {
        for run in &mut self.running {
            run.generated += 1;
            if run.generated.is_multiple_of(self.profile.event_tokens) {
                events.push(EngineEvent::Continued { request: run.request });
            }
        }
        let ended = self.running.extract_if(.., |run| run.generated >= run.output_tokens);
        events.extend(ended.map(|run| EngineEvent::Finished { request: run.request }));
    }
}
