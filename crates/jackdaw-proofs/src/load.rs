//! Concurrent streamed completions whose answers are compared byte for byte.

use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use jackdaw_standin::answer::{LONG_ANSWER_MARKER, answer_length};
use jackdaw_standin::{EngineSettings, EngineStandin, EngineTally, prompt_id};

use crate::caller::{CallerAnswer, CallerClient};

/// Number of tokens of each completion.
const STREAM_TOKENS: u32 = 80;

/// Concurrent completions of one customer.
pub struct StreamLoad {
    /// Prompts in the order in which they were sent.
    prompts: Vec<String>,
    /// Tasks that wait for the answers, in the order of the prompts.
    callers: Vec<JoinHandle<Option<CallerAnswer>>>,
}

/// Result of one completion.
pub struct StreamResult {
    /// Prompt of the completion.
    pub prompt: String,
    /// Answer, or `None` if no response head arrived.
    pub answer: Option<CallerAnswer>,
}

impl StreamLoad {
    /// Sends `count` prompts concurrently. The label makes them distinct from those of other loads.
    pub fn spawn(router: SocketAddr, customer: &str, label: &str, count: u32) -> StreamLoad {
        let mut load = StreamLoad { prompts: Vec::new(), callers: Vec::new() };
        let prompts = (0_u32..).map(|number| format!("{LONG_ANSWER_MARKER} {label} {number}"));
        let full_length =
            prompts.filter(|prompt| answer_length(prompt, STREAM_TOKENS) == STREAM_TOKENS);
        for prompt in full_length.take(count as usize) {
            let caller = CallerClient::open(router, customer);
            load.prompts.push(prompt.clone());
            load.callers.push(actix_rt::spawn(async move {
                caller.complete(&prompt, STREAM_TOKENS).await
            }));
        }
        load
    }

    /// Returns the prompts in the order in which they were sent.
    pub fn prompts(&self) -> &[String] {
        &self.prompts
    }

    /// Waits for all completions to end and returns their results.
    pub async fn finish(self) -> Vec<StreamResult> {
        let mut results = Vec::new();
        for (prompt, caller) in self.prompts.into_iter().zip(self.callers) {
            let answer = caller.await.expect("caller does not panic");
            results.push(StreamResult { prompt, answer });
        }
        results
    }
}

/// Asserts that each answer equals the one of a fault-free engine byte for byte.
///
/// # Panics
///
/// Panics with the prompt of the first answer that differs.
pub async fn assert_byte_equal(results: &[StreamResult]) {
    let settings =
        EngineSettings { step_base: std::time::Duration::from_micros(100), ..Default::default() };
    let engine = EngineStandin::bind(settings).expect("engine can be bound");
    let direct = CallerClient::with_key(engine.address(), "direct");
    for StreamResult { prompt, answer } in results {
        let expected = direct.complete(prompt, STREAM_TOKENS).await.expect("engine answers");
        let answer = answer.as_ref().unwrap_or_else(|| panic!("no answer to {prompt:?}"));
        assert!(answer.is_complete, "answer to {prompt:?} is truncated: {answer:?}");
        assert_eq!(answer.status, 200, "{prompt:?} {answer:?}");
        assert_eq!(answer.body, expected.body, "{prompt:?}");
    }
    engine.close().await;
}

/// Returns how often an engine has received a prompt, counting both starts and resumptions.
pub fn count_runs(tally: &EngineTally, prompt: &str) -> u32 {
    let counts = tally.prompts.get(&prompt_id(prompt)).copied().unwrap_or_default();
    counts.starts + counts.resumes
}
