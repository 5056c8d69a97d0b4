//! HTTP interface of the platform stand-in.

use std::time::{Duration, Instant};

use actix_web::http::{StatusCode, header};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use jackdaw_base::plain_data;

use super::state::{CallKind, ObjectWrite, PlatformState, WriteCondition, WriteEffect};
use super::{AnswerFault, PlatformFaults};

type StateData = web::Data<PlatformState>;

plain_data! {
    /// Query string of a listing or watch.
    struct ListQuery {
        #[serde(default)]
        prefix: String,
        #[serde(default)]
        after: u64,
        #[serde(default)]
        wait_millis: u64,
    }
}

/// Registers the routes of the object API and of fault injection.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/objects/{key:.+}", web::get().to(read_object))
        .route("/objects/{key:.+}", web::put().to(write_object))
        .route("/list", web::get().to(list_objects))
        .route("/watch", web::get().to(watch_objects))
        .route("/vms", web::get().to(watch_vms))
        .route("/admin/faults", web::put().to(set_faults))
        .route("/admin/release", web::post().to(release_writes))
        .route("/admin/counts", web::get().to(read_counts));
}

async fn read_object(state: StateData, key: web::Path<String>) -> HttpResponse {
    if let Some(response) = begin_call(&state, CallKind::Read).await {
        return response;
    }
    match state.read(&key) {
        Some((version, value)) => {
            HttpResponse::Ok().insert_header((header::ETAG, entity_tag(version))).body(value)
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn write_object(
    state: StateData,
    key: web::Path<String>,
    request: HttpRequest,
    value: Bytes,
) -> HttpResponse {
    if let Some(response) = begin_call(&state, CallKind::Write).await {
        return response;
    }
    let Some(condition) = parse_condition(&request) else {
        return HttpResponse::build(StatusCode::PRECONDITION_REQUIRED).finish();
    };
    let write = ObjectWrite { key: key.into_inner(), condition, value };
    if state.hold(&write) {
        return fail(AnswerFault::Silent).await;
    }
    match state.write(&write) {
        Some(WriteEffect { lost: Some(fault), .. }) => fail(fault).await,
        Some(WriteEffect { version, lost: None }) => {
            HttpResponse::Ok().insert_header((header::ETAG, entity_tag(version))).finish()
        }
        None => HttpResponse::PreconditionFailed().finish(),
    }
}

async fn list_objects(state: StateData, query: web::Query<ListQuery>) -> HttpResponse {
    match begin_call(&state, CallKind::List).await {
        Some(response) => response,
        None => HttpResponse::Ok().json(state.list(&query.prefix, 0)),
    }
}

async fn watch_objects(state: StateData, query: web::Query<ListQuery>) -> HttpResponse {
    if let Some(response) = begin_call(&state, CallKind::Watch).await {
        return response;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_millis);
    let mut changed = state.subscribe();
    loop {
        let listing = state.list(&query.prefix, query.after);
        if !listing.changes.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok().json(listing);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        // A timeout is a normal end of the wait; the loop checks the deadline.
        let _ = actix_rt::time::timeout(remaining, changed.changed()).await;
        if let Some(fault) = state.faults().down {
            return fail(fault).await;
        }
    }
}

async fn watch_vms(state: StateData, query: web::Query<ListQuery>) -> HttpResponse {
    if let Some(response) = begin_call(&state, CallKind::Watch).await {
        return response;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_millis);
    let mut changed = state.subscribe();
    loop {
        let (listing, next) = state.vms();
        if listing.version > query.after || Instant::now() >= deadline {
            return HttpResponse::Ok().json(listing);
        }
        let wake_at = next.unwrap_or(deadline).min(deadline);
        let remaining = wake_at.saturating_duration_since(Instant::now());
        // A timeout is a normal end of the wait; the loop checks the deadline.
        let _ = actix_rt::time::timeout(remaining, changed.changed()).await;
        if let Some(fault) = state.faults().down {
            return fail(fault).await;
        }
    }
}

async fn set_faults(state: StateData, faults: web::Json<PlatformFaults>) -> HttpResponse {
    state.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn release_writes(state: StateData) -> HttpResponse {
    HttpResponse::Ok().json(state.release_writes())
}

async fn read_counts(state: StateData) -> HttpResponse {
    HttpResponse::Ok().json(state.counts())
}

/// Counts a call and injects the delay, an outage and the rate limit.
///
/// Returns the error response if the call fails, and `None` if the handler may proceed.
async fn begin_call(state: &PlatformState, kind: CallKind) -> Option<HttpResponse> {
    let admitted = state.admit(kind);
    let delay = state.faults().delay_millis;
    if delay > 0 {
        actix_rt::time::sleep(Duration::from_millis(delay)).await;
    }
    if let Some(fault) = state.faults().down {
        return Some(fail(fault).await);
    }
    if !admitted {
        return Some(HttpResponse::TooManyRequests().finish());
    }
    None
}

/// Fails the call in the given way.
async fn fail(fault: AnswerFault) -> HttpResponse {
    match fault {
        AnswerFault::Gateway => HttpResponse::BadGateway().finish(),
        // Actix closes a connection without a response only when its task unwinds.
        // `resume_unwind` skips the panic hook, so nothing is printed.
        AnswerFault::Closed => std::panic::resume_unwind(Box::new("connection closed")),
        AnswerFault::Silent => std::future::pending().await,
    }
}

fn entity_tag(version: u64) -> String {
    format!("\"{version}\"")
}

/// Parses the condition of a write from its `If-None-Match` or `If-Match` header; `None` if it
/// has none, which the caller refuses.
fn parse_condition(request: &HttpRequest) -> Option<WriteCondition> {
    let headers = request.headers();
    if headers.get(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(WriteCondition::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(WriteCondition::Version)
}
