//! Cold targets: what they get from all routers together, and what happens when most are cold.

use std::time::Duration;

use jackdaw_base::{ProcessIncarnation, VmId};
use jackdaw_policy::direct::{
    ColdDivision, ColdNotice, ColdShares, ColdSource, ColdStart, ColdTolerance, DirectPolicy,
    DirectRouter, FleetRoster, Placement, RefusalReason, RequestRate, StoreRevision, TargetChange,
    TargetEntry, TargetId,
};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::common::{at, config, direct_policy, entry, prompt, request};

const TARGET: TargetId = TargetId(7);
const COLD_TIME: Duration = Duration::from_secs(3);
/// Rate of a cold target and the tolerance above it, as the strictest known deployment states them.
const RATE: f64 = 16.0;
const TOLERANCE: ColdTolerance = ColdTolerance { factor: 1.5, allowance: 5.0 };
const BOUND: f64 = 29.0;

/// Routers that all want to send to one cold target as often as they may.
struct ColdFleet {
    routers: Vec<(FleetRoster, ColdShares)>,
    /// Group of each router; routers of different groups do not hear each other.
    groups: Vec<usize>,
    random: ChaCha8Rng,
    sent: Vec<u64>,
}

impl ColdFleet {
    fn new(count: usize, seed: u64) -> ColdFleet {
        let router = |vm| (FleetRoster::new(VmId(vm as u64), true), ColdShares::default());
        ColdFleet {
            routers: (0..count).map(router).collect(),
            groups: vec![0; count],
            random: ChaCha8Rng::seed_from_u64(seed),
            sent: Vec::new(),
        }
    }

    fn restart(&mut self, index: usize) {
        let fresh = FleetRoster::new(VmId(index as u64), true);
        self.routers[index] = (fresh, ColdShares::default());
    }

    /// Lets all routers report and send for some milliseconds; returns the requests sent.
    fn run(&mut self, from: u64, millis: u64) -> usize {
        let before = self.sent.len();
        for now in (from..from + millis).step_by(5) {
            for index in 0..self.routers.len() {
                if now % 150 == 0 {
                    self.report(now, index);
                }
                // Bursts that are not aligned with seconds.
                if self.random.random_bool(0.3) {
                    self.send(now, index);
                }
            }
        }
        self.sent.len() - before
    }

    fn report(&mut self, now: u64, from: usize) {
        let group = self.groups[from];
        for (index, (roster, _)) in self.routers.iter_mut().enumerate() {
            if self.groups[index] == group && self.random.random_bool(0.97) {
                roster.record(at(now), VmId(from as u64));
            }
        }
        self.routers[from].0.expire(at(now));
    }

    fn send(&mut self, now: u64, index: usize) {
        let (roster, shares) = &mut self.routers[index];
        shares.prepare(TARGET, roster, BOUND);
        if roster.is_settled(at(now)) && shares.admits(at(now), TARGET) {
            shares.record_send(at(now), TARGET);
            self.sent.push(now);
        }
    }

    /// Returns the most requests within any second.
    fn most_in_a_second(&self) -> usize {
        let within = |first: &u64| {
            self.sent.iter().filter(|time| **time >= *first && **time < first + 1000).count()
        };
        self.sent.iter().map(within).max().unwrap_or(0)
    }
}

/// All routers of the known fleet sizes find the same cold target at once and keep wanting it.
#[test]
fn eager_fleets_stay_within_the_rate_and_use_it() {
    for count in [2, 8, 32, 103] {
        let mut fleet = ColdFleet::new(count, count as u64);
        fleet.run(0, 3000);
        let sent = fleet.run(3000, 4000);
        assert!(fleet.most_in_a_second() <= BOUND as usize, "{count} routers");
        // The stated part: about half of the bound a second.
        let stated = (BOUND / 2.0) as usize * 4;
        assert!(sent * 100 >= stated * 80, "{count} routers sent {sent} of {stated}");
        assert!(sent as f64 > RATE * 4.0 / 2.0, "{count} routers sent {sent}");
    }
}

