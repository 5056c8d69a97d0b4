//! Prefill that targets have just done, and its limit beside running streams.

use std::time::Duration;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::placement::{PlacementTarget, choose_target};
use jackdaw_policy::direct::{
    Placement, PlacementRequest, PrefillUsage, PrefillWindow, RefusalReason, ShareStatus,
    ShareTier, StreamMonitor, TargetId, TargetLoad,
};

use crate::common::{at, prompt};

const TARGET: TargetId = TargetId(5);
const PEER: ProcessIncarnation = ProcessIncarnation(9);
const PAUSE: Duration = Duration::from_millis(400);

fn usage(tokens_hundreds: u32) -> PrefillUsage {
    PrefillUsage { target: TARGET, tokens_hundreds }
}

#[test]
fn prefill_counts_for_a_moment() {
    let mut window = PrefillWindow::default();
    window.record(at(0), TARGET, 6000);
    window.record(at(100), TARGET, 4000);
    assert_eq!(window.tokens(TARGET), 10_000);
    window.expire(at(260));
    assert_eq!(window.tokens(TARGET), 4000);
    assert_eq!(window.own_usage(at(300)), [usage(40)]);
    assert!(window.own_usage(at(400)).is_empty());
}

#[test]
fn prefill_of_other_routers_is_replaced_by_their_reports() {
    let mut window = PrefillWindow::default();
    window.record(at(0), TARGET, 1000);
    window.apply_report(PEER, &[usage(30)]);
    window.apply_report(PEER, &[usage(20)]);
    assert_eq!(window.tokens(TARGET), 3000);
    window.apply_report(PEER, &[]);
    assert_eq!(window.tokens(TARGET), 1000);
    window.apply_report(PEER, &[usage(20)]);
    window.remove_peer(PEER);
    assert_eq!(window.tokens(TARGET), 1000);
}

#[test]
fn limit_starts_and_ends_with_the_pauses() {
    let mut monitor = StreamMonitor::default();
    for _ in 0..50 {
        monitor.record_stream(10, false);
    }
    assert!(!monitor.is_limiting());
    let started = (0..20).find_map(|_| monitor.record_stream(10, true));
    assert_eq!(started, Some(true));
    // One stream in twelve with a long pause is enough to keep the limit, none ends it.
    let steady = (0..500).filter_map(|number| monitor.record_stream(10, number % 12 == 0));
    assert_eq!(steady.count(), 0, "{}", monitor.late_share());
    assert_eq!((0..500).find_map(|_| monitor.record_stream(10, false)), Some(false));
}

/// On fleets whose events hold few tokens, some streams pause too long as well. The limit would
/// cost customers with long prompts more than the others gain.
#[test]
fn few_long_pauses_set_no_limit() {
    let mut monitor = StreamMonitor::default();
    let changes = (0..2000).filter_map(|number| monitor.record_stream(10, number % 20 == 0));
    assert_eq!(changes.count(), 0, "{}", monitor.late_share());
    let short = (0..200).filter_map(|_| monitor.record_stream(1, true));
    assert_eq!(short.count(), 0, "short streams do not count");
}

fn target(recent_ms: u64, running: u32) -> PlacementTarget {
    PlacementTarget {
        target: TARGET,
        slots: 16,
        memory_tokens: Some(800_000),
        load: TargetLoad { queued_tokens: 0, queued: 0, running, memory_tokens: 50_000 },
        queue_time: Duration::ZERO,
        recent_time: Duration::from_millis(recent_ms),
        prefill_tokens: 600,
        prefill_time: Duration::from_millis(60),
        repeated_prefill_time: Duration::ZERO,
        copy_time: Duration::ZERO,
        cache_source: None,
        base_time: Duration::from_millis(40),
        is_fast: false,
        failure_rate: 0.0,
        is_same_domain: true,
        is_candidate: true,
    }
}

fn is_sent(stream_pause_limit: Option<Duration>, target: &PlacementTarget) -> bool {
    let prompt = prompt(1, 5000, 600);
    let request = PlacementRequest {
        prompt: Some(&prompt),
        service_objective: Duration::from_millis(500),
        time_left: Duration::from_secs(15),
        share: ShareStatus { tier: ShareTier::Owed, share_used: 1.0 },
        rank: 0,
        is_caller_retry: false,
        mean_wait: Duration::ZERO,
        stream_pause_limit,
        shortest_target_pause: None,
        no_target_reason: RefusalReason::NoTarget,
    };
    let targets = std::slice::from_ref(target);
    matches!(choose_target(&request, targets), Placement::Send { .. })
}

/// A target without a queue that has just prefilled for most of the pause.
#[test]
fn recent_prefill_beside_streams_is_not_extended() {
    assert!(!is_sent(Some(PAUSE), &target(300, 4)));
    assert!(is_sent(Some(PAUSE), &target(200, 4)));
    assert!(is_sent(Some(PAUSE), &target(300, 0)), "no stream is delayed");
    assert!(is_sent(None, &target(300, 4)), "streams do not pause too long");
}

/// A prompt that alone takes longer than a pause may go to a target that was idle.
#[test]
fn long_prompts_are_not_excluded() {
    let long = |recent_ms| {
        let prefill_time = Duration::from_millis(450);
        PlacementTarget { prefill_time, ..target(recent_ms, 4) }
    };
    assert!(is_sent(Some(PAUSE), &long(10)));
    assert!(!is_sent(Some(PAUSE), &long(100)));
}
