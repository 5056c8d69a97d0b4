//! `status` and `dump` of a running process.

use std::fs;
use std::sync::Arc;

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use jackdaw_daemon::AdminServer;
use jackdaw_objects::digest_key;
use jackdaw_telemetry::{
    AdminKey, AdminState, DumpSource, MetricRegistry, Readiness, SharedReadiness,
};
use serde_json::json;

use crate::program::{RunResult, run};

const KEY: &str = "operators-key";

/// Runs the program on a blocking thread, so that the server on this thread can respond.
async fn run_blocking(arguments: Vec<String>) -> RunResult {
    let call = move || run(&arguments.iter().map(String::as_str).collect::<Vec<_>>());
    web::block(call).await.expect("ran")
}

/// Serves an admin interface, with `/status` if `has_status` (as routers do).
fn serve(readiness: &SharedReadiness, has_status: bool) -> AdminServer {
    let state = AdminState {
        key: AdminKey::new(digest_key(KEY)),
        readiness: readiness.clone(),
        metrics: Arc::new(MetricRegistry::new()),
        dump: DumpSource::new(|| async { json!({ "waiting": 3 }) }),
    };
    let status = |_: HttpRequest| async { HttpResponse::Ok().json(json!({ "ticket": 7 })) };
    let address = "127.0.0.1:0".parse().expect("address");
    AdminServer::bind(address, &state, move |config: &mut ServiceConfig| {
        if has_status {
            config.route("/status", web::get().to(status));
        }
    })
    .expect("bound")
}

/// Returns the arguments of a command that queries a server.
fn arguments(command: &str, server: &AdminServer, key_file: &str) -> Vec<String> {
    let address = server.address().to_string();
    [command, "--process", &address, "--key-file", key_file].map(str::to_owned).to_vec()
}

#[actix_web::test]
async fn status_and_dump_print_state() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("key");
    fs::write(&path, format!("{KEY}\n")).expect("written");
    let key_file = path.display().to_string();
    let readiness = SharedReadiness::default();
    let server = serve(&readiness, true);
    let starting = run_blocking(arguments("status", &server, &key_file)).await;
    assert_eq!(starting.status, 1, "{starting:?}");
    assert!(starting.output.starts_with("not ready: the process is starting"), "{starting:?}");
    readiness.set(Readiness::Ready);
    let status = run_blocking(arguments("status", &server, &key_file)).await;
    assert_eq!(status.status, 0, "{status:?}");
    assert!(status.output.starts_with("ready\n") && status.output.contains("\"ticket\": 7"));
    let dump = run_blocking(arguments("dump", &server, &key_file)).await;
    assert_eq!(dump.output, "{\n  \"waiting\": 3\n}\n");
    server.close().await;

    let agent = serve(&readiness, false);
    let status = run_blocking(arguments("status", &agent, &key_file)).await;
    assert_eq!((status.status, status.output.as_str()), (0, "ready\n"));
    agent.close().await;
}

/// Guards against a dump that is printed without a valid key.
#[actix_web::test]
async fn wrong_key_is_rejected() {
    let directory = tempfile::tempdir().expect("directory");
    let path = directory.path().join("key");
    fs::write(&path, "other-key").expect("written");
    let key_file = path.display().to_string();
    let server = serve(&SharedReadiness::default(), false);
    let dump = run_blocking(arguments("dump", &server, &key_file)).await;
    assert_eq!(dump.status, 3, "{dump:?}");
    assert_eq!(dump.output, "");
    assert!(dump.errors.contains("the operators' key is needed"), "{dump:?}");
    let address = server.address().to_string();
    server.close().await;
    let unreachable =
        run_blocking(["status", "--process", &address].map(str::to_owned).to_vec()).await;
    assert_eq!(unreachable.status, 1, "{unreachable:?}");
    assert!(unreachable.errors.contains(&address), "{unreachable:?}");
}
