//! HTTP interface of the engine stand-in.

use actix_web::error::ErrorInternalServerError;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use jackdaw_base::plain_data;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::EngineShared;
use super::batch::EngineRun;
use super::wire::{
    AnswerScript, AnswerShape, CacheExport, ChatRequest, CompletionRequest, DONE_EVENT,
    EngineOrder, ExportRequest,
};
use crate::answer::{self, CRASH_MARKER, PREFIX_BYTES};

/// Maximum size of a JSON request body.
const BODY_LIMIT_BYTES: usize = 4 << 20;

plain_data! {
    /// Query string of `GET /cache-events`.
    struct EventQuery {
        /// Only events with a greater sequence number are returned.
        #[serde(default)]
        after: u64,
    }
}

/// State of an answer that is being sent.
struct AnswerStream {
    /// Produces the events.
    script: AnswerScript,
    /// The index of the next event.
    position: u64,
    /// Receives one message per produced token.
    tokens: mpsc::UnboundedReceiver<()>,
}

/// Registers the routes of the engine.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(BODY_LIMIT_BYTES))
        .route("/v1/completions", web::post().to(complete_text))
        .route("/v1/chat/completions", web::post().to(complete_chat))
        .route("/load", web::get().to(report_load))
        .route("/cache-events", web::get().to(list_events))
        .route("/kv/export", web::post().to(export_cache))
        .route("/kv/import", web::post().to(import_cache))
        .route("/orders", web::post().to(receive_order))
        .route("/tally", web::get().to(report_tally));
}

/// Handles `POST /v1/completions`.
async fn complete_text(
    shared: web::Data<EngineShared>,
    body: web::Json<CompletionRequest>,
) -> HttpResponse {
    answer(&shared, AnswerShape::Text, &body).await
}

/// Handles `POST /v1/chat/completions`; the prompt consists of the messages, one per line.
async fn complete_chat(
    shared: web::Data<EngineShared>,
    body: web::Json<ChatRequest>,
) -> HttpResponse {
    let mut prompt = String::new();
    for message in &body.messages {
        if !prompt.is_empty() {
            prompt.push('\n');
        }
        prompt.push_str(&message.content);
    }
    let request = CompletionRequest {
        model: body.model.clone(),
        prompt,
        max_tokens: body.max_tokens,
        stream: body.stream,
        user: body.user.clone(),
        resume_from: body.resume_from,
    };
    answer(&shared, AnswerShape::Chat, &request).await
}

/// Runs a completion request and sends the answer as an event stream or as one JSON object.
async fn answer(
    shared: &web::Data<EngineShared>,
    shape: AnswerShape,
    request: &CompletionRequest,
) -> HttpResponse {
    if request.max_tokens == 0 {
        return HttpResponse::BadRequest().json(json!({"error": "max_tokens is zero"}));
    }
    if !shared.lock().serves_model(&request.model) {
        return HttpResponse::NotFound().json(json!({"error": "the model is not loaded"}));
    }
    let script = AnswerScript::new(shape, &request.model, &request.prompt, request.max_tokens);
    let tokens = start_run(shared, &script, request);
    let answer = AnswerStream { script, position: request.resume_from, tokens };
    if request.stream {
        let events = stream::unfold(answer, next_event);
        return HttpResponse::Ok().content_type("text/event-stream").streaming(events);
    }
    collect_answer(answer).await
}

/// Queues a request and returns the receiver of its tokens.
///
/// Nothing is queued if the request resumes after the last token.
fn start_run(
    shared: &web::Data<EngineShared>,
    script: &AnswerScript,
    request: &CompletionRequest,
) -> mpsc::UnboundedReceiver<()> {
    let (sender, tokens) = mpsc::unbounded_channel();
    let skipped = request.resume_from.min(u64::from(script.length)) as u32;
    if skipped == script.length {
        return tokens;
    }
    let prefix_tokens = answer::prompt_tokens(&request.prompt).min(PREFIX_BYTES as u32 / 4);
    let now = Instant::now();
    let run = EngineRun {
        user: request.user.clone(),
        prompt: script.prompt,
        prefix: answer::prefix_hash(&request.prompt),
        prompt_tokens: script.prompt_tokens + skipped,
        prefix_tokens,
        remaining: script.length - skipped,
        is_resumed: skipped > 0,
        has_crash_marker: request.prompt.contains(CRASH_MARKER),
        tokens: sender,
        prefilled_at: now,
        slot: 0,
    };
    shared.lock().enqueue(run, now);
    shared.work_available.notify_one();
    tokens
}

/// Returns the next event of a stream, or an error if the engine crashed during the run.
async fn next_event(
    mut answer: AnswerStream,
) -> Option<(Result<Bytes, actix_web::Error>, AnswerStream)> {
    let length = u64::from(answer.script.length);
    let position = answer.position;
    let event = if position < length {
        if answer.tokens.recv().await.is_none() {
            return Some((Err(ErrorInternalServerError("engine crashed")), answer));
        }
        answer.script.token_event(position as u32)
    } else if position == length {
        answer.script.usage_event()
    } else if position == length + 1 {
        DONE_EVENT.to_owned()
    } else {
        return None;
    };
    answer.position += 1;
    Some((Ok(Bytes::from(event)), answer))
}

/// Waits for all tokens and sends the answer as one JSON object.
async fn collect_answer(mut answer: AnswerStream) -> HttpResponse {
    while answer.position < u64::from(answer.script.length) {
        if answer.tokens.recv().await.is_none() {
            return HttpResponse::InternalServerError().json(json!({"error": "crashed"}));
        }
        answer.position += 1;
    }
    HttpResponse::Ok().content_type("application/json").body(answer.script.complete_body())
}

/// Handles `GET /load`.
async fn report_load(shared: web::Data<EngineShared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().lagging_load(Instant::now()))
}

/// Handles `GET /cache-events`.
async fn list_events(
    shared: web::Data<EngineShared>,
    query: web::Query<EventQuery>,
) -> HttpResponse {
    let lag = shared.settings.cache_event_lag;
    let events = shared.lock().cache.events_after(query.after, lag, Instant::now());
    HttpResponse::Ok().json(json!({ "events": events }))
}

/// Handles `POST /kv/export`: exports the KV cache of a prompt's prefix.
async fn export_cache(
    shared: web::Data<EngineShared>,
    body: web::Json<ExportRequest>,
) -> HttpResponse {
    let prefix = answer::prefix_hash(&body.prompt);
    if !shared.lock().cache.contains(prefix) {
        return HttpResponse::NotFound().json(json!({"error": "the prefix is not cached"}));
    }
    HttpResponse::Ok().json(CacheExport { prefix })
}

/// Handles `POST /kv/import`: imports the KV cache of a prefix.
async fn import_cache(
    shared: web::Data<EngineShared>,
    body: web::Json<CacheExport>,
) -> HttpResponse {
    shared.lock().cache.touch(body.prefix, Instant::now());
    HttpResponse::NoContent().finish()
}

/// Handles `POST /orders`: applies an order, or rejects it if its fencing number is too old.
async fn receive_order(
    shared: web::Data<EngineShared>,
    body: web::Json<EngineOrder>,
) -> HttpResponse {
    if !shared.lock().apply_order(body.into_inner()) {
        return HttpResponse::Conflict().json(json!({"error": "old fencing number"}));
    }
    HttpResponse::NoContent().finish()
}

/// Handles `GET /tally`.
async fn report_tally(shared: web::Data<EngineShared>) -> HttpResponse {
    let tally = shared.lock().tally(Instant::now());
    HttpResponse::Ok().json(tally)
}
