//! The operators' interface over HTTP that every process has.

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

const SCHEME: &str = "Bearer ";
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the operators' interface tells.
#[derive(Clone)]
pub struct AdminState {
    /// The key that operators must show.
    pub key: AdminKey,
    /// The stage of the process's life.
    pub readiness: SharedReadiness,
    /// The process's metrics.
    pub metrics: Arc<MetricRegistry>,
    /// Where state dumps come from.
    pub dump: DumpSource,
}

/// The key that operators show as `Authorization: Bearer KEY`.
#[derive(Clone, Copy)]
pub struct AdminKey {
    digest: blake3::Hash,
}

/// Makes a state dump on request.
#[derive(Clone)]
pub struct DumpSource {
    make: Arc<dyn Fn() -> LocalBoxFuture<'static, Value> + Send + Sync>,
}

/// The stage of a process's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Not ready yet: links or configuration are missing.
    Starting,
    /// Takes work.
    Ready,
    /// Takes no new work.
    Leaving,
}

/// The stage of the process's life, shared by its parts.
#[derive(Debug, Clone, Default)]
pub struct SharedReadiness {
    stage: Arc<AtomicU8>,
}

impl AdminKey {
    /// Returns the key with a given BLAKE3 digest.
    pub fn new(digest: KeyDigest) -> AdminKey {
        AdminKey { digest: blake3::Hash::from_bytes(digest.0) }
    }

    /// Returns the digest that settings and tickets carry for a key.
    pub fn digest(key: &str) -> KeyDigest {
        KeyDigest(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Checks that a request shows the key.
    ///
    /// # Errors
    ///
    /// `Unauthorized` where the key is missing or another one.
    pub fn check(&self, request: &HttpRequest) -> Result<(), ErrorKind> {
        let shown = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(SCHEME));
        match shown {
            // Digests are compared in constant time.
            Some(key) if blake3::hash(key.as_bytes()) == self.digest => Ok(()),
            _ => Err(ErrorKind::Unauthorized),
        }
    }
}

impl DumpSource {
    /// Returns a source that calls an asynchronous function for each dump.
    pub fn new<F>(make: impl Fn() -> F + Send + Sync + 'static) -> DumpSource
    where
        F: Future<Output = Value> + 'static,
    {
        DumpSource { make: Arc::new(move || Box::pin(make())) }
    }
}

impl SharedReadiness {
    /// Returns the present stage; a new flag is at `Starting`.
    pub fn get(&self) -> Readiness {
        match self.stage.load(Ordering::Acquire) {
            0 => Readiness::Starting,
            1 => Readiness::Ready,
            _ => Readiness::Leaving,
        }
    }

    /// Changes the stage.
    pub fn set(&self, readiness: Readiness) {
        let stage = match readiness {
            Readiness::Starting => 0,
            Readiness::Ready => 1,
            Readiness::Leaving => 2,
        };
        self.stage.store(stage, Ordering::Release);
    }
}

/// Adds `/health`, `/ready`, `/metrics` and `/dump` to a server.
///
/// The latter two ask for the operators' key. Further routes of a process check it with
/// [`AdminKey::check`].
pub fn admin_routes(state: AdminState) -> impl FnOnce(&mut ServiceConfig) {
    move |config| {
        config
            .app_data(Data::new(state))
            .route("/health", web::get().to(health))
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics))
            .route("/dump", web::get().to(dump));
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body("alive\n")
}

async fn ready(state: Data<AdminState>) -> HttpResponse {
    match state.readiness.get() {
        Readiness::Ready => HttpResponse::Ok().content_type("text/plain").body("ready\n"),
        Readiness::Starting => problem_response(ErrorKind::NotReady, "the process is starting"),
        Readiness::Leaving => problem_response(ErrorKind::NotReady, "the process is leaving"),
    }
}

async fn metrics(state: Data<AdminState>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = state.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    match state.metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type(METRICS_TYPE).body(text),
        Err(error) => problem_response(ErrorKind::LocalResource, &error.to_string()),
    }
}

async fn dump(state: Data<AdminState>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = state.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    let value = (state.dump.make)().await;
    HttpResponse::Ok().content_type("application/json").body(value.to_string())
}