/// Routers restart, are cut off in two groups and join again while all of them want the target.
#[test]
fn rate_holds_through_restarts_and_cuts() {
    for seed in 0..40 {
        let mut fleet = ColdFleet::new(32, seed);
        let mut now = 0;
        fleet.run(now, 3000);
        now += 3000;
        for _ in 0..6 {
            match fleet.random.random_range(0..4) {
                0 => {
                    let count = fleet.random.random_range(1..32);
                    for index in (0..32).choose_multiple(&mut fleet.random, count) {
                        fleet.restart(index);
                    }
                }
                1 => {
                    let limit = fleet.random.random_range(1..31);
                    fleet.groups = (0..32).map(|index| usize::from(index < limit)).collect();
                }
                2 => fleet.groups = vec![0; 32],
                _ => {}
            }
            let span = fleet.random.random_range(100..1500) * 5;
            fleet.run(now, span);
            now += span;
        }
        let most = fleet.most_in_a_second();
        assert!(most <= BOUND as usize, "seed {seed}: {most} requests in a second");
    }
}

/// A bound that is lower than the number of routers still lets one request through at a time.
#[test]
fn low_rates_have_one_holder() {
    for (bound, holders, sum) in
        [(0.0, 0, 0), (0.9, 0, 0), (1.0, 1, 1), (5.0, 2, 2), (29.0, 14, 14), (100.0, 37, 50)]
    {
        let division = ColdDivision::new(bound, 37);
        assert_eq!(division.holders(), holders, "{bound}");
        assert_eq!((0..37).map(|place| division.part(place)).sum::<usize>(), sum, "{bound}");
    }
}

/// A router that is cut off for longer than members are remembered keeps to its own part.
#[test]
fn router_that_hears_nobody_keeps_its_roster() {
    let mut roster = FleetRoster::new(VmId(1), true);
    for member in 2..10 {
        roster.record(at(0), VmId(member));
    }
    for second in 0..200 {
        roster.expire(at(second * 1000));
    }
    assert_eq!(roster.len(), 9);
}

/// A router that starts while others should be there does not send before it hears any.
#[test]
fn router_without_others_waits_for_them() {
    let settled = |expects_others: bool| {
        let mut roster = FleetRoster::new(VmId(1), expects_others);
        roster.expire(at(0));
        (roster.is_settled(at(1000)), roster.is_settled(at(10_000)))
    };
    assert_eq!(settled(true), (false, false));
    assert_eq!(settled(false), (false, true));
}

fn cold_entry(name: &str, revision: u64, cold_left: Option<u64>) -> TargetEntry {
    TargetEntry { cold_left: cold_left.map(Duration::from_millis), ..entry(name, revision) }
}

/// Returns a router without others whose service has cold targets.
fn cold_router() -> DirectRouter {
    let policy = DirectPolicy { cold_tolerance: TOLERANCE, ..direct_policy() };
    let mut router = DirectRouter::new(policy, ProcessIncarnation(1));
    let mut config = config(1);
    config.services[0].cold_start =
        Some(ColdStart { duration: COLD_TIME, rate: RequestRate::from_per_second(RATE) });
    router.install_config(config);
    router.expire(at(0));
    router
}

fn list(router: &mut DirectRouter, now: u64, entries: Vec<TargetEntry>, revision: u64) {
    router.targets.replace(at(now), entries, StoreRevision::from(revision));
    router.expire(at(now));
}

/// Sends equal requests of one customer at once; returns how many were sent, and the last refusal.
fn send_burst(
    router: &mut DirectRouter,
    now: u64,
    count: u64,
) -> (usize, Option<(RefusalReason, Duration)>) {
    let (mut sent, mut refused) = (0, None);
    for number in 0..count {
        let prompt = prompt(number, 100, 20);
        let request = request(Some(&prompt), number);
        match router.place(at(now), &request, &[]) {
            Placement::Send { target, prefill_tokens, .. } => {
                router.start_run(at(now), &request, target, prefill_tokens);
                sent += 1;
            }
            Placement::Refuse { reason, retry_after } => refused = Some((reason, retry_after)),
        }
    }
    (sent, refused)
}

