//! A short run of the complete demo.

use std::time::Duration;

use jackdaw_demo::DemoSettings;
use jackdaw_policy::SharePolicy;
use serde_json::Value;

#[test]
fn all_answers_are_correct() {
    let settings = DemoSettings {
        load_time: Duration::from_secs(1),
        seed: 11,
        routers: 2,
        targets: 2,
        customers: 3,
        policy: SharePolicy::Fleet,
        json: true,
    };
    println!("seed {}", settings.seed);
    let report = jackdaw_demo::run(settings).unwrap();
    assert!(report.is_correct(), "{report:?}");
    assert!(report.requests.answered > 20, "{report:?}");
    let json: Value = serde_json::from_str(&report.to_json()).unwrap();
    for field in [
        "/seed",
        "/policy",
        "/requests/sent",
        "/requests/lost",
        "/requests/crossed",
        "/requests/truncated",
        "/recordings/doubled",
        "/recordings/not_run_but_ran",
        "/fairness_gap_tokens",
        "/utilisation_percent",
        "/platform_calls_per_second",
        "/control_bytes_per_second_per_node",
        "/added_latency_ms/p50",
        "/added_latency_ms/p99",
    ] {
        assert!(json.pointer(field).is_some(), "{field}");
    }
    assert!(report.to_table().contains("fairness gap"));
}
