//! Fault injection, rate limits and counters of the platform stand-in over HTTP.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use jackdaw_standin::{
    AnswerFault, PlatformCounts, PlatformFaults, PlatformStandin, StandinSettings,
};

fn url(standin: &PlatformStandin, path: &str) -> String {
    format!("http://{}{path}", standin.address())
}

async fn create(client: &Client, standin: &PlatformStandin, key: &str) -> Option<StatusCode> {
    let request = client
        .put(url(standin, &format!("/objects/{key}")))
        .insert_header(("if-none-match", "*"))
        .timeout(Duration::from_millis(200));
    request.send_body("x").await.ok().map(|response| response.status())
}

async fn put_faults(client: &Client, standin: &PlatformStandin, faults: PlatformFaults) {
    let request = client.put(url(standin, "/admin/faults"));
    assert_eq!(request.send_json(&faults).await.unwrap().status(), StatusCode::NO_CONTENT);
}

#[actix_rt::test]
async fn faults_fail_or_hold_writes() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let client = Client::default();
    let cases = [
        (AnswerFault::Gateway, Some(StatusCode::BAD_GATEWAY)),
        (AnswerFault::Closed, None),
        (AnswerFault::Silent, None),
    ];
    for (index, (fault, expected)) in cases.into_iter().enumerate() {
        let faults = PlatformFaults { down: Some(fault), ..PlatformFaults::default() };
        put_faults(&client, &standin, faults).await;
        let key = format!("down/{index}");
        assert_eq!(create(&client, &standin, &key).await, expected, "{fault:?}");
        assert_eq!(standin.object(&key), None);
        let faults =
            PlatformFaults { lost_answers: 1, lost_as: Some(fault), ..PlatformFaults::default() };
        put_faults(&client, &standin, faults).await;
        let key = format!("lost/{index}");
        assert_eq!(create(&client, &standin, &key).await, expected, "{fault:?}");
        assert_eq!(standin.object(&key), Some(b"x".to_vec()));
    }
    put_faults(&client, &standin, PlatformFaults { held_writes: 1, ..Default::default() }).await;
    assert_eq!(create(&client, &standin, "held").await, None);
    assert_eq!(standin.object("held"), None);
    let mut released = client.post(url(&standin, "/admin/release")).send().await.unwrap();
    assert_eq!(released.json::<usize>().await.unwrap(), 1);
    assert_eq!(standin.object("held"), Some(b"x".to_vec()));
    standin.close().await;
}

#[actix_rt::test]
async fn writes_above_limit_are_refused() {
    let settings = StandinSettings { writes_per_second: 3, ..StandinSettings::default() };
    let standin = PlatformStandin::bind(settings).unwrap();
    let client = Client::default();
    let mut refused = 0;
    for index in 0..8 {
        let status = create(&client, &standin, &format!("k/{index}")).await;
        if status == Some(StatusCode::TOO_MANY_REQUESTS) {
            refused += 1;
        }
    }
    assert!(refused >= 1, "no write was refused");
    let mut response = client.get(url(&standin, "/admin/counts")).send().await.unwrap();
    let counts: PlatformCounts = response.json().await.unwrap();
    assert_eq!((counts.writes, counts.refused), (8, refused));
    assert_eq!(counts.effective_writes, 8 - refused);
    assert_eq!(standin.keys("k/").len() as u64, 8 - refused);
    standin.close().await;
}

#[actix_rt::test]
async fn invalid_calls_have_no_effect() {
    let standin = PlatformStandin::bind(StandinSettings::default()).unwrap();
    let client = Client::default();
    let unconditional = client.put(url(&standin, "/objects/a")).send_body("x").await.unwrap();
    assert_eq!(unconditional.status(), StatusCode::PRECONDITION_REQUIRED);
    let unknown = client.put(url(&standin, "/admin/faults")).send_body("{\"dwon\": 1}").await;
    assert!(unknown.unwrap().status().is_client_error());
    assert_eq!(standin.object("a"), None);
    standin.close().await;
}
