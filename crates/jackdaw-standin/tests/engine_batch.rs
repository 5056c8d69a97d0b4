//! Batching, stream resumption, cancellation, crashes and orders of the engine stand-in.

use std::time::Duration;

use awc::Client;
use futures_util::StreamExt;
use jackdaw_standin::{CRASH_MARKER, EngineSettings, EngineStandin, expected_answer, prompt_id};
use serde_json::{Value, json};

/// Starts an engine with short steps.
fn bind_engine(max_batch_size: usize) -> EngineStandin {
    EngineStandin::bind(EngineSettings {
        max_batch_size,
        step_base: Duration::from_millis(1),
        step_per_request: Duration::ZERO,
        crash_downtime: Duration::from_millis(50),
        ..EngineSettings::default()
    })
    .unwrap()
}

/// Returns the URL of a path.
fn url(engine: &EngineStandin, path: &str) -> String {
    format!("http://{}{path}", engine.address())
}

/// Returns a client with a long timeout.
fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(20)).finish()
}

/// Requests a completion and returns the complete body, or `None` if the request fails.
async fn complete(engine: &EngineStandin, body: &Value) -> Option<String> {
    let request = client().post(url(engine, "/v1/completions"));
    let mut response = request.send_json(body).await.ok()?;
    let bytes = response.body().limit(8 << 20).await.ok()?;
    Some(String::from_utf8(bytes.to_vec()).unwrap())
}

