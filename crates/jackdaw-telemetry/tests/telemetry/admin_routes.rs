//! Access and responses of the admin interface.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{App, test};
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, PROBLEM_TYPE, Readiness, SharedReadiness,
    admin_routes,
};
use serde_json::{Value, json};

const KEY: &str = "operators-key";

fn admin_state(readiness: &SharedReadiness) -> AdminState {
    let metrics = Arc::new(MetricRegistry::new());
    metrics.counter("requests", "Requests.").add(&[], 1);
    AdminState {
        key: AdminKey::new(AdminKey::digest(KEY)),
        readiness: readiness.clone(),
        metrics,
        dump: DumpSource::new(|| async { json!({ "waiting": 3 }) }),
    }
}

async fn fetch(
    readiness: &SharedReadiness,
    path: &str,
    key: Option<&str>,
) -> (StatusCode, String, String) {
    let app = test::init_service(App::new().configure(admin_routes(admin_state(readiness)))).await;
    let mut request = test::TestRequest::get().uri(path);
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let response = test::call_service(&app, request.to_request()).await;
    let status = response.status();
    let content_type = response.headers().get("content-type").expect("content type");
    let content_type = content_type.to_str().expect("text").to_owned();
    let body = test::read_body(response).await;
    (status, content_type, String::from_utf8(body.to_vec()).expect("text"))
}

#[actix_web::test]
async fn metrics_and_dump_require_the_key() {
    let readiness = SharedReadiness::default();
    for path in ["/metrics", "/dump"] {
        for key in [None, Some(""), Some("other-key")] {
            let (status, content_type, body) = fetch(&readiness, path, key).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED);
            assert_eq!(content_type, PROBLEM_TYPE);
            assert!(!body.contains("waiting") && !body.contains("requests"));
        }
        assert_eq!(fetch(&readiness, path, Some(KEY)).await.0, StatusCode::OK);
    }
}

#[actix_web::test]
async fn dump_and_metrics_are_served() {
    let readiness = SharedReadiness::default();
    let (_, _, body) = fetch(&readiness, "/dump", Some(KEY)).await;
    assert_eq!(serde_json::from_str::<Value>(&body).expect("JSON"), json!({ "waiting": 3 }));
    let (_, content_type, body) = fetch(&readiness, "/metrics", Some(KEY)).await;
    assert!(content_type.starts_with("application/openmetrics-text"));
    assert!(body.contains("jackdaw_requests_total{} 1"));
}

#[actix_web::test]
async fn ready_route_reports_readiness() {
    let readiness = SharedReadiness::default();
    assert_eq!(fetch(&readiness, "/ready", None).await.0, StatusCode::SERVICE_UNAVAILABLE);
    readiness.set(Readiness::Ready);
    assert_eq!(fetch(&readiness, "/ready", None).await.0, StatusCode::OK);
    readiness.set(Readiness::Leaving);
    let (status, _, body) = fetch(&readiness, "/ready", None).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(body.contains("leaving"));
    assert_eq!(fetch(&readiness, "/health", None).await.0, StatusCode::OK);
}
