//! Bodies that the engine stand-in reads and writes.

use jackdaw_base::plain_data;
use serde::Serialize;

use crate::answer;

/// The last event of a stream.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The tokens of an answer where the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 4000;

plain_data! {
    /// Body of `POST /v1/completions`.
    pub(super) struct CompletionRequest {
        /// The model.
        #[serde(default)]
        pub(super) model: String,
        /// The prompt.
        pub(super) prompt: String,
        /// The most tokens of the answer.
        #[serde(default = "default_max_tokens")]
        pub(super) max_tokens: u32,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub(super) stream: bool,
        /// The customer's name, for the tally.
        #[serde(default)]
        pub(super) user: String,
        /// The stream events that are left out at the start.
        #[serde(default)]
        pub(super) resume_from: u64,
    }
}

plain_data! {
    /// Message of a chat.
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
        /// The messages; their texts joined by line ends are the prompt.
        pub(super) messages: Vec<ChatMessage>,
        /// The most tokens of the answer.
        #[serde(default = "default_max_tokens")]
        pub(super) max_tokens: u32,
        /// Whether the answer is streamed.
        #[serde(default)]
        pub(super) stream: bool,
        /// The customer's name, for the tally.
        #[serde(default)]
        pub(super) user: String,
        /// The stream events that are left out at the start.
        #[serde(default)]
        pub(super) resume_from: u64,
    }
}

plain_data! {
    copy
    /// Answer of `GET /load`, as old as the settings say.
    #[derive(Default)]
    pub struct LoadReport {
        /// The requests that ran.
        pub running: usize,
        /// The requests that waited.
        pub queued: usize,
    }
}

plain_data! {
    copy
    /// What an order changes.
    #[serde(rename_all = "kebab-case")]
    pub enum OrderAction {
        /// Answers for one more model.
        LoadModel,
        /// Takes another role.
        SetRole,
        /// Runs another version.
        SetVersion,
    }
}

plain_data! {
    /// Body of `POST /orders`.
    pub struct EngineOrder {
        /// The fencing number of the controller that gives the order.
        pub fencing: u64,
        /// The change.
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
    /// KV cache of one prefix: the answer of `POST /kv/export` and the body of
    /// `POST /kv/import`.
    pub(super) struct CacheExport {
        /// The hash of the prefix.
        pub(super) prefix: u64,
    }
}

/// Shape of the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum AnswerShape {
    /// Text completion.
    Text,
    /// Chat completion.
    Chat,
}

/// What the answer to one request looks like, event by event.
///
/// The bytes are a function of prompt, model and limit alone, so that another engine can
/// resume the stream.
#[derive(Debug, Clone)]
pub(super) struct AnswerScript {
    /// The shape.
    pub(super) shape: AnswerShape,
    /// The model.
    pub(super) model: String,
    /// The identifier of the prompt.
    pub(super) prompt: u64,
    /// The tokens of the prompt.
    pub(super) prompt_tokens: u32,
    /// The tokens of the answer.
    pub(super) length: u32,
    /// Whether the limit cut the answer short.
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

/// Returns the limit where a request names none.
fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl AnswerScript {
    /// Works out the answer to a prompt.
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

    /// Returns the stream event with one token.
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

    /// Returns the stream event with the usage.
    pub(super) fn usage_event(&self) -> String {
        sse_event(&self.body(self.chunk_object(), Vec::new(), Some(self.usage())))
    }

    /// Returns the answer as one JSON object.
    pub(super) fn whole_body(&self) -> String {
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

    /// Returns the name of a stream event's type.
    fn chunk_object(&self) -> &'static str {
        match self.shape {
            AnswerShape::Text => "text_completion",
            AnswerShape::Chat => "chat.completion.chunk",
        }
    }

    /// Returns why the answer ends.
    fn finish_reason(&self) -> &'static str {
        if self.is_limited { "length" } else { "stop" }
    }

    /// Returns the usage of the whole answer.
    fn usage(&self) -> AnswerUsage {
        AnswerUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.length,
            total_tokens: self.prompt_tokens + self.length,
        }
    }

    /// Builds a body around choices.
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

/// Wraps a body into a server-sent event.
fn sse_event(body: &AnswerBody<'_>) -> String {
    format!("data: {}\n\n", to_json(body))
}

/// Encodes a body.
fn to_json(body: &AnswerBody<'_>) -> String {
    serde_json::to_string(body).expect("strings and numbers always encode")
}