/// Returns the text of a streamed answer.
fn stream_text(body: &str) -> String {
    let mut text = String::new();
    for event in body.split("\n\n") {
        let Some(data) = event.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap();
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    text
}

#[actix_web::test]
async fn answers_match_expected_tokens() {
    let engine = bind_engine(4);
    let expected = expected_answer("arrears of member 7", 500).concat();
    let body = json!({"prompt": "arrears of member 7", "max_tokens": 500, "user": "ana"});
    let answer = complete(&engine, &body).await.unwrap();
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(answer["choices"][0]["text"], expected);
    let body = json!({"prompt": "arrears of member 7", "max_tokens": 500, "stream": true});
    let stream = complete(&engine, &body).await.unwrap();
    assert_eq!(stream_text(&stream), expected);
    assert!(stream.ends_with("data: [DONE]\n\n"));
    let tally = engine.tally();
    assert_eq!(tally.prompts[&prompt_id("arrears of member 7")].starts, 2);
    assert_eq!(tally.usage.users["ana"].requests, 1);
    assert_eq!(tally.usage.completed, 2);
    engine.close().await;
}

/// Guards against a resumed stream that repeats, skips or changes events.
#[actix_web::test]
async fn resumed_stream_returns_remaining_events() {
    let first = bind_engine(4);
    let second = bind_engine(4);
    let mut body = json!({"prompt": "valve 12", "model": "m", "max_tokens": 40, "stream": true});
    let stream = complete(&first, &body).await.unwrap();
    let events: Vec<&str> = stream.split_inclusive("\n\n").collect();
    for start in [1, events.len() / 2, events.len() - 2, events.len() - 1] {
        body["resume_from"] = json!(start);
        let rest = complete(&second, &body).await.unwrap();
        assert_eq!(rest, events[start..].concat(), "from event {start}");
    }
    let tally = second.tally();
    assert_eq!(tally.prompts[&prompt_id("valve 12")].starts, 0);
    first.close().await;
    second.close().await;
}

#[actix_web::test]
async fn queue_is_served_in_fifo_order() {
    let engine = bind_engine(1);
    let mut tasks = Vec::new();
    let (sender, mut order) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..4 {
        let address = url(&engine, "/v1/completions");
        let sender = sender.clone();
        tasks.push(actix_web::rt::spawn(async move {
            let body = json!({"prompt": format!("q{number}"), "max_tokens": 20});
            client().post(address).send_json(&body).await.unwrap();
            sender.send(number).unwrap();
        }));
        while engine.tally().prompts.len() < number + 1 {
            actix_web::rt::time::sleep(Duration::from_millis(1)).await;
        }
    }
    for number in 0..4 {
        assert_eq!(order.recv().await, Some(number));
    }
    engine.close().await;
}

/// Guards against lost or repeated tokens when requests start in different parts of a step.
#[actix_web::test]
async fn step_slots_keep_answers_complete() {
    let settings = EngineSettings {
        step_base: Duration::from_millis(8),
        step_slots: 4,
        ..EngineSettings::default()
    };
    let engine = EngineStandin::bind(settings).unwrap();
    let mut tasks = Vec::new();
    for number in 0..6 {
        let address = url(&engine, "/v1/completions");
        tasks.push(actix_web::rt::spawn(async move {
            let prompt = format!("[[draft]] {number}");
            let body = json!({"prompt": prompt, "max_tokens": 12, "stream": true});
            let mut response = client().post(address).send_json(&body).await.unwrap();
            let bytes = response.body().await.unwrap();
            let text = stream_text(std::str::from_utf8(&bytes).unwrap());
            assert_eq!(text, expected_answer(&prompt, 12).concat());
        }));
        actix_web::rt::time::sleep(Duration::from_millis(3)).await;
    }
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(engine.tally().usage.completed, 6);
    engine.close().await;
}

/// Guards against a disconnected caller that keeps its place in the batch.
#[actix_web::test]
async fn cancelled_request_frees_its_place() {
    let engine = bind_engine(1);
    let long = json!({
        "prompt": "[[draft]] report on tower 3", "max_tokens": 4000, "stream": true,
    });
    assert!(expected_answer("[[draft]] report on tower 3", 4000).len() > 60);
    let request = client().post(url(&engine, "/v1/completions"));
    let mut response = request.send_json(&long).await.unwrap();
    response.next().await.unwrap().unwrap();
    drop(response);
    let short = json!({"prompt": "status", "max_tokens": 5});
    complete(&engine, &short).await.unwrap();
    let tally = engine.tally();
    assert_eq!(tally.usage.cancelled, 1);
    assert_eq!(tally.usage.completed, 1);
    engine.close().await;
}

/// Guards against a crash that leaves other streams open, keeps the port listening, or after
/// which the engine does not restart.
#[actix_web::test]
async fn crash_cuts_all_streams() {
    let crash_downtime = Duration::from_secs(2);
    let settings = EngineSettings { crash_downtime, ..EngineSettings::default() };
    let engine = EngineStandin::bind(settings).unwrap();
    let unmarked = json!({
        "prompt": "[[draft]] innocent", "max_tokens": 4000, "stream": true,
    });
    let request = client().post(url(&engine, "/v1/completions"));
    let mut response = request.send_json(&unmarked).await.unwrap();
    response.next().await.unwrap().unwrap();
    let marked = json!({"prompt": format!("x {CRASH_MARKER}"), "max_tokens": 5, "stream": true});
    // The client library accepts a body that ends early, so only the last event shows the cut.
    let cut = complete(&engine, &marked).await.unwrap_or_default();
    assert!(!cut.contains("[DONE]"), "the marked stream must not be complete");
    let mut rest = Vec::new();
    while let Some(Ok(part)) = response.next().await {
        rest.extend_from_slice(&part);
    }
    let rest = String::from_utf8(rest).unwrap();
    assert!(!rest.contains("[DONE]"), "the unmarked stream must be cut");
    assert_eq!(engine.tally().usage.crashes, 1);
    // The streams may end shortly before the server stops.
    let mut tries = 0;
    while client().get(url(&engine, "/load")).send().await.is_ok() {
        tries += 1;
        assert!(tries < 200, "connections are refused after a crash");
        actix_web::rt::time::sleep(Duration::from_millis(5)).await;
    }
    let short = json!({"prompt": "status", "max_tokens": 5});
    let mut tries = 0;
    while complete(&engine, &short).await.is_none() {
        tries += 1;
        assert!(tries < 2000, "the engine must restart");
        actix_web::rt::time::sleep(Duration::from_millis(10)).await;
    }
    engine.close().await;
}

#[actix_web::test]
async fn outdated_orders_are_rejected_if_fencing_is_checked() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            models: vec!["base".to_owned()],
            ..EngineSettings::default()
        };
        let engine = EngineStandin::bind(settings).unwrap();
        for (fencing, value) in [(5, "new"), (4, "old")] {
            let order = json!({"fencing": fencing, "action": "load-model", "value": value});
            client().post(url(&engine, "/orders")).send_json(&order).await.unwrap();
        }
        let tally = engine.tally();
        assert_eq!(tally.orders[1].accepted, !checks_fencing);
        assert_eq!(tally.models.contains(&"old".to_owned()), !checks_fencing);
        let unknown = json!({"model": "none", "prompt": "x"});
        let request = client().post(url(&engine, "/v1/completions"));
        assert_eq!(request.send_json(&unknown).await.unwrap().status(), 404);
        engine.close().await;
    }
}
