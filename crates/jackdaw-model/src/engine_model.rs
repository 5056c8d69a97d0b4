//! An engine that batches, reads prompts in chunks and keeps shared parts.

use std::collections::{HashMap, VecDeque};

use jackdaw_policy::direct::PromptShape;

/// Sizes and speeds of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineProfile {
    /// The requests that run at once.
    pub slots: usize,
    /// The time of a step without requests, in microseconds.
    pub step_micros: f64,
    /// The time that each running request adds to a step, in microseconds.
    pub slot_micros: f64,
    /// The time to read one token, in microseconds.
    pub prefill_micros: f64,
    /// The tokens that are read in one step at the most.
    pub chunk_tokens: u64,
    /// The tokens that the engine keeps for runs and shared parts together.
    pub memory_tokens: u64,
    /// The tokens in one event.
    pub event_tokens: u32,
}

impl Default for EngineProfile {
    /// An engine of the class that both users run.
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

/// A request at an engine.
#[derive(Debug, Clone)]
pub struct ModelRun {
    /// The position of the request in the load.
    pub request: usize,
    /// The prompt.
    pub prompt: PromptShape,
    /// The tokens of the answer.
    pub output_tokens: u32,
    pending_prefill: u64,
    generated: u32,
}

impl ModelRun {
    /// Creates a request that has not been read.
    pub fn new(request: usize, prompt: PromptShape, output_tokens: u32) -> ModelRun {
        ModelRun { request, prompt, output_tokens, pending_prefill: 0, generated: 0 }
    }
}

/// What an engine did at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A request has its first event.
    Started {
        /// The position of the request in the load.
        request: usize,
    },
    /// A request has a further event.
    Continued {
        /// The position of the request in the load.
        request: usize,
    },
    /// A request has ended.
    Finished {
        /// The position of the request in the load.
        request: usize,
    },
}

/// An engine in virtual time.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    profile: EngineProfile,
    waiting: VecDeque<ModelRun>,
    running: Vec<ModelRun>,
    /// The kept parts with their tokens and the step of their last use.
    cached_parts: HashMap<u64, (u64, u64)>,
    step: u64,
    /// The tokens read so far.
    pub prefill_tokens: u64,
    /// The tokens of shared parts read so far.
    pub shared_prefill_tokens: u64,
}

impl ModelEngine {
    /// Creates an idle engine that keeps nothing.
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

    /// Takes a request into the queue.
    pub fn push(&mut self, run: ModelRun) {
        self.waiting.push_back(run);
    }

    /// Returns whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Does one step; returns its length in microseconds and what happened at its end.
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

    /// Reads up to a chunk from the first requests in the queue; returns those read completely.
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

    /// Returns the tokens of a prompt that must be read, and keeps its parts from now on.
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

    /// Drops the parts used least recently until everything fits.
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

    /// Produces one token for each running request.
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
