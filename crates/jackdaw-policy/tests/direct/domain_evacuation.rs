//! Failure domains that are taken out of use, and homes of routes and customers.

use std::time::Duration;

use jackdaw_base::ProcessIncarnation;
use jackdaw_policy::direct::{
    ColdStart, DirectPolicy, DirectRequest, DirectRouter, EvacuationChange, EvacuationTable,
    HomeRule, Placement, RefusalReason, RequestRate, StoreRevision, TargetEntry, TargetId,
};

use crate::common::{at, config, direct_policy, entry, prompt, request};

fn in_domain(name: &str, domain: &str) -> TargetEntry {
    let domain = domain.to_owned();
    TargetEntry { domain, cold_left: Some(Duration::ZERO), ..entry(name, 1) }
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision::new(era, number)
}

/// Returns a router with targets in the domains `a` and `b`, which knows that all are in use.
fn router_with_domains() -> DirectRouter {
    let regions = [("a", "north"), ("b", "south")];
    let regions = regions.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    let policy = DirectPolicy { has_evacuations: true, regions: regions.into(), ..direct_policy() };
    let mut router = DirectRouter::new(policy, ProcessIncarnation(1));
    let mut config = config(1);
    config.services[0].cold_start = Some(ColdStart {
        duration: Duration::from_secs(3),
        rate: RequestRate::from_per_second(16.0),
    });
    router.install_config(config);
    let targets = vec![in_domain("t-a", "a"), in_domain("t-b", "b")];
    router.targets.replace(at(0), targets, revision(0, 1));
    router
}

/// Returns where requests with different prompts go, or why one is refused.
fn place_many(
    router: &mut DirectRouter,
    now: u64,
    homes: HomeRule<'_>,
) -> Result<Vec<TargetId>, RefusalReason> {
    let mut targets = Vec::new();
    for number in 0..30 {
        let prompt = prompt(number, 100, 20);
        let request = DirectRequest { homes, ..request(Some(&prompt), number) };
        match router.place(at(now), &request, &[]) {
            Placement::Send { target, .. } => targets.push(target),
            Placement::Refuse { reason, .. } => return Err(reason),
        }
    }
    targets.sort();
    targets.dedup();
    Ok(targets)
}

/// The operator evacuates a domain under a steady load: nothing more goes there, not even what was
/// placed before, and its targets are cold when it returns.
#[test]
fn evacuated_domain_gets_nothing() {
    let mut router = router_with_domains();
    let open = HomeRule::default();
    assert!(!router.is_ready());
    assert_eq!(place_many(&mut router, 1, open), Err(RefusalReason::NoTarget));
    router.replace_evacuations(at(2), revision(0, 1), Vec::new());
    assert!(router.is_ready());
    assert_eq!(place_many(&mut router, 10, open).map(|targets| targets.len()), Ok(2));

    let (a, b) = (in_domain("t-a", "a").id(), in_domain("t-b", "b").id());
    let change = |is_evacuated| EvacuationChange { domain: "a".to_owned(), is_evacuated };
    let effect = router.change_evacuations(at(20), revision(0, 2), &[change(true)]);
    assert_eq!(effect.evacuated, ["a"]);
    assert!(!router.accepts_placed(at(20), a) && router.accepts_placed(at(20), b));
    assert_eq!(place_many(&mut router, 20, open), Ok(vec![b]));

    let effect = router.change_evacuations(at(9000), revision(0, 3), &[change(false)]);
    assert_eq!(effect.returned, [("a".to_owned(), at(9000))]);
    assert_eq!(router.take_cold_notices(at(9000)).len(), 1);
    assert_eq!(router.take_cold_notices(at(12_100)).len(), 1);
    assert_eq!(place_many(&mut router, 12_100, open).map(|targets| targets.len()), Ok(2));
}

/// Requests that only evacuated targets could serve are refused with that reason.
#[test]
fn requests_without_a_domain_left_are_refused() {
    let mut router = router_with_domains();
    let both = vec!["a".to_owned(), "b".to_owned()];
    router.replace_evacuations(at(0), revision(0, 1), both);
    assert_eq!(place_many(&mut router, 1, HomeRule::default()), Err(RefusalReason::Evacuated));
}

/// Sets arrive from a watch and from reports in any order; an older one never comes back.
#[test]
fn older_sets_do_not_come_back() {
    let mut table = EvacuationTable::default();
    let a = vec!["a".to_owned()];
    table.replace(at(0), revision(0, 5), a.clone());
    let reported = table.state(at(0)).expect("known");
    table.apply(
        at(10),
        revision(0, 9),
        &[EvacuationChange { domain: "a".to_owned(), is_evacuated: false }],
    );
    assert!(table.is_empty());
    table.merge(at(20), &reported);
    table.replace(at(30), revision(0, 9), a);
    assert!(table.is_empty());
}

/// A store restored from a copy lacks the entry until the operator writes it again.
#[test]
fn domains_stay_evacuated_through_a_restore() {
    let mut table = EvacuationTable::default();
    table.replace(at(0), revision(0, 50), vec!["a".to_owned()]);
    assert_eq!(table.replace(at(100), revision(1, 4), Vec::new()), Default::default());
    assert!(table.contains("a"));
    table.replace(at(900), revision(1, 6), vec!["a".to_owned()]);
    table.expire(at(60_000));
    assert!(table.contains("a"));
    table.replace(at(61_000), revision(2, 1), Vec::new());
    assert!(table.expire(at(63_000)).returned.is_empty());
    assert_eq!(table.expire(at(65_100)).returned.len(), 1);
}

/// A router that starts shortly after a domain returned learns that its targets are cold.
#[test]
fn starting_router_learns_of_a_recent_return() {
    let mut table = EvacuationTable::default();
    table.replace(at(0), revision(0, 1), vec!["a".to_owned()]);
    table.replace(at(50_000), revision(0, 2), Vec::new());
    let state = table.state(at(51_000)).expect("known");
    let mut router = router_with_domains();
    let effect = router.merge_evacuations(at(2000), &state);
    assert_eq!(effect.returned, [("a".to_owned(), at(1000))]);
    assert_eq!(router.take_cold_notices(at(2000)).len(), 1);
    assert_eq!(router.merge_evacuations(at(2100), &state).returned, []);
}

/// Homes of the route and of the customer both bind.
#[test]
fn requests_stay_in_their_home_regions() {
    let mut router = router_with_domains();
    router.replace_evacuations(at(0), revision(0, 1), Vec::new());
    let (north, south) = (vec!["north".to_owned()], vec!["south".to_owned()]);
    let (a, b) = (in_domain("t-a", "a").id(), in_domain("t-b", "b").id());
    let homes = |route, customer| HomeRule { route, customer };
    for (homes, expected) in [
        (homes(&north, &[]), Ok(vec![a])),
        (homes(&[], &south), Ok(vec![b])),
        (homes(&south, &south), Ok(vec![b])),
        (homes(&north, &south), Err(RefusalReason::NoHome)),
    ] {
        assert_eq!(place_many(&mut router, 1, homes), expected, "{homes:?}");
    }
}
