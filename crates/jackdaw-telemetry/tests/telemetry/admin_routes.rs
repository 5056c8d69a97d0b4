//! The operators' interface.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{App, test};
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, PROBLEM_TYPE, Readiness, SharedReadiness,
    admin_routes,
};
use serde_json::{Value, json};

const KEY: &str = "operators-key";

fn state(readiness: &SharedReadiness) -> AdminState {
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
    let app = test::init_service(App::new().configure(admin_routes(state(readiness)))).await;
    let mut request = test::TestRequest::get().uri(path);
    if let Some(key) = key {
        request = request.insert_header(("authorization", format!("Bearer {key}")));
    }
    let response = test::call_service(&app, request.to_request()).await;
    let status = response.status();
    let kind = response.headers().get("content-type").expect("content type");
    let kind = kind.to_str().expect("text").to_owned();
    let body = test::read_body(response).await;
    (status, kind, String::from_utf8(body.to_vec()).expect("text"))
}

#[actix_web::test]
async fn key_is_needed() {
    let readiness = SharedReadiness::default();
    for path in ["/metrics", "/dump"] {
        for key in [None, Some(""), Some("other-key")] {
            let (status, kind, body) = fetch(&readiness, path, key).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED);
            assert_eq!(kind, PROBLEM_TYPE);
            assert!(!body.contains("waiting") && !body.contains("requests"));
        }
        assert_eq!(fetch(&readiness, path, Some(KEY)).await.0, StatusCode::OK);
    }
}

#[actix_web::test]
async fn dump_and_metrics_are_told() {
    let readiness = SharedReadiness::default();
    let (_, _, body) = fetch(&readiness, "/dump", Some(KEY)).await;
    assert_eq!(serde_json::from_str::<Value>(&body).expect("JSON"), json!({ "waiting": 3 }));
    let (_, kind, body) = fetch(&readiness, "/metrics", Some(KEY)).await;
    assert!(kind.starts_with("application/openmetrics-text"));
    assert!(body.contains("jackdaw_requests_total{} 1"));
}

#[actix_web::test]
async fn readiness_follows_flag() {
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
