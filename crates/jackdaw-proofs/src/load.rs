//! Streamed completions under way at the same time, checked byte for byte.

use std::net::SocketAddr;

use actix_rt::task::JoinHandle;
use jackdaw_standin::answer::{LONG_ANSWER_MARKER, answer_length};
use jackdaw_standin::{EngineSettings, EngineStandin, EngineTally, prompt_id};

use crate::caller::{CallerAnswer, CallerClient};

/// The tokens of each completion.
const STREAM_TOKENS: u32 = 80;

/// Completions of one customer that are under way.
pub struct StreamLoad {
    /// The prompts in the order in which they were sent.
    prompts: Vec<String>,
    /// The callers that wait for the answers.
    callers: Vec<JoinHandle<Option<CallerAnswer>>>,
}

/// A completion that has ended.
pub struct StreamResult {
    /// The prompt.
    pub prompt: String,
    /// The answer; `None` where no head of one came.
    pub answer: Option<CallerAnswer>,
}

impl StreamLoad {
    /// Sends `count` prompts at once; the label keeps them apart from those of other loads.
    pub fn spawn(router: SocketAddr, customer: &str, label: &str, count: u32) -> StreamLoad {
        let mut load = StreamLoad { prompts: Vec::new(), callers: Vec::new() };
        let prompts = (0_u32..).map(|number| format!("{LONG_ANSWER_MARKER} {label} {number}"));
        let long = prompts.filter(|prompt| answer_length(prompt, STREAM_TOKENS) == STREAM_TOKENS);
        for prompt in long.take(count as usize) {
            let caller = CallerClient::open(router, customer);
            load.prompts.push(prompt.clone());
            load.callers.push(actix_rt::spawn(async move {
                caller.complete(&prompt, STREAM_TOKENS).await
            }));
        }
        load
    }

    /// Returns the prompts.
    pub fn prompts(&self) -> &[String] {
        &self.prompts
    }

    /// Waits for all answers.
    pub async fn finish(self) -> Vec<StreamResult> {
        let mut results = Vec::new();
        for (prompt, caller) in self.prompts.into_iter().zip(self.callers) {
            let answer = caller.await.expect("caller does not panic");
            results.push(StreamResult { prompt, answer });
        }
        results
    }
}

/// Asserts that each answer has the very bytes that an engine gives without any fault.
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
        assert!(answer.is_complete, "answer to {prompt:?} is cut: {answer:?}");
        assert_eq!(answer.status, 200, "{prompt:?} {answer:?}");
        assert_eq!(answer.body, expected.body, "{prompt:?}");
    }
    engine.close().await;
}

/// Returns how often an engine has received a prompt, from its start or a later event on.
pub fn count_runs(tally: &EngineTally, prompt: &str) -> u32 {
    let counts = tally.prompts.get(&prompt_id(prompt)).copied().unwrap_or_default();
    counts.starts + counts.resumes
}
