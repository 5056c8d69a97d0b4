//! Request and response bodies of the engine stand-in.

use jackdaw_base::plain_data;
use serde::Serialize;

use crate::answer;

/// The last event of a stream.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Token limit of requests that set none.
const DEFAULT_MAX_TOKENS: u32 = 4000;

plain_data! {
    /// Body of `POST /v1/completions`.
    pub(super) struct CompletionRequest {
        /// The model.
        #[serde(default)]
        pub(super) model: String,
        /// The prompt.
        pub(super) prompt: String,
        /// The maximum number of tokens in the answer.
        #[serde(default = "default_max_tokens")]
        pub(super) max_tokens: u32,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub(super) stream: bool,
        /// The customer's name, by which the tally counts.
        #[serde(default)]
        pub(super) user: String,
        /// The number of stream events to skip at the start.
        #[serde(default)]
        pub(super) resume_from: u64,
    }
}

plain_data! {
    /// A message of a chat request.
    pub(super) struct ChatMessage {
        /// The text.
        pub(super) content: String,
    }
}

plain_data! {
    /// Body of `POST /v1/chat/completions`.
    pub(super) struct ChatRequest {
        /// The model.
        #[serde(default)]
        pub(super) model: String,
        /// The messages; their texts joined by newlines form the prompt.
        pub(super) messages: Vec<ChatMessage>,
        /// The maximum number of tokens in the answer.
        #[serde(default = "default_max_tokens")]
        pub(super) max_tokens: u32,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub(super) stream: bool,
        /// The customer's name, by which the tally counts.
        #[serde(default)]
        pub(super) user: String,
        /// The number of stream events to skip at the start.
        #[serde(default)]
        pub(super) resume_from: u64,
    }
}

plain_data! {
    copy
    /// Response to `GET /load`, as of [`load_lag`](crate::EngineSettings::load_lag) ago.
    #[derive(Default)]
    pub struct LoadReport {
        /// The number of requests in the batch.
        pub running: usize,
        /// The number of requests in the queue.
        pub queued: usize,
    }
}

plain_data! {
    copy
    /// The change that an order makes.
    #[serde(rename_all = "kebab-case")]
    pub enum OrderAction {
        /// Serve one more model.
        LoadModel,
        /// Switch to another role.
        SetRole,
        /// Switch to another version.
        SetVersion,
    }
}

plain_data! {
    /// Body of `POST /orders`.
    pub struct EngineOrder {
        /// The fencing number of the controller that sends the order.
        pub fencing: u64,
        /// The change to make.
        pub action: OrderAction,
        /// The model, role or version.
        pub value: String,
    }
}

plain_data! {
    /// Body of `POST /kv/export`.
    pub(super) struct ExportRequest {
        /// The prompt whose prefix is exported.
        pub(super) prompt: String,
    }
}

plain_data! {
    copy
    /// KV cache of one prefix: the response to `POST /kv/export` and the body of
    /// `POST /kv/import`.
    pub(super) struct CacheExport {
        /// The hash of the prefix.
        pub(super) prefix: u64,
    }
}

/// Kind of completion, which determines the shape of the response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AnswerShape {
    /// Text completion.
    Text,
    /// Chat completion.
    Chat,
}

/// Produces the events of the answer to one request.
///
/// The events depend only on shape, prompt, model and token limit, so another engine can resume
/// the stream.
#[derive(Debug, Clone)]
pub(super) struct AnswerScript {
    pub(super) shape: AnswerShape,
    /// The model.
    pub(super) model: String,
    /// The identifier of the prompt.
    pub(super) prompt: u64,
    /// The number of tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// The number of tokens in the answer.
    pub(super) length: u32,
    /// Whether the token limit truncated the answer.
    pub(super) is_limited: bool,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: String,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<AnswerChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<AnswerUsage>,
}

#[derive(Serialize)]
struct AnswerChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<AnswerMessage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<AnswerMessage>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct AnswerMessage {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct AnswerUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// Returns the token limit of requests that set none.
fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl AnswerScript {
    /// Computes the answer to a prompt.
    pub(super) fn new(
        shape: AnswerShape,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> AnswerScript {
        let length = answer::answer_length(prompt, max_tokens);
        AnswerScript {
            shape,
            model: model.to_owned(),
            prompt: answer::prompt_id(prompt),
            prompt_tokens: answer::prompt_tokens(prompt),
            length,
            is_limited: answer::answer_length(prompt, u32::MAX) > length,
        }
    }

    /// Returns the stream event that carries the token at `position`.
    pub(super) fn token_event(&self, position: u32) -> String {
        let token = answer::answer_token(self.prompt, position);
        let finish = (position + 1 == self.length).then(|| self.finish_reason());
        let choice = match self.shape {
            AnswerShape::Text => AnswerChoice {
                index: 0,
                text: Some(token),
                delta: None,
                message: None,
                finish_reason: finish,
            },
            AnswerShape::Chat => AnswerChoice {
                index: 0,
                text: None,
                delta: Some(AnswerMessage { role: "assistant", content: token }),
                message: None,
                finish_reason: finish,
            },
        };
        sse_event(&self.body(self.chunk_object(), vec![choice], None))
    }

    /// Returns the stream event that carries the token usage.
    pub(super) fn usage_event(&self) -> String {
        sse_event(&self.body(self.chunk_object(), Vec::new(), Some(self.usage())))
    }

    /// Returns the complete answer as one JSON object.
    pub(super) fn complete_body(&self) -> String {
        let mut text = String::new();
        for position in 0..self.length {
            text.push_str(&answer::answer_token(self.prompt, position));
        }
        let finish_reason = Some(self.finish_reason());
        let (object, text, message) = match self.shape {
            AnswerShape::Text => ("text_completion", Some(text), None),
            AnswerShape::Chat => {
                let message = AnswerMessage { role: "assistant", content: text };
                ("chat.completion", None, Some(message))
            }
        };
        let choice = AnswerChoice { index: 0, text, delta: None, message, finish_reason };
        to_json(&self.body(object, vec![choice], Some(self.usage())))
    }

    /// Returns the `object` type of stream events.
    fn chunk_object(&self) -> &'static str {
        match self.shape {
            AnswerShape::Text => "text_completion",
            AnswerShape::Chat => "chat.completion.chunk",
        }
    }

    /// Returns the `finish_reason` of the answer.
    fn finish_reason(&self) -> &'static str {
        if self.is_limited { "length" } else { "stop" }
    }

    /// Returns the token usage of the complete answer.
    fn usage(&self) -> AnswerUsage {
        AnswerUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.length,
            total_tokens: self.prompt_tokens + self.length,
        }
    }

    /// Builds a response body from choices and usage.
    fn body<'a>(
        &'a self,
        object: &'a str,
        choices: Vec<AnswerChoice<'a>>,
        usage: Option<AnswerUsage>,
    ) -> AnswerBody<'a> {
        let id = format!("cmpl-{:016x}", self.prompt);
        AnswerBody { id, object, created: 0, model: &self.model, choices, usage }
    }
}

/// Encodes a body as a server-sent event.
fn sse_event(body: &AnswerBody<'_>) -> String {
    format!("data: {}\n\n", to_json(body))
}

/// Encodes a body as JSON.
fn to_json(body: &AnswerBody<'_>) -> String {
    serde_json::to_string(body).expect("strings and numbers always encode")
}
