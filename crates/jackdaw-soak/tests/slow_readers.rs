//! A router process is stopped while callers still read their streams slowly.

use std::time::Duration;

use jackdaw_platform_standins::{
    RouterEndpoints, SlowCaller, StoreStandin, TargetBehavior, TargetStandin, TargetState,
    build_request, sample_config, send_request,
};
use jackdaw_proofs::ProcessSignal;
use jackdaw_soak::router_process::RouterProcess;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Time that the process has from SIGTERM to its exit, in seconds.
const GRACE_S: u64 = 8;

/// Events of the streams and bytes of each; a target needs 20 ms for an event.
const EVENTS: [usize; 4] = [60, 90, 115, 140];
const EVENT_BYTES: usize = 1000;

/// Pauses after each piece of 820 bytes that a caller reads: the longest stream takes the slowest one 7 s.
const READ_PAUSES_MS: [u64; 3] = [20, 30, 40];

/// Time after the first request at which the process is stopped.
const STOP_AFTER: Duration = Duration::from_millis(800);

/// Time within which the router has to serve.
const START_TIME: Duration = Duration::from_secs(12);

fn event(number: usize) -> String {
    let mut text = format!("id: {number}\ndata: ");
    text.extend(std::iter::repeat_n('x', EVENT_BYTES - text.len()));
    text + "\n\n"
}

async fn wait_served(router: &RouterProcess) {
    let ends = Instant::now() + START_TIME;
    loop {
        let request = build_request("/safe/x", "first", "");
        let answer = send_request(router.endpoints.caller_address(), request).await;
        if answer.is_some_and(|answer| answer.status.as_u16() == 200) {
            return;
        }
        assert!(Instant::now() < ends, "the router does not serve");
        sleep(Duration::from_millis(50)).await;
    }
}

/// The process ended while it held the ends of streams that targets had completed.
#[test]
fn stopped_process_delivers_streams_to_slow_readers() {
    let directory = tempfile::tempdir().expect("temporary directory can be created");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let test = async {
        let store = StoreStandin::bind().await;
        let mut config = sample_config(1, &["k1"]);
        for route in config["routes"].as_array_mut().expect("list of routes") {
            route["timeout_ms"] = 12_000.into();
        }
        store.put_config(&config);
        let target = TargetStandin::bind("i-1").await;
        store.put_target("i-1", &target.entry("s", TargetState::Ready));
        let endpoints = RouterEndpoints::allocate("a");
        let settings = endpoints.settings(&[endpoints], store.address);
        let settings = settings.replace("grace_s = 4", &format!("grace_s = {GRACE_S}"));
        let router = RouterProcess::spawn(endpoints, &settings, directory.path());
        wait_served(&router).await;

        let begun = Instant::now();
        let mut readings = Vec::new();
        for (events, pause) in
            EVENTS.iter().flat_map(|events| READ_PAUSES_MS.map(|ms| (events, ms)))
        {
            let chunks = (1..=*events).map(|number| &*event(number).leak()).collect();
            target.queue_behavior(TargetBehavior::Stream(chunks));
            let id = format!("{events}-{pause}");
            let address = endpoints.caller_address();
            let caller = SlowCaller::send(address, "/stream/x", &id, Duration::from_secs(12)).await;
            while !target.received_requests().iter().any(|request| request.id() == id) {
                sleep(Duration::from_millis(2)).await;
            }
            let reading = caller.read(Duration::from_millis(pause));
            readings.push((id, *events, tokio::task::spawn_local(reading)));
        }
        tokio::time::sleep_until(begun + STOP_AFTER).await;
        router.signal(ProcessSignal::Terminate);
        let stopped = Instant::now();
        assert_eq!(router.wait_exit().await, None, "the process ends by itself");
        assert!(stopped.elapsed() < Duration::from_secs(GRACE_S), "within the grace period");
        for (id, events, reading) in readings {
            let answer = reading.await.expect("caller");
            let expected: String = (1..=events).map(event).collect();
            assert!(answer.is_complete && answer.body == expected, "{id}: {}", answer.body.len());
        }
    };
    LocalSet::new().block_on(&runtime.expect("runtime can be built"), test);
}
