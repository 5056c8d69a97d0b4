//! Entries of another writer in the list of targets while all router processes are killed and restarted.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jackdaw_platform_standins::{
    RawAnswer, RawEnd, RawTarget, RouterEndpoints, StoreMode, StoreStandin, TargetBehavior,
    TargetStandin, TargetState, build_request, odd_entries, sample_config, send_request,
};
use jackdaw_soak::router_process::RouterProcess;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Processes of the fleet.
const ROUTERS: usize = 3;

/// Entries in a page, fewer than there are odd ones.
const PAGE_SIZE: usize = 20;

/// Time after which routers that were restarted have to serve; the platform's own bound.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Further listings of the targets while the entries stand, and the time for one.
const LISTINGS: usize = 4;
const LISTING_TIME: Duration = Duration::from_millis(300);

/// Length of a line on odd entries, of which there may be thousands.
const LINE_BYTES: usize = 2000;

/// Time that a target takes for a request, so that requests are spread over the targets.
const PROCESSING_TIME: Duration = Duration::from_millis(30);

/// Requests sent to each router to see whether it serves.
const REQUESTS: usize = 20;

/// Sends requests to all routers at once; returns how many were served.
async fn count_served(routers: &[Rc<RouterProcess>], round: &str) -> usize {
    let mut calls = Vec::new();
    for router in routers {
        for number in 0..REQUESTS {
            let request = build_request("/once/x", &format!("{round}-{number}"), "");
            calls.push(send_request(router.endpoints.caller_address(), request));
        }
    }
    let answers = join_all(calls).await;
    answers.iter().flatten().filter(|answer| answer.status.as_u16() == 200).count()
}

/// Waits until all requests are served; returns how many are served in the end.
async fn wait_served(routers: &[Rc<RouterProcess>], round: &str) -> usize {
    let ends = Instant::now() + RECOVERY_TIME;
    loop {
        let served = count_served(routers, round).await;
        if served == ROUTERS * REQUESTS || Instant::now() > ends {
            return served;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

#[test]
fn processes_restart_beside_odd_entries() {
    let directory = tempfile::tempdir().expect("temporary directory can be created");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let test = async {
        let store = StoreStandin::bind().await;
        store.put_config(&sample_config(1, &["k1"]));
        store.set_page_size(PAGE_SIZE);
        // The first target is listed before all odd entries, the second after them.
        let targets = [TargetStandin::bind("a-1").await, TargetStandin::bind("z-1").await];
        for (target, name) in targets.iter().zip(["a-1", "z-1"]) {
            target.set_default_behavior(TargetBehavior::Echo(PROCESSING_TIME));
            store.put_target(name, &target.entry("s", TargetState::Ready));
        }
        let stranger = RawTarget::bind(RawAnswer { chunks: Vec::new(), end: RawEnd::Close }).await;
        let endpoints: Vec<_> = (0..ROUTERS).map(|_| RouterEndpoints::allocate("a")).collect();
        let spawn = |own: &RouterEndpoints| {
            RouterProcess::spawn(*own, &own.settings(&endpoints, store.address), directory.path())
        };
        let routers: Vec<_> = endpoints.iter().map(spawn).collect();
        assert_eq!(wait_served(&routers, "before").await, ROUTERS * REQUESTS, "before");
        for entry in odd_entries(&stranger.entry("s")) {
            store.put_raw_target(&entry.name, &entry.bytes);
        }
        assert_eq!(wait_served(&routers, "beside").await, ROUTERS * REQUESTS, "beside");
        for router in &routers {
            router.kill();
        }
        for router in &routers {
            router.start();
        }
        assert_eq!(wait_served(&routers, "after").await, ROUTERS * REQUESTS, "after");
        assert!(!targets[1].received_requests().is_empty(), "the target after the odd entries");
        for _ in 0..LISTINGS {
            store.set_mode(StoreMode::HistoryLost);
            sleep(LISTING_TIME).await;
        }
        for router in &routers {
            let lines = router.lines_with("entr");
            assert!(lines.len() <= 2, "{} lines for entries: {lines:#?}", lines.len());
            let lines = router.lines_with("\"kind\":\"servers\"");
            assert_eq!(lines.len(), 1, "lines of listings: {lines:#?}");
            let length = lines.iter().map(String::len).sum::<usize>();
            assert!(length <= LINE_BYTES, "{length} bytes: {lines:#?}");
        }
        assert_eq!(stranger.request_count(), 0, "requests by odd entries");
        let panics: Vec<_> = routers.iter().flat_map(|router| router.panic_lines()).collect();
        assert!(panics.is_empty(), "{panics:#?}");
    };
    LocalSet::new().block_on(&runtime.expect("runtime can be built"), test);
}
