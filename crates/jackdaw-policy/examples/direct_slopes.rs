//! Measures the cost of the decisions of a router without agents by fleet size.
//!
//! Usage: `cargo run --release -p jackdaw-policy --example direct_slopes`

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation, VmId};
use jackdaw_policy::direct::{
    ColdTolerance, DirectPolicy, DirectRequest, DirectRouter, DomainRegions, HomeRule, Placement,
    PromptPart, PromptShape, RunOutcome, TargetChange, TargetEntry, TargetState, VersionRule,
};
use smallvec::smallvec;

const SERVICE: &str = "engines";
const REQUESTS: u64 = 20_000;

fn main() {
    println!("targets customers routers | us / request | us / received report | bytes / report");
    for (targets, customers, routers) in
        [(12, 16, 8), (48, 32, 40), (200, 100, 40), (200, 1000, 40), (933, 1000, 300)]
    {
        measure(targets, customers, routers);
    }
}

fn measure(targets: usize, customers: u64, routers: usize) {
    let mut fleet: Vec<DirectRouter> =
        (0..routers).map(|index| router(index as u64 + 1, targets)).collect();
    let reports: Vec<_> = fleet
        .iter_mut()
        .map(|router| {
            load(router, customers, 200);
            router.report(MonotonicTime(400_000))
        })
        .collect();
    let bytes = postcard::to_stdvec(&reports[0]).expect("plain data").len();
    let first = &mut fleet[0];
    let start = Instant::now();
    for report in &reports[1..] {
        first.apply_report(MonotonicTime(500_000), report);
    }
    let report_micros = start.elapsed().as_secs_f64() * 1e6 / (routers - 1) as f64;
    let start = Instant::now();
    load(first, customers, REQUESTS);
    let micros = start.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
    println!(
        "{targets:7} {customers:9} {routers:7} | {micros:12.2} | {report_micros:20.2} | {bytes:14}"
    );
}

/// Places requests at a fixed rate and ends each run once forty later ones have started.
fn load(router: &mut DirectRouter, customers: u64, requests: u64) {
    let mut runs = std::collections::VecDeque::new();
    for number in 0..requests {
        let now = MonotonicTime(500_000 + number * 2_000);
        let prompt = PromptShape {
            parts: smallvec![
                PromptPart { id: number % 300, tokens: 400 },
                PromptPart { id: number, tokens: 600 },
            ],
            prompt_tokens: 1000,
            output_tokens: 100,
        };
        let request = DirectRequest {
            customer: Some(CustomerId(number % customers)),
            rank: 0,
            service: SERVICE,
            prompt: Some(&prompt),
            time_left: Duration::from_secs(15),
            fingerprint: number,
            homes: HomeRule::default(),
            version_rule: VersionRule::Any,
        };
        router.record_arrival(now, &request);
        if let Placement::Send { target, prefill_tokens, .. } = router.place(now, &request, &[]) {
            runs.push_back(router.start_run(now, &request, target, prefill_tokens));
        }
        if runs.len() > 40
            && let Some(run) = runs.pop_front()
        {
            router.record_response(now, run);
            router.end_run(now, run, RunOutcome::Whole);
        }
    }
}

fn router(incarnation: u64, targets: usize) -> DirectRouter {
    let policy = DirectPolicy {
        domain: "a".to_owned(),
        vm: VmId(1),
        expects_others: false,
        regions: DomainRegions::new(),
        cold_tolerance: ColdTolerance::default(),
        has_evacuations: false,
        is_first_start: false,
        share_window: Duration::from_secs(4),
        retry_window: Duration::from_secs(10),
        retry_ratio: 0.2,
        retry_allowance: 100.0,
    };
    let now = MonotonicTime(0);
    let mut router = DirectRouter::new(policy, ProcessIncarnation(incarnation));
    for index in 0..targets {
        let entry = TargetEntry {
            name: format!("target-{index}"),
            service: SERVICE.to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
            domain: "a".to_owned(),
            version: Some("v1".to_owned()),
            slots: 128,
            state: TargetState::Ready,
            started_unix_ms: 1,
            cold_left: Some(Duration::ZERO),
            revision: (1 + index as u64).into(),
        };
        router.targets.apply(now, TargetChange::Present(entry));
    }
    router
}
