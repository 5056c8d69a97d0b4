//! HTTP server of the admin interface: state dump, readiness, metrics and configuration status.

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

/// State of the `/status` route.
struct StatusSource {
    /// Key that operators must present.
    key: AdminKey,
    /// Actor that reports the status.
    actor: Addr<DecisionActor>,
}

/// Binds the address and starts serving the admin interface.
///
/// # Errors
///
/// [`ErrorKind::LocalResource`] if the address cannot be bound.
pub fn bind_admin(
    options: &AdminOptions,
    readiness: SharedReadiness,
    metrics: Arc<MetricRegistry>,
    actor: &Addr<DecisionActor>,
) -> Result<AdminServer, Report<ErrorKind>> {
    let dump_actor = actor.clone();
    let dump = DumpSource::new(move || {
        let snapshot = dump_actor.send(DumpRouter);
        async move { snapshot.await.map(|state| json!(state)).unwrap_or_default() }
    });
    let key = AdminKey::new(options.key_digest);
    let state = AdminState { key, readiness, metrics, dump };
    let source = web::Data::new(StatusSource { key, actor: actor.clone() });
    AdminServer::bind(options.address, &state, move |config: &mut ServiceConfig| {
        config.app_data(source.clone()).route("/status", web::get().to(handle_status));
    })
}

/// Returns the configuration in force and the numbers of open links.
async fn handle_status(source: web::Data<StatusSource>, request: HttpRequest) -> HttpResponse {
    if let Err(kind) = source.key.check(&request) {
        return problem_response(kind, "the operators' key is needed");
    }
    match source.actor.send(ReadStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => problem_response(ErrorKind::NotReady, "the process is leaving"),
    }
}
