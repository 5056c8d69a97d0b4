//! Operators' interface of a router: state, readiness, metrics and the fleet's configuration.

use std::sync::Arc;

use actix::Addr;
use actix_web::web::ServiceConfig;
use actix_web::{HttpRequest, HttpResponse, web};
use error_stack::Report;
use jackdaw_base::ErrorKind;
use jackdaw_daemon::{AdminOptions, AdminServer};
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, SharedReadiness, problem_response,
};
use serde_json::json;

use crate::decision_actor::{DecisionActor, DumpRouter, ReadStatus};

/// What the routes of a router share.
struct StatusSource {
    /// The operators' key.
    key: AdminKey,
    /// The decisions.
    actor: Addr<DecisionActor>,
}

/// Serves the operators' interface of a router.
///
/// # Errors
///
/// `LocalResource` where the address cannot be bound.
pub fn bind_admin(
    options: &AdminOptions,
    readiness: SharedReadiness,
    metrics: Arc<MetricRegistry>,
    actor: &Addr<DecisionActor>,
) -> Result<AdminServer, Report<ErrorKind>> {
    let dumped = actor.clone();
    let dump = DumpSource::new(move || {
        let answer = dumped.send(DumpRouter);
        async move { answer.await.map(|state| json!(state)).unwrap_or_default() }
    });
    let key = AdminKey::new(options.key_digest);
    let state = AdminState { key, readiness, metrics, dump };
    let source = web::Data::new(StatusSource { key, actor: actor.clone() });
    AdminServer::bind(options.address, &state, move |config: &mut ServiceConfig| {
        config.app_data(source.clone()).route("/status", web::get().to(status));
    })
}

/// Answers with the configuration in force and the links that are open.
async fn status(source: web::Data<StatusSource>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = source.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    match source.actor.send(ReadStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => problem_response(ErrorKind::NotReady, "the process is leaving"),
    }
}
