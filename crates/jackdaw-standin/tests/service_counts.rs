//! Counters and truncated responses of the plain-service stand-in.

use std::time::Duration;

use awc::Client;
use jackdaw_standin::service::TRUNCATION_MARKER;
use jackdaw_standin::{ServiceSettings, ServiceStandin, expected_reply};

#[actix_web::test]
async fn recordings_are_counted_by_key() {
    let settings =
        ServiceSettings { processing_time: Duration::from_millis(1), ..ServiceSettings::default() };
    let service = ServiceStandin::bind(settings).unwrap();
    let url = format!("http://{}/dues/7", service.address());
    for key in ["k1", "k2", "k1"] {
        let request = Client::new().post(&url).insert_header(("Idempotency-Key", key));
        let mut response = request.send_body("12.50").await.unwrap();
        let body = response.body().await.unwrap();
        assert_eq!(body, expected_reply("POST", "/dues/7", b"12.50"));
    }
    Client::new().get(&url).send().await.unwrap();
    let tally = service.tally();
    assert_eq!(tally.recordings["k1"], 2);
    assert_eq!(tally.recordings["k2"], 1);
    assert_eq!(tally.reads, 1);
    service.close().await;
}

#[actix_web::test]
async fn marked_response_is_truncated() {
    let service = ServiceStandin::bind(ServiceSettings::default()).unwrap();
    let path = format!("/{TRUNCATION_MARKER}/7");
    let reply = expected_reply("GET", &path, b"");
    let url = format!("http://{}{path}", service.address());
    let mut response = Client::new().get(&url).send().await.unwrap();
    let announced = response.headers().get("content-length").unwrap().clone();
    assert_eq!(announced, reply.len().to_string());
    // The client library accepts a body shorter than the announced length.
    let body = response.body().await.unwrap();
    assert_eq!(body, reply[..reply.len() / 2]);
    service.close().await;
}
