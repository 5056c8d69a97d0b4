//! Fixtures shared by the tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jackdaw_base::{CustomerId, MonotonicTime, ProcessIncarnation, VmId};
use jackdaw_policy::direct::{
    CallerLimits, ColdTolerance, CustomerConfig, DirectPolicy, DirectRequest, DirectRouter,
    DomainRegions, FleetConfig, HomeRule, PromptPart, PromptShape, RequestKind, RouteConfig,
    ServiceConfig, ServiceWeight, StoreContact, TargetChange, TargetEntry, TargetState,
    VersionRule,
};
use rand::Rng;
use smallvec::smallvec;

pub(crate) const SERVICE: &str = "engines";

pub(crate) fn at(millis: u64) -> MonotonicTime {
    MonotonicTime(millis * 1000)
}

pub(crate) fn route(name: &str, host: &str, prefix: &str) -> RouteConfig {
    RouteConfig {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RequestKind::Stream { resumable: false },
        timeout: Duration::from_secs(15),
        latency_objective: Duration::from_millis(500),
        pause_objective: None,
        priority: 0,
        max_attempts: 1,
        is_public: false,
        homes: Vec::new(),
        services: vec![ServiceWeight { service: SERVICE.to_owned(), weight: 1 }],
    }
}

pub(crate) fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        routes: vec![route("all", "a.example", "/")],
        services: vec![ServiceConfig {
            name: SERVICE.to_owned(),
            connection_limit: 1000,
            memory_tokens: Some(800_000),
            cold_start: None,
            cache_transfer: None,
        }],
        customers: vec![CustomerConfig {
            customer: CustomerId::from_name("north"),
            name: "north".to_owned(),
            keys: vec!["key-of-north".to_owned()],
            priority: None,
            homes: Vec::new(),
        }],
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: 100_000,
        },
    }
}

pub(crate) fn entry(name: &str, revision: u64) -> TargetEntry {
    TargetEntry {
        name: name.to_owned(),
        service: SERVICE.to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        domain: "a".to_owned(),
        version: Some("v1".to_owned()),
        slots: 64,
        state: TargetState::Ready,
        started_unix_ms: 1,
        cold_left: Some(Duration::ZERO),
        revision: revision.into(),
    }
}

/// Returns the parameters of a router without others.
pub(crate) fn direct_policy() -> DirectPolicy {
    DirectPolicy {
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
    }
}

/// Returns a router with a configuration and `targets` ready targets.
pub(crate) fn router(incarnation: u64, targets: usize) -> DirectRouter {
    let mut router = DirectRouter::new(direct_policy(), ProcessIncarnation(incarnation));
    router.install_config(config(1));
    for index in 0..targets {
        let entry = entry(&format!("target-{index}"), 1 + index as u64);
        router.targets.apply(at(0), TargetChange::Present(entry));
    }
    router
}

/// Returns a prompt with one shared part and one unshared part.
pub(crate) fn prompt(shared: u64, shared_tokens: u32, own_tokens: u32) -> PromptShape {
    PromptShape {
        parts: smallvec![
            PromptPart { id: shared, tokens: shared_tokens },
            PromptPart { id: 999, tokens: own_tokens },
        ],
        prompt_tokens: shared_tokens + own_tokens,
        output_tokens: 100,
    }
}

pub(crate) fn request(prompt: Option<&PromptShape>, fingerprint: u64) -> DirectRequest<'_> {
    DirectRequest {
        customer: Some(CustomerId(1)),
        rank: 0,
        service: SERVICE,
        prompt,
        time_left: Duration::from_secs(15),
        fingerprint,
        homes: HomeRule::default(),
        version_rule: VersionRule::Any,
    }
}

/// Returns an answered call with the probability `answered`, otherwise a failed one or the end of the
/// watch.
pub(crate) fn random_contact(random: &mut impl Rng, answered: f64) -> StoreContact {
    match random.random_bool(answered) {
        true => StoreContact::Answered,
        false if random.random_bool(0.5) => StoreContact::Failed,
        false => StoreContact::Ended,
    }
}
