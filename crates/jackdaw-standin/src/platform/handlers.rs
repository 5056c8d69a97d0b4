//! HTTP interface of the platform stand-in.

use std::time::{Duration, Instant};

use actix_web::http::{StatusCode, header};
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use jackdaw_base::plain_data;

use super::state::{CallKind, ObjectWrite, PlatformState, WriteEffect, WriteGuard};
use super::{AnswerFault, PlatformFaults};

type StateData = web::Data<PlatformState>;

plain_data! {
    /// Query of a listing or watch.
    struct ListQuery {
        #[serde(default)]
        prefix: String,
        #[serde(default)]
        after: u64,
        #[serde(default)]
        wait_millis: u64,
    }
}

/// Adds the routes.
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
    if let Some(failure) = enter(&state, CallKind::Read).await {
        return failure;
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
    if let Some(failure) = enter(&state, CallKind::Write).await {
        return failure;
    }
    let Some(guard) = parse_guard(&request) else {
        return HttpResponse::build(StatusCode::PRECONDITION_REQUIRED).finish();
    };
    let write = ObjectWrite { key: key.into_inner(), guard, value };
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
    match enter(&state, CallKind::List).await {
        Some(failure) => failure,
        None => HttpResponse::Ok().json(state.list(&query.prefix, 0)),
    }
}

async fn watch_objects(state: StateData, query: web::Query<ListQuery>) -> HttpResponse {
    if let Some(failure) = enter(&state, CallKind::Watch).await {
        return failure;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_millis);
    let mut changed = state.subscribe();
    loop {
        let listing = state.list(&query.prefix, query.after);
        if !listing.changes.is_empty() || Instant::now() >= deadline {
            return HttpResponse::Ok().json(listing);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        // Running out of time is an ordinary end of the wait.
        let _ = actix_rt::time::timeout(left, changed.changed()).await;
        if let Some(fault) = state.faults().down {
            return fail(fault).await;
        }
    }
}

async fn watch_vms(state: StateData, query: web::Query<ListQuery>) -> HttpResponse {
    if let Some(failure) = enter(&state, CallKind::Watch).await {
        return failure;
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_millis);
    let mut changed = state.subscribe();
    loop {
        let (answer, next) = state.vms();
        if answer.version > query.after || Instant::now() >= deadline {
            return HttpResponse::Ok().json(answer);
        }
        let wake = next.unwrap_or(deadline).min(deadline);
        let left = wake.saturating_duration_since(Instant::now());
        // Running out of time is an ordinary end of the wait.
        let _ = actix_rt::time::timeout(left, changed.changed()).await;
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

/// Counts the call, applies delay and outage, and returns the answer of a call that fails.
async fn enter(state: &PlatformState, kind: CallKind) -> Option<HttpResponse> {
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

/// Fails to answer in the given way.
async fn fail(fault: AnswerFault) -> HttpResponse {
    match fault {
        AnswerFault::Gateway => HttpResponse::BadGateway().finish(),
        // Unwinding the connection's task is the one way to close it without an answer; it
        // goes around the panic hook and leaves no message.
        AnswerFault::Closed => std::panic::resume_unwind(Box::new("connection closed")),
        AnswerFault::Silent => std::future::pending().await,
    }
}

fn entity_tag(version: u64) -> String {
    format!("\"{version}\"")
}

/// Reads the condition of a write; writes without one are refused.
fn parse_guard(request: &HttpRequest) -> Option<WriteGuard> {
    let headers = request.headers();
    if headers.get(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(WriteGuard::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(WriteGuard::Version)
}
