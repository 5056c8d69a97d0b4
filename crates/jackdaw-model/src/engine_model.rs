//! An engine that batches, reads prompts in chunks and keeps shared parts.

use std::collections::{HashMap, VecDeque};

use jackdaw_policy::direct::PromptShape;

/// Sizes and speeds of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineShape {
    /// The requests that run at once.
    pub slots: usize,
    /// The time of a step without requests, in microseconds.
    pub step_micros: f64,
    /// The time that each running request adds to a step, in microseconds.
    pub slot_micros: f64,
    /// The time to read one token, in microseconds.
    pub read_micros: f64,
    /// The tokens that are read in one step at the most.
    pub chunk_tokens: u64,
    /// The tokens that the engine keeps for runs and shared parts together.
    pub memory_tokens: u64,
    /// The tokens in one event.
    pub event_tokens: u32,
}

impl Default for EngineShape {
    /// An engine of the class that both users run.
    fn default() -> EngineShape {
        EngineShape {
            slots: 128,
            step_micros: 3410.0,
            slot_micros: 97.0,
            read_micros: 8.9,
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
    pub call: usize,
    /// The prompt.
    pub prompt: PromptShape,
    /// The tokens of the answer.
    pub output_tokens: u32,
    left_to_read: u64,
    produced: u32,
}

impl ModelRun {
    /// Creates a request that has not been read.
    pub fn new(call: usize, prompt: PromptShape, output_tokens: u32) -> ModelRun {
        ModelRun { call, prompt, output_tokens, left_to_read: 0, produced: 0 }
    }
}

/// What an engine did at the end of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// A request has its first event.
    Started {
        /// The position of the request in the load.
        call: usize,
    },
    /// A request has a further event.
    Continued {
        /// The position of the request in the load.
        call: usize,
    },
    /// A request has ended.
    Finished {
        /// The position of the request in the load.
        call: usize,
    },
}

/// An engine in virtual time.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    shape: EngineShape,
    waiting: VecDeque<ModelRun>,
    running: Vec<ModelRun>,
    /// The kept parts with their tokens and the step of their last use.
    parts: HashMap<u64, (u64, u64)>,
    step: u64,
    /// The tokens read so far.
    pub tokens_read: u64,
    /// The tokens of shared parts read so far.
    pub shared_tokens_read: u64,
}

impl ModelEngine {
    /// Creates an idle engine that keeps nothing.
    pub fn new(shape: EngineShape) -> ModelEngine {
        ModelEngine {
            shape,
            waiting: VecDeque::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            step: 0,
            tokens_read: 0,
            shared_tokens_read: 0,
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
        let (read, started) = self.read_chunk();
        let micros = self.shape.step_micros
            + self.shape.slot_micros * self.running.len() as f64
            + self.shape.read_micros * read as f64;
        self.produce(&mut events);
        for run in started {
            events.push(EngineEvent::Started { call: run.call });
            self.running.push(run);
        }
        (micros as u64, events)
    }

    /// Reads up to a chunk from the first requests in the queue; returns those read whole.
    fn read_chunk(&mut self) -> (u64, Vec<ModelRun>) {
        let mut budget = self.shape.chunk_tokens;
        let mut started = Vec::new();
        while budget > 0 && self.running.len() + started.len() < self.shape.slots {
            let Some(mut run) = self.waiting.pop_front() else {
                break;
            };
            if run.left_to_read == 0 {
                run.left_to_read = self.begin_reading(&run.prompt);
            }
            let read = run.left_to_read.min(budget);
            budget -= read;
            run.left_to_read -= read;
            if run.left_to_read > 0 {
                self.waiting.push_front(run);
                break;
            }
            started.push(run);
        }
        let read = self.shape.chunk_tokens - budget;
        self.tokens_read += read;
        (read, started)
    }

    /// Returns the tokens of a prompt that must be read, and keeps its parts from now on.
    fn begin_reading(&mut self, prompt: &PromptShape) -> u64 {
        let shared = prompt.parts.len().saturating_sub(1);
        let mut missing = 0;
        for part in &prompt.parts[..shared] {
            let is_kept = missing == 0 && self.parts.contains_key(&part.id);
            if !is_kept {
                missing += u64::from(part.tokens);
            }
            self.parts.insert(part.id, (u64::from(part.tokens), self.step));
        }
        self.shared_tokens_read += missing;
        self.evict();
        (missing + u64::from(prompt.own_tokens())).max(1)
    }

    /// Drops the parts used least recently until everything fits.
    fn evict(&mut self) {
        let runs = self.running.iter().chain(&self.waiting);
        let in_use: u64 = runs.map(|run| run.prompt.memory_tokens()).sum();
        let mut kept: u64 = self.parts.values().map(|(tokens, _)| tokens).sum();
        while in_use + kept > self.shape.memory_tokens {
            let oldest = self.parts.iter().min_by_key(|(id, (_, used))| (*used, **id));
            let Some((id, (tokens, _))) = oldest.map(|(id, part)| (*id, *part)) else {
                return;
            };
            kept -= tokens;
            self.parts.remove(&id);
        }
    }

    /// Produces one token for each running request.
    fn produce(&mut self, events: &mut Vec<EngineEvent>) {
        for run in &mut self.running {
            run.produced += 1;
            if run.produced.is_multiple_of(self.shape.event_tokens) {
                events.push(EngineEvent::Continued { call: run.call });
            }
        }
        let ended = self.running.extract_if(.., |run| run.produced >= run.output_tokens);
        events.extend(ended.map(|run| EngineEvent::Finished { call: run.call }));
    }
}