/// All targets start at once: the burst beyond their cold rates is refused with the time until they
/// are warm.
#[test]
fn burst_at_cold_targets_is_refused_until_they_are_warm() {
    let mut router = cold_router();
    list(&mut router, 9000, vec![cold_entry("t-1", 2, Some(3000))], 2);
    let (sent, refused) = send_burst(&mut router, 10_000, 40);
    assert_eq!(sent, 14);
    let (reason, retry_after) = refused.expect("a refusal");
    assert_eq!(reason, RefusalReason::ColdTargets);
    assert_eq!(retry_after, Duration::from_secs(2));
    // In the same second no more, in the next one again.
    assert_eq!(send_burst(&mut router, 10_900, 40).0, 0);
    assert!(send_burst(&mut router, 11_100, 40).0 > 0);
    assert!(
        send_burst(&mut router, 12_001, 40)
            .1
            .is_none_or(|refused| { refused.0 != RefusalReason::ColdTargets })
    );
}

/// Coldness comes from the entry, or from doubt about a target that is new.
#[test]
fn targets_without_a_statement_are_cold_if_new() {
    let mut router = cold_router();
    let first = vec![cold_entry("stated", 1, Some(0)), cold_entry("unstated", 2, None)];
    list(&mut router, 5000, first, 2);
    assert_eq!(router.take_cold_notices(at(5000)), []);
    for (name, revision, cold_left) in
        [("cold", 3, Some(2000)), ("doubtful", 4, None), ("warm", 5, Some(0))]
    {
        let entry = cold_entry(name, revision, cold_left);
        router.targets.apply(at(6000), TargetChange::Present(entry));
    }
    let mut notices = router.take_cold_notices(at(6000));
    notices.sort_by_key(|notice| format!("{notice:?}"));
    let sources = notices.iter().map(|notice| match notice {
        ColdNotice::Cold { left, source, .. } => (left.as_millis(), *source),
        ColdNotice::Warm(_) => panic!("nothing was cold"),
    });
    let mut sources: Vec<_> = sources.collect();
    sources.sort();
    assert_eq!(sources, [(2000, ColdSource::Entry), (3000, ColdSource::Unstated)]);
    assert_eq!(router.take_cold_notices(at(8500)).len(), 1);
    assert_eq!(router.take_cold_notices(at(9500)).len(), 1);
    assert_eq!(router.cold_count(), 0);
}

/// A target that states an absurd time is not out of use for good.
#[test]
fn absurd_cold_times_are_shortened() {
    let mut router = cold_router();
    list(&mut router, 0, vec![cold_entry("t-0", 1, Some(u64::from(u32::MAX)))], 1);
    assert_eq!(router.take_cold_notices(at(59_000)).len(), 1);
    assert!(matches!(router.take_cold_notices(at(61_000))[..], [ColdNotice::Warm(_)]));
}

/// A steady load finds a warm and a cold target: the warm one gets what the cold one must not.
#[test]
fn requests_beyond_the_cold_rate_go_to_warm_targets() {
    let mut router = cold_router();
    list(&mut router, 0, vec![cold_entry("warm", 1, Some(0))], 1);
    router.targets.apply(at(5000), TargetChange::Present(cold_entry("cold", 2, Some(3000))));
    router.expire(at(5000));
    let cold = cold_entry("cold", 2, None).id();
    let (mut to_cold, mut to_warm) = (0, 0);
    for number in 0..40 {
        let prompt = prompt(number, 100, 20);
        let request = request(Some(&prompt), number);
        match router.place(at(5500), &request, &[]) {
            Placement::Send { target, prefill_tokens, .. } => {
                router.start_run(at(5500), &request, target, prefill_tokens);
                if target == cold { to_cold += 1 } else { to_warm += 1 }
            }
            Placement::Refuse { reason, .. } => panic!("refused: {reason:?}"),
        }
    }
    assert!(to_cold <= 14, "{to_cold} requests to the cold target");
    assert_eq!(to_cold + to_warm, 40);
}
