//! HTTP routes of the admin interface that every process serves.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use actix_web::http::header::AUTHORIZATION;
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::future::LocalBoxFuture;
use jackdaw_base::{ErrorKind, KeyDigest};
use serde_json::Value;

use crate::MetricRegistry;
use crate::problem::problem_response;

const BEARER_PREFIX: &str = "Bearer ";
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State behind the routes of the admin interface.
#[derive(Clone)]
pub struct AdminState {
    /// The key that operators must present.
    pub key: AdminKey,
    /// The readiness of the process, as served at `/ready`.
    pub readiness: SharedReadiness,
    /// The metrics of the process, as served at `/metrics`.
    pub metrics: Arc<MetricRegistry>,
    /// The source of state dumps, as served at `/dump`.
    pub dump: DumpSource,
}

/// The key that operators present as `Authorization: Bearer KEY`. Only its digest is kept.
#[derive(Clone, Copy)]
pub struct AdminKey {
    digest: blake3::Hash,
}

/// Produces a state dump for each request.
#[derive(Clone)]
pub struct DumpSource {
    produce: Arc<dyn Fn() -> LocalBoxFuture<'static, Value> + Send + Sync>,
}

/// Whether a process accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Not ready yet, as links or configuration are missing.
    Starting,
    /// Accepts work.
    Ready,
    /// Shutting down: completes the work in progress but accepts none.
    Leaving,
}

/// The readiness of a process, shared by its components.
#[derive(Debug, Clone, Default)]
pub struct SharedReadiness {
    code: Arc<AtomicU8>,
}

impl AdminKey {
    /// Returns the key with the given BLAKE3 digest.
    pub fn new(digest: KeyDigest) -> AdminKey {
        AdminKey { digest: blake3::Hash::from_bytes(digest.0) }
    }

    /// Returns the BLAKE3 digest by which settings and change tickets identify a key.
    pub fn digest(key: &str) -> KeyDigest {
        KeyDigest(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Checks that a request presents the key.
    ///
    /// # Errors
    ///
    /// Returns `Unauthorized` if the key is missing or wrong.
    pub fn check(&self, request: &HttpRequest) -> Result<(), ErrorKind> {
        let presented = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX));
        match presented {
            // `blake3::Hash` compares in constant time, so timing does not reveal the digest.
            Some(key) if blake3::hash(key.as_bytes()) == self.digest => Ok(()),
            _ => Err(ErrorKind::Unauthorized),
        }
    }
}

impl DumpSource {
    /// Returns a source that calls the given asynchronous function for each dump.
    pub fn new<F>(produce: impl Fn() -> F + Send + Sync + 'static) -> DumpSource
    where
        F: Future<Output = Value> + 'static,
    {
        DumpSource { produce: Arc::new(move || Box::pin(produce())) }
    }
}

impl SharedReadiness {
    /// Returns the current readiness; the initial value is `Starting`.
    pub fn get(&self) -> Readiness {
        match self.code.load(Ordering::Acquire) {
            0 => Readiness::Starting,
            1 => Readiness::Ready,
            _ => Readiness::Leaving,
        }
    }

    /// Sets the readiness.
    pub fn set(&self, readiness: Readiness) {
        let code = match readiness {
            Readiness::Starting => 0,
            Readiness::Ready => 1,
            Readiness::Leaving => 2,
        };
        self.code.store(code, Ordering::Release);
    }
}

/// Adds the routes `/health`, `/ready`, `/metrics` and `/dump` to a server.
///
/// `/metrics` and `/dump` require the operators' key. Processes that add routes of their own check
/// the key with [`AdminKey::check`].
pub fn admin_routes(state: AdminState) -> impl FnOnce(&mut ServiceConfig) {
    move |config| {
        config
            .app_data(Data::new(state))
            .route("/health", web::get().to(answer_health))
            .route("/ready", web::get().to(answer_readiness))
            .route("/metrics", web::get().to(answer_metrics))
            .route("/dump", web::get().to(answer_dump));
    }
}

async fn answer_health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("alive\n")
}

async fn answer_readiness(state: Data<AdminState>) -> HttpResponse {
    match state.readiness.get() {
        Readiness::Ready => HttpResponse::Ok().content_type("text/plain").body("ready\n"),
        Readiness::Starting => problem_response(ErrorKind::NotReady, "the process is starting"),
        Readiness::Leaving => problem_response(ErrorKind::NotReady, "the process is leaving"),
    }
}

async fn answer_metrics(state: Data<AdminState>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = state.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    match state.metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type(METRICS_TYPE).body(text),
        Err(error) => problem_response(ErrorKind::LocalResource, &error.to_string()),
    }
}

async fn answer_dump(state: Data<AdminState>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = state.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    let value = (state.dump.produce)().await;
    HttpResponse::Ok().content_type("application/json").body(value.to_string())
}
