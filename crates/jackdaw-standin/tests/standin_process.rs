//! Runs the `jackdaw-standin` program as a process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use awc::Client;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Spawns the program.
fn spawn(arguments: &[&str]) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jackdaw-standin"));
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
    command.spawn().unwrap()
}

/// Reads the address that the program prints.
fn read_address(child: &mut Child) -> String {
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let value: Value = serde_json::from_str(&line).unwrap();
    value["address"].as_str().unwrap().to_owned()
}

/// Sends SIGTERM and returns the exit status.
fn terminate(mut child: Child) -> Option<i32> {
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    child.wait().unwrap().code()
}

#[actix_web::test]
async fn engine_serves_until_sigterm() {
    let mut child = spawn(&["engine", "--step-micros", "1000", "--model", "m"]);
    let address = read_address(&mut child);
    let body = json!({"model": "m", "prompt": "x", "max_tokens": 3, "user": "ana"});
    let request = Client::new().post(format!("http://{address}/v1/completions"));
    assert_eq!(request.send_json(&body).await.unwrap().status(), 200);
    let mut response = Client::new().get(format!("http://{address}/tally")).send().await.unwrap();
    let tally: Value = response.json().await.unwrap();
    assert_eq!(tally["usage"]["users"]["ana"]["requests"], 1);
    assert_eq!(terminate(child), Some(0));
}

#[actix_web::test]
async fn service_serves_until_sigterm() {
    let mut child = spawn(&["service"]);
    let address = read_address(&mut child);
    let response = Client::new().get(format!("http://{address}/balance/7")).send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(terminate(child), Some(0));
}

#[actix_web::test]
async fn platform_serves_until_sigterm() {
    let mut child = spawn(&["platform", "--vm-lag-millis", "10"]);
    let address = read_address(&mut child);
    let response = Client::new().get(format!("http://{address}/objects/none")).send().await;
    assert_eq!(response.unwrap().status(), 404);
    assert_eq!(terminate(child), Some(0));
}

#[test]
fn invalid_options_are_rejected() {
    let cases: [&[&str]; 5] = [
        &["engine", "--plces", "3"],
        &["engine", "--places", "x"],
        &["platform", "--places", "3"],
        &["other"],
        &[],
    ];
    for arguments in cases {
        let status = spawn(arguments).wait().unwrap();
        assert_eq!(status.code(), Some(2), "{arguments:?}");
    }
    assert_eq!(spawn(&["--help"]).wait().unwrap().code(), Some(0));
}
