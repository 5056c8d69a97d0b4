//! Lagging load reports, delayed and lost cache events, and KV cache transfer.

use std::time::Duration;

use awc::Client;
use futures_util::StreamExt;
use jackdaw_standin::{EngineSettings, EngineStandin, prefix_hash};
use serde_json::{Value, json};

/// A lag longer than any test.
const LONG_LAG: Duration = Duration::from_secs(3600);

/// Starts an engine whose load reports and cache events lag by `lag`.
fn bind_engine(lag: Duration) -> EngineStandin {
    EngineStandin::bind(EngineSettings {
        step_base: Duration::from_millis(1),
        load_lag: lag,
        cache_event_lag: lag,
        cache_event_loss_percent: 50,
        max_cached_prefixes: 4,
        seed: 7,
        ..EngineSettings::default()
    })
    .unwrap()
}

/// Sends a `GET` request and returns the JSON response.
async fn get(engine: &EngineStandin, path: &str) -> Value {
    let url = format!("http://{}{path}", engine.address());
    Client::new().get(url).send().await.unwrap().json().await.unwrap()
}

/// Sends a `POST` request with a JSON body and returns the status.
async fn post(engine: &EngineStandin, path: &str, body: &Value) -> u16 {
    let url = format!("http://{}{path}", engine.address());
    Client::new().post(url).send_json(body).await.unwrap().status().as_u16()
}

#[actix_web::test]
async fn load_report_lags() {
    for (lag, expected) in [(Duration::ZERO, 1), (LONG_LAG, 0)] {
        let engine = bind_engine(lag);
        let url = format!("http://{}/v1/completions", engine.address());
        let body = json!({"prompt": "[[draft]] tower", "max_tokens": 4000, "stream": true});
        let mut response = Client::new().post(url).send_json(&body).await.unwrap();
        response.next().await.unwrap().unwrap();
        assert_eq!(get(&engine, "/load").await["running"], expected, "lag {lag:?}");
        engine.close().await;
    }
}

#[actix_web::test]
async fn cache_events_are_delayed_and_lost() {
    for (lag, is_visible) in [(Duration::ZERO, true), (LONG_LAG, false)] {
        let engine = bind_engine(lag);
        for number in 0..20 {
            let body = json!({"prompt": format!("p{number}"), "max_tokens": 1});
            assert_eq!(post(&engine, "/v1/completions", &body).await, 200);
        }
        // 20 prefixes are stored and all but the last 4 are evicted, which makes 36 events.
        let answer = get(&engine, "/cache-events?after=0").await;
        let events = answer["events"].as_array().unwrap();
        assert_eq!(!events.is_empty(), is_visible, "lag {lag:?}, seed 7");
        assert!(events.len() < 36, "half of the events are lost");
        let later = get(&engine, "/cache-events?after=18").await;
        let later = later["events"].as_array().unwrap();
        assert!(later.iter().all(|event| event["sequence"].as_u64().unwrap() > 18));
        engine.close().await;
    }
}

#[actix_web::test]
async fn exported_cache_is_imported() {
    let first = bind_engine(Duration::ZERO);
    let second = bind_engine(Duration::ZERO);
    let prompt = json!({"prompt": "ledger of 2025"});
    assert_eq!(post(&first, "/kv/export", &prompt).await, 404);
    let body = json!({"prompt": "ledger of 2025", "max_tokens": 1});
    assert_eq!(post(&first, "/v1/completions", &body).await, 200);
    assert_eq!(post(&first, "/kv/export", &prompt).await, 200);
    let export = json!({"prefix": prefix_hash("ledger of 2025")});
    assert_eq!(post(&second, "/kv/import", &export).await, 204);
    assert_eq!(post(&second, "/kv/export", &prompt).await, 200);
    first.close().await;
    second.close().await;
}
